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
	// probeTimeout bounds the dial that tells an endpoint that has ended from one that broke
	// an answer off: between data centres of one region it is answered in some ms.
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the time between two dials of an endpoint at which requests go on
	// breaking off: one that resets half of what it is sent would be dialed for each.
	probeInterval = 50 * time.Millisecond
	// settleFor is for how long after a break an endpoint that did not refuse the dial is
	// watched for another incarnation in its place: rows change within a heartbeat of a second.
	settleFor  = 5 * time.Second
	settlePoll = 100 * time.Millisecond
	// maxBreakages bounds the endpoints that are probed at a time, and maxBrokenRequests the
	// requests that broke off at one of them.
	maxBreakages      = 512
	maxBrokenRequests = 256
	// maxProbeWait bounds the delay that a crash probe adds to a retry.
	maxProbeWait = 50 * time.Millisecond
	// crashSkew tolerates clock error in crash times reported by peers.
	crashSkew = 250 * time.Millisecond
)

// Incarnation is one incarnation of an endpoint, as a request met it.
type Incarnation struct {
	// Endpoint names the endpoint, or what else requests are sent to.
	Endpoint serving.EndpointID
	// StartedAt tells incarnations of one endpoint apart, as far as this node knows.
	StartedAt int64
	Address   string
	// later counts incarnations that this node has seen end since, under the same id and before
	// their rows came: an endpoint takes requests as soon as it has begun anew.
	later int
}

// hash names the incarnation among nodes.
func (l Incarnation) hash() qlist.Incarnation {
	return qlist.Incarnation(xxh3.HashString(string(l.Endpoint)+" "+strconv.FormatInt(l.StartedAt, 10)) + uint64(l.later))
}

// Detector finds out which endpoints have ended, of those at which requests broke off. A
// dial that is refused tells at once, without asking the endpoint for anything: a process
// that has ended leaves no listener. Answers that are broken off, connections that are
// reset, and endpoints that are cut off are none.
type Detector struct {
	log        logging.Logger
	quarantine *Quarantine
	// replaced returns those of some incarnations that have another one in their place.
	replaced func([]Incarnation) []Incarnation
	// dial returns nil if something listens at an address.
	dial func(ctx context.Context, address string) error

	mu     sync.Mutex
	breaks map[Incarnation]*breakage
	// watching is set while a goroutine looks for other incarnations.
	watching bool
}

// breakage is what broke off at one endpoint.
type breakage struct {
	contents []qlist.Fingerprint
	last     time.Time
	// dialing is set from a dial's begin until none is to follow it, again if something
	// broke off since the last one began.
	dialing bool
	again   bool
	// probed is closed when the dial that is under way has ended.
	probed chan struct{}
	// dialed is when the last dial began.
	dialed time.Time
	// crashedAt is when the endpoint was found to have crashed, zero until then.
	crashedAt time.Time
}

// NewDetector returns a detector that records crashes in a quarantine. replaced reports which
// of some incarnations have another one in their place by now; dial returns nil if something listens
// at an address.
func NewDetector(q *Quarantine, replaced func([]Incarnation) []Incarnation, dial func(context.Context, string) error) *Detector {
	return &Detector{log: logging.For("quarantine"), quarantine: q, replaced: replaced, dial: dial, breaks: map[Incarnation]*breakage{}}
}

// ReportBroken notes that a request, sent when it began, broke off at an endpoint. What it
// returns is closed once the crash probe has ended; nil if none is under way.
func (d *Detector) ReportBroken(f qlist.Fingerprint, at Incarnation, began, now time.Time) (probed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.quarantine.endedBefore(f, at.hash(), began.Add(-crashSkew)) {
		// Another node has seen the crash, and the row of the next incarnation has not come
		// here yet.
		at.later++
	}
	b := d.breaks[at]
	for b != nil && !b.crashedAt.IsZero() && began.After(b.crashedAt) {
		// What was sent after a crash reached the next incarnation.
		at.later++
		b = d.breaks[at]
	}
	if b == nil && len(d.breaks) >= maxBreakages {
		return nil
	}
	if b == nil {
		b = &breakage{}
		d.breaks[at] = b
	}
	b.last = now
	if !b.crashedAt.IsZero() {
		d.quarantine.ended(f, at.hash(), at.Endpoint, now)
		return nil
	}
	if len(b.contents) < maxBrokenRequests {
		b.contents = append(b.contents, f)
	}
	if b.dialing {
		b.again = true
		return b.probed
	}
	b.dialing = true
	b.probed = make(chan struct{})
	go d.probe(at, b, b.dialed)
	return b.probed
}

