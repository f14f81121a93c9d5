// Package routing chooses the replica group for a request.
//
// It compares the expected finish time of two random candidates, from this node's requests in
// flight, the load that the group last reported, and its recent service time. A prompt prefix that a
// group has served before makes it preferred, unless it is too busy.
//
// Router is pure: it has no clock, goroutine, socket or random source.
package routing

import (
	"math"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Target is a group or a plain endpoint that may be sent requests until its evidence expires.
type Target struct {
	Group      fleet.GroupID
	Generation uint64
	Epoch      uint64
	Address    string
	// Incarnation is the incarnation of the endpoint that receives the requests.
	Incarnation uint64
	// Pool names what the target serves, and matches Request.Pool.
	Pool  string
	Slots int
	// Load is the number of requests of all nodes that the target last reported.
	Load int
	// ReportVersion is the version of the report that Load is taken from.
	ReportVersion uint64
	// CompleteAt is when all members were last known to be present, and Until is when that
	// evidence expires.
	CompleteAt time.Time
	Until      time.Time
	// Draining is set when a member is about to be removed; such a target is not passed to the
	// router.
	Draining bool
}

// Failure is a failed attempt of a request at a target.
type Failure struct {
	Group      fleet.GroupID
	Generation uint64
	At         time.Time
}

// Excludes reports whether the failure excludes a target: it is the same one, and it has not
// been complete since.
func (f Failure) Excludes(t Target) bool {
	return f.Group == t.Group && f.Generation == t.Generation && !t.CompleteAt.After(f.At)
}

const (
	// affinityBound is the ratio to the average utilisation up to which a group is preferred
	// for a prefix that it has served.
	affinityBound = 1.25
	// ewmaWeight is the weight of a new sample in the moving average.
	ewmaWeight = 0.2
	// maxPrefixes bounds the remembered prefixes; the older half is dropped.
	maxPrefixes = 8192
	// minAvoidance is how long a group is avoided after its first failure; it doubles with
	// each further one, up to maxAvoidance.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 8 * time.Second
	// initialServiceTime is assumed for a group that has served nothing yet.
	initialServiceTime = 500 * time.Millisecond
)

type targetState struct {
	target   Target
	inFlight int
	// localAtReport is the number of this node's requests in flight when the report arrived.
	localAtReport int
	serviceTime   time.Duration
	failures      int
	avoidUntil    time.Time
}

// Router holds the targets that one node may send requests to.
type Router struct {
	states map[fleet.GroupID]*targetState
	pools  map[string][]*targetState
	// recent and older are two generations of the prefix cache.
	recent map[uint64]fleet.GroupID
	older  map[uint64]fleet.GroupID
}

// New returns a router without targets.
func New() *Router {
	return &Router{
		states: map[fleet.GroupID]*targetState{},
		pools:  map[string][]*targetState{},
		recent: map[uint64]fleet.GroupID{},
	}
}

// SetTargets replaces the targets. Requests in flight stay counted, also for a removed target until
// they finish.
func (r *Router) SetTargets(targets []Target) {
	pools := make(map[string][]*targetState, len(r.pools))
	present := make(map[fleet.GroupID]bool, len(targets))
	for _, t := range targets {
		present[t.Group] = true
		s := r.states[t.Group]
		if s == nil {
			s = &targetState{serviceTime: initialServiceTime}
			r.states[t.Group] = s
		}
		if s.target.ReportVersion != t.ReportVersion {
			s.localAtReport = s.inFlight
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

// Request is what a target is chosen for.
type Request struct {
	Pool string
	// Prefix is a hash of the start of the prompt, or 0.
	Prefix uint64
	// Random is a fresh random number.
	Random uint64
	// Failed lists the failed attempts of the request.
	Failed []Failure
}

// Choose returns the best target whose evidence has not expired.
func (r *Router) Choose(now time.Time, q Request) (Target, bool) {
	usable := r.usable(now, q)
	if len(usable) == 0 {
		return Target{}, false
	}
	if s := r.affinityTarget(usable, q.Prefix); s != nil {
		return s.target, true
	}
	best := bestOfTwo(usable, q.Random)
	r.rememberPrefix(q.Prefix, best.target.Group)
	return best.target, true
}

// usable returns the candidates. Groups that are being avoided are used only if there is no other.
func (r *Router) usable(now time.Time, q Request) []*targetState {
	var good, avoided []*targetState
	for _, s := range r.pools[q.Pool] {
		if !now.Before(s.target.Until) || isExcluded(q.Failed, s.target) {
			continue
		}
		if now.Before(s.avoidUntil) {
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

func isExcluded(list []Failure, t Target) bool {
	for _, f := range list {
		if f.Excludes(t) {
			return true
		}
	}
	return false
}

func (r *Router) affinityTarget(usable []*targetState, prefix uint64) *targetState {
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
	var chosen *targetState
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
	// A group without a queue serves the request immediately, so affinity costs nothing there.
	if chosen.utilisation() < 1 || chosen.utilisation() <= average*affinityBound {
		r.rememberPrefix(prefix, id)
		return chosen
	}
	return nil
}

func (r *Router) rememberPrefix(prefix uint64, id fleet.GroupID) {
	if prefix == 0 {
		return
	}
	if len(r.recent) >= maxPrefixes/2 {
		r.older = r.recent
		r.recent = make(map[uint64]fleet.GroupID, maxPrefixes/2)
	}
	r.recent[prefix] = id
}

// bestOfTwo returns the better of two random candidates. Taking the best of all would make every
// node choose the same group until the next report.
func bestOfTwo(usable []*targetState, random uint64) *targetState {
	n := uint64(len(usable))
	first := usable[random%n]
	if n == 1 {
		return first
	}
	second := usable[(random%n+1+(random>>32)%(n-1))%n]
	if second.expectedTime() < first.expectedTime() {
		return second
	}
	return first
}

// load estimates the requests at the target: this node's own, and those of others as last reported.
func (s *targetState) load() int {
	others := max(0, s.target.Load-s.localAtReport)
	return s.inFlight + others
}

func (s *targetState) utilisation() float64 {
	return float64(s.load()) / float64(max(1, s.target.Slots))
}

// expectedTime returns the expected time in seconds to finish one more request.
func (s *targetState) expectedTime() float64 {
	batches := math.Max(1, float64(s.load()+1)/float64(max(1, s.target.Slots)))
	// The utilisation breaks ties between groups with free slots: a fuller batch is slower.
	return s.serviceTime.Seconds() * (batches + 0.1*s.utilisation())
}

// Started counts a request that is sent to a group.
func (r *Router) Started(id fleet.GroupID) {
	if s := r.states[id]; s != nil {
		s.inFlight++
	}
}

// Finished counts the end of a request. The service time without queueing is the time taken, divided
// by the batches ahead.
func (r *Router) Finished(now time.Time, id fleet.GroupID, took time.Duration, ok bool) {
	s := r.states[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !ok {
		wait := min(maxAvoidance, minAvoidance<<min(s.failures, 5))
		s.failures++
		s.avoidUntil = now.Add(wait)
		return
	}
	s.failures = 0
	batches := math.Max(1, s.utilisation())
	sample := float64(took) / batches
	s.serviceTime = time.Duration((1-ewmaWeight)*float64(s.serviceTime) + ewmaWeight*sample)
}

// Unused records that a request which counted as started was not sent to the group.
func (r *Router) Unused(id fleet.GroupID) {
	if s := r.states[id]; s != nil {
		s.inFlight = max(0, s.inFlight-1)
	}
}

// Slots returns the total slots of a pool's targets whose evidence has not expired.
func (r *Router) Slots(now time.Time, pool string) int {
	total := 0
	for _, s := range r.pools[pool] {
		if now.Before(s.target.Until) {
			total += s.target.Slots
		}
	}
	return total
}
