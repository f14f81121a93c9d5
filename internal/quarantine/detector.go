package quarantine

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// probeTimeout bounds the dial that distinguishes a crashed endpoint from one that only
	// truncated a response; it covers the round trip to another data centre of the region.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the minimum time between two dials of an endpoint; one that resets many
	// connections would otherwise be dialed for each.
	probeInterval = 50 * time.Millisecond
	// replacementTimeout is how long after a broken request an endpoint that did not refuse
	// the dial is watched for a new incarnation; its row appears within a heartbeat.
	replacementTimeout = 5 * time.Second
	replacementPoll    = 100 * time.Millisecond
	// maxSuspectedCrashes bounds the endpoints that are probed at a time, maxBrokenRequests
	// the broken requests that are kept for each.
	maxSuspectedCrashes = 512
	maxBrokenRequests   = 256
	// maxProbeWait bounds the delay that a crash probe adds to a retry.
	maxProbeWait = 50 * time.Millisecond
	// crashSkew tolerates clock error in crash times reported by peers.
	crashSkew = 250 * time.Millisecond
)

// Incarnation is the incarnation of an endpoint to which a request was sent.
type Incarnation struct {
	// Endpoint is the id of the endpoint, or another name of the target.
	Endpoint serving.EndpointID
	// StartedAt distinguishes the incarnations of an endpoint, according to its row.
	StartedAt int64
	Address   string
	// unlistedRestarts counts crashes of later incarnations whose rows have not arrived yet;
	// a restarted endpoint accepts requests before that.
	unlistedRestarts int
}

// hash identifies the incarnation to all nodes.
func (i Incarnation) hash() qlist.Incarnation {
	return qlist.Incarnation(xxh3.HashString(string(i.Endpoint)+" "+strconv.FormatInt(i.StartedAt, 10)) + uint64(i.unlistedRestarts))
}

// Detector determines which endpoints crashed, among those at which requests were interrupted. A
// refused dial is immediate evidence, since a terminated process leaves no listener, provided that
// other endpoints accept one. Truncated responses, reset connections and unreachable endpoints are not
// counted as crashes.
type Detector struct {
	log        logging.Logger
	quarantine *Quarantine
	// replaced returns those of the given incarnations that have a successor.
	replaced func([]Incarnation) []Incarnation
	// dial returns nil if a process listens at an address.
	dial func(ctx context.Context, address string) error
	// confirm reports whether the failure of a dial is the endpoint's own, and not one of this node's
	// links.
	confirm func(ctx context.Context, address string) bool

	mu        sync.Mutex
	suspected map[Incarnation]*suspectedCrash
	// watching is set while a goroutine looks for replaced incarnations.
	watching bool
}

// suspectedCrash has the requests that were interrupted at one incarnation.
type suspectedCrash struct {
	subjects   []qlist.Subject
	lastBroken time.Time
	// probing is set during a probe, also between its dials; probeAgain is set if
	// a request was interrupted since the last dial started.
	probing    bool
	probeAgain bool
	// probeDone is closed when the dial in flight completes.
	probeDone chan struct{}
	// lastProbe is when the last dial started.
	lastProbe time.Time
	// crashedAt is when the crash was detected, zero until then.
	crashedAt time.Time
}

// NewDetector returns a detector that records crashes in a quarantine. replaced returns those
// of the given incarnations that have a successor by now; dial returns nil if a process listens
// at an address; confirm reports whether the failure of a dial is the endpoint's own.
func NewDetector(q *Quarantine, replaced func([]Incarnation) []Incarnation, dial func(context.Context, string) error, confirm func(context.Context, string) bool) *Detector {
	return &Detector{log: logging.For("quarantine"), quarantine: q, replaced: replaced, dial: dial, confirm: confirm, suspected: map[Incarnation]*suspectedCrash{}}
}