// AwaitProbe waits for the probe of an endpoint whose request broke off, if one more crash
// would quarantine the request, so that no further attempt is sent before that is decided.
func (d *Detector) AwaitProbe(ctx context.Context, f qlist.Fingerprint, probed <-chan struct{}) {
	if probed == nil || !d.quarantine.isBlockedByOneMore(f, time.Now()) {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probe dials the endpoint, which was last dialed at a time, and once more for as long as
// requests break off meanwhile.
func (d *Detector) probe(at Incarnation, b *breakage, dialed time.Time) {
	for again := true; again; {
		time.Sleep(time.Until(dialed.Add(probeInterval)))
		dialed = time.Now()
		again = d.probeOnce(at, b, dialed)
	}
}

// probeOnce dials the endpoint and reports whether a request broke off since it began.
func (d *Detector) probeOnce(at Incarnation, b *breakage, now time.Time) bool {
	d.mu.Lock()
	b.again, b.dialed = false, now
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := d.dial(ctx, at.Address)
	d.mu.Lock()
	defer d.mu.Unlock()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused {
		d.recordCrash(at, b, "a dial is refused", time.Now())
	}
	b.dialing = b.again && !refused
	close(b.probed)
	b.probed = make(chan struct{})
	d.startSettling()
	return b.dialing
}

// recordCrash charges the crash of an endpoint to all requests that broke off there; the
// caller holds the lock.
func (d *Detector) recordCrash(at Incarnation, b *breakage, evidence string, now time.Time) {
	d.log.Info("endpoint crashed while running requests", "endpoint", string(at.Endpoint), "started_at", at.StartedAt, "address", at.Address,
		"evidence", evidence, "requests", len(b.contents), "after", now.Sub(b.last))
	b.crashedAt = now
	for _, f := range b.contents {
		d.quarantine.ended(f, at.hash(), at.Endpoint, now)
	}
	b.contents = nil
}

// startSettling looks at the endpoints until all are settled; the caller holds the lock.
func (d *Detector) startSettling() {
	if d.watching || len(d.breaks) == 0 {
		return
	}
	d.watching = true
	go func() {
		ticker := time.NewTicker(settlePoll)
		defer ticker.Stop()
		for now := range ticker.C {
			if d.settle(now) {
				return
			}
		}
	}()
}

// settle looks for other incarnations in the place of those at which requests broke off, and
// reports whether none is left to be looked at.
func (d *Detector) settle(now time.Time) bool {
	replaced := d.replaced(d.undecided())
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range replaced {
		if b := d.breaks[at]; b != nil && b.isUndecided() {
			d.recordCrash(at, b, "another incarnation is in its place", now)
		}
	}
	for at, b := range d.breaks {
		if !b.dialing && now.Sub(b.last) > settleFor {
			delete(d.breaks, at)
		}
	}
	d.watching = len(d.breaks) > 0
	return !d.watching
}

// undecided returns the incarnations of which it is not known whether they have crashed. The
// row that comes for a later incarnation is its own, and says nothing of it.
func (d *Detector) undecided() []Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Incarnation
	for at, b := range d.breaks {
		if at.later == 0 && b.isUndecided() {
			out = append(out, at)
		}
	}
	return out
}

// isUndecided reports whether it is not known whether the endpoint has crashed, and no probe
// is under way.
func (b *breakage) isUndecided() bool { return !b.dialing && b.crashedAt.IsZero() }
