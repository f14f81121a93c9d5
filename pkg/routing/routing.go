// Package routing chooses the replica group that runs a request.
//
// The choice weighs the expected finish time of a few candidates: what this
// node has in flight there, what the group last reported (late), and how fast
// the group has been of late. A prompt prefix that a group has served before
// draws the request there as long as the group is not loaded beyond a bound.
//
// Router is pure: it has no clock, goroutine, socket or random source.
package routing

import (
	"math"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Target is a group, or a single plain service endpoint, that may be sent
// requests while its evidence lasts.
type Target struct {
	Group      fleet.GroupID
	Generation uint64
	Epoch      uint64
	Address    string
	// Incarnation is that of the endpoint that takes the requests.
	Incarnation uint64
	// Pool names what the target serves; requests name the same.
	Pool  string
	Slots int
	// Load is what the target last reported, of all nodes together.
	Load int
	// ReportVersion is the version of the report that Load is from.
	ReportVersion uint64
	// CompleteAt is when all members were last known to be present, and Until is when that
	// evidence expires.
	CompleteAt time.Time
	Until      time.Time
	// Draining is set when a member is about to be removed; such a target is not offered to
	// the router.
	Draining bool
}

// Failure is a target that a request has failed on.
type Failure struct {
	Group      fleet.GroupID
	Generation uint64
	At         time.Time
}

// Excludes reports whether the failure rules out a target: the target is the same, and it
// has not been seen complete since.
func (f Failure) Excludes(t Target) bool {
	return f.Group == t.Group && f.Generation == t.Generation && !t.CompleteAt.After(f.At)
}

// Tuning constants of the choice.
const (
	// affinityBound is how much busier than the average a group may be and
	// still be chosen for a prefix that it has served.
	affinityBound = 1.25
	// ewmaWeight is the weight of a new sample in the running averages.
	ewmaWeight = 0.2
	// maxPrefixes bounds the remembered prefixes; the older half is dropped.
	maxPrefixes = 8192
	// easeOff is how long a group is avoided after its first failure; it
	// doubles with each further one up to maxEaseOff.
	easeOff    = 250 * time.Millisecond
	maxEaseOff = 8 * time.Second
	// initialService is assumed for a group that has served nothing yet.
	initialService = 500 * time.Millisecond
)

type state struct {
	target   Target
	inFlight int
	// base is this node's own part of the target's last reported load.
	base     int
	service  time.Duration
	failures int
	avoid    time.Time
}

// Router is one node's view of where requests can run.
type Router struct {
	states map[fleet.GroupID]*state
	pools  map[string][]*state
	// recent and older are two generations of prefix memory.
	recent map[uint64]fleet.GroupID
	older  map[uint64]fleet.GroupID
}

// New returns a router without targets.
func New() *Router {
	return &Router{
		states: map[fleet.GroupID]*state{},
		pools:  map[string][]*state{},
		recent: map[uint64]fleet.GroupID{},
	}
}

// SetTargets replaces the targets. What is in flight to a target that stays
// is kept; a target that went is forgotten once nothing is in flight to it.
func (r *Router) SetTargets(targets []Target) {
	pools := make(map[string][]*state, len(r.pools))
	present := make(map[fleet.GroupID]bool, len(targets))
	for _, t := range targets {
		present[t.Group] = true
		s := r.states[t.Group]
		if s == nil {
			s = &state{service: initialService}
			r.states[t.Group] = s
		}
		if s.target.ReportVersion != t.ReportVersion {
			s.base = s.inFlight
		}
		s.target = t
		pools[t.Pool] = append(pools[t.Pool], s)
	}
	for id, s := range r.states {
		if !present[id] && s.inFlight == 0 {
			delete(r.states, id)
		}
	}
	r.pools = pools
}

// Request is what the choice depends on.
type Request struct {
	Pool string
	// Prefix is a hash of the prompt's beginning, or 0.
	Prefix uint64
	// Random is a fresh random number from the caller.
	Random uint64
	// Failed lists what the request has failed on so far.
	Failed []Failure
}

// Choose returns the best target whose evidence lasts beyond now.
func (r *Router) Choose(now time.Time, q Request) (Target, bool) {
	usable := r.usable(now, q)
	if len(usable) == 0 {
		return Target{}, false
	}
	if s := r.affine(usable, q.Prefix); s != nil {
		return s.target, true
	}
	best := bestOfTwo(usable, q.Random)
	r.remember(q.Prefix, best.target.Group)
	return best.target, true
}

// usable lists the candidates. Groups that are being avoided count only when
// there is no other: a slow answer is better than none.
func (r *Router) usable(now time.Time, q Request) []*state {
	var good, avoided []*state
	for _, s := range r.pools[q.Pool] {
		if !now.Before(s.target.Until) || ruledOut(q.Failed, s.target) {
			continue
		}
		if now.Before(s.avoid) {
			avoided = append(avoided, s)
			continue
		}
		good = append(good, s)
	}
	if len(good) == 0 {
		return avoided
	}
	return good
}

func ruledOut(list []Failure, t Target) bool {
	for _, f := range list {
		if f.Excludes(t) {
			return true
		}
	}
	return false
}

func (r *Router) affine(usable []*state, prefix uint64) *state {
	if prefix == 0 {
		return nil
	}
	id, ok := r.recent[prefix]
	if !ok {
		id, ok = r.older[prefix]
	}
	if !ok {
		return nil
	}
	var chosen *state
	total := 0.0
	for _, s := range usable {
		total += s.utilisation()
		if s.target.Group == id {
			chosen = s
		}
	}
	if chosen == nil {
		return nil
	}
	average := total / float64(len(usable))
	// A group with nothing waiting serves the request at once anyway, so
	// affinity costs nothing there, however idle the others are.
	if chosen.utilisation() < 1 || chosen.utilisation() <= average*affinityBound {
		r.remember(prefix, id)
		return chosen
	}
	return nil
}

func (r *Router) remember(prefix uint64, id fleet.GroupID) {
	if prefix == 0 {
		return
	}
	if len(r.recent) >= maxPrefixes/2 {
		r.older = r.recent
		r.recent = make(map[uint64]fleet.GroupID, maxPrefixes/2)
	}
	r.recent[prefix] = id
}

// bestOfTwo compares two candidates drawn at random. Taking the best of all
// would send every node to the same group between two late reports.
func bestOfTwo(usable []*state, random uint64) *state {
	n := uint64(len(usable))
	first := usable[random%n]
	if n == 1 {
		return first
	}
	second := usable[(random%n+1+(random>>32)%(n-1))%n]
	if second.expected() < first.expected() {
		return second
	}
	return first
}

// load estimates the requests at the target: this node's own now, and the
// others' as last reported.
func (s *state) load() int {
	others := max(0, s.target.Load-s.base)
	return s.inFlight + others
}

func (s *state) utilisation() float64 {
	return float64(s.load()) / float64(max(1, s.target.Slots))
}

// expected returns the expected time to finish one more request.
func (s *state) expected() float64 {
	waves := math.Max(1, float64(s.load()+1)/float64(max(1, s.target.Slots)))
	// The utilisation breaks ties between groups that both have free slots:
	// a fuller batch is a little slower.
	return s.service.Seconds() * (waves + 0.1*s.utilisation())
}

// Started counts a request that is being sent to a group.
func (r *Router) Started(id fleet.GroupID) {
	if s := r.states[id]; s != nil {
		s.inFlight++
	}
}

// Finished counts a request's end. The service time is that of an unqueued
// request: the time that the group had the request, over the waves ahead.
func (r *Router) Finished(now time.Time, id fleet.GroupID, took time.Duration, ok bool) {
	s := r.states[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !ok {
		wait := min(maxEaseOff, easeOff<<min(s.failures, 5))
		s.failures++
		s.avoid = now.Add(wait)
		return
	}
	s.failures = 0
	waves := math.Max(1, s.utilisation())
	sample := float64(took) / waves
	s.service = time.Duration((1-ewmaWeight)*float64(s.service) + ewmaWeight*sample)
}

// Slots sums the slots of a pool's targets with evidence.
func (r *Router) Slots(now time.Time, pool string) int {
	total := 0
	for _, s := range r.pools[pool] {
		if now.Before(s.target.Until) {
			total += s.target.Slots
		}
	}
	return total
}