// ReportBroken records that a request sent at a time was interrupted at an incarnation. The
// returned channel is closed once the crash probe completes; it is nil if none is in flight.
func (d *Detector) ReportBroken(subject qlist.Subject, inc Incarnation, sent, now time.Time) (probeDone <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.quarantine.crashedBefore(subject, inc.hash(), sent.Add(-crashSkew)) {
		// A peer reported the crash, and the row of the next incarnation has not arrived yet.
		inc.unlistedRestarts++
	}
	s := d.suspected[inc]
	for s != nil && !s.crashedAt.IsZero() && sent.After(s.crashedAt) {
		// A request sent after the crash reached the next incarnation.
		inc.unlistedRestarts++
		s = d.suspected[inc]
	}
	if s == nil && len(d.suspected) >= maxSuspectedCrashes {
		return nil
	}
	if s == nil {
		s = &suspectedCrash{}
		d.suspected[inc] = s
	}
	s.lastBroken = now
	if !s.crashedAt.IsZero() {
		d.quarantine.addCrash(subject, inc.hash(), inc.Endpoint, now)
		return nil
	}
	if len(s.subjects) < maxBrokenRequests {
		s.subjects = append(s.subjects, subject)
	}
	if s.probing {
		s.probeAgain = true
		return s.probeDone
	}
	s.probing = true
	s.probeDone = make(chan struct{})
	go d.probe(inc, s, s.lastProbe)
	return s.probeDone
}

// AwaitProbe waits for the crash probe if one more crash would quarantine the request, so that
// no retry is sent before the outcome is known. Otherwise a request crashes four endpoints where three
// are allowed.
func (d *Detector) AwaitProbe(ctx context.Context, s qlist.Subject, probeDone <-chan struct{}) {
	if probeDone == nil || !d.quarantine.blockedAfterNextCrash(s, time.Now()) {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probeDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probe dials the endpoint, and dials it again if requests were interrupted meanwhile.
func (d *Detector) probe(inc Incarnation, s *suspectedCrash, lastProbe time.Time) {
	for again := true; again; {
		time.Sleep(time.Until(lastProbe.Add(probeInterval)))
		lastProbe = time.Now()
		again = d.probeOnce(inc, s, lastProbe)
	}
}

// probeOnce dials the endpoint and reports whether to dial again, since a request was interrupted
// meanwhile.
func (d *Detector) probeOnce(inc Incarnation, s *suspectedCrash, now time.Time) bool {
	d.mu.Lock()
	s.probeAgain, s.lastProbe = false, now
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := d.dial(ctx, inc.Address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	// A node whose links are lost is refused by all endpoints.
	crashed := refused && d.confirm(context.Background(), inc.Address)
	d.mu.Lock()
	defer d.mu.Unlock()
	if crashed {
		d.recordCrash(inc, s, "connection refused", time.Now())
	}
	s.probing = s.probeAgain && !refused
	close(s.probeDone)
	s.probeDone = make(chan struct{})
	d.watchReplacements()
	return s.probing
}

// recordCrash attributes a crash to all requests that were interrupted at the endpoint; the caller
// holds the lock.
func (d *Detector) recordCrash(inc Incarnation, s *suspectedCrash, evidence string, now time.Time) {
	d.log.Info("endpoint crashed while running requests", "endpoint", string(inc.Endpoint), "started_at", inc.StartedAt, "address", inc.Address,
		"evidence", evidence, "requests", len(s.subjects), "after", now.Sub(s.lastBroken))
	s.crashedAt = now
	for _, subject := range s.subjects {
		d.quarantine.addCrash(subject, inc.hash(), inc.Endpoint, now)
	}
	s.subjects = nil
}

// watchReplacements starts checking for replaced incarnations until none is pending; the caller
// holds the lock.
func (d *Detector) watchReplacements() {
	if d.watching || len(d.suspected) == 0 {
		return
	}
	d.watching = true
	go func() {
		ticker := time.NewTicker(replacementPoll)
		defer ticker.Stop()
		for now := range ticker.C {
			if d.checkReplacements(now) {
				return
			}
		}
	}()
}

// checkReplacements records a crash for incarnations that were replaced, drops expired entries,
// and reports whether none is left.
func (d *Detector) checkReplacements(now time.Time) bool {
	replaced := d.replaced(d.unresolved())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, inc := range replaced {
		if s := d.suspected[inc]; s != nil && s.isUnresolved() {
			d.recordCrash(inc, s, "replaced by another incarnation", now)
		}
	}
	for inc, s := range d.suspected {
		if !s.probing && now.Sub(s.lastBroken) > replacementTimeout {
			delete(d.suspected, inc)
		}
	}
	d.watching = len(d.suspected) > 0
	return !d.watching
}

// unresolved returns the incarnations that may have crashed. Those with unlisted restarts are
// left out: a new row may be their own.
func (d *Detector) unresolved() []Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Incarnation
	for inc, s := range d.suspected {
		if inc.unlistedRestarts == 0 && s.isUnresolved() {
			out = append(out, inc)
		}
	}
	return out
}

// isUnresolved reports whether no crash was detected and no probe is in flight.
func (s *suspectedCrash) isUnresolved() bool { return !s.probing && s.crashedAt.IsZero() }
