package poison

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/quarantine"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

const (
	// crashDial bounds the dial that tells an endpoint that has ended from one that broke
	// an answer off: between data centres of one region it is answered in some ms.
	crashDial = 300 * time.Millisecond
	// crashRedial is the time between two dials of an endpoint at which requests go on
	// breaking off: one that resets half of what it is sent would be dialed for each.
	crashRedial = 50 * time.Millisecond
	// crashWatch is for how long after a break an endpoint that did not refuse the dial is
	// watched for another incarnation in its place: rows change within a heartbeat of a second.
	crashWatch = 5 * time.Second
	crashPoll  = 100 * time.Millisecond
	// mostBreaks bounds the endpoints that are looked into at a time, and mostBroken the
	// requests that broke at one of them.
	mostBreaks = 512
	mostBroken = 256
	// mostAwaited bounds for how long a request waits for what a dial tells before it goes
	// on: a stream that goes on elsewhere has 200 ms and more between its events.
	mostAwaited = 50 * time.Millisecond
	// endSlack is how long after the end of an incarnation that others have seen a request is sent that
	// must have reached another one: ages are told some milliseconds off.
	endSlack = 250 * time.Millisecond
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
func (l Incarnation) hash() quarantine.Incarnation {
	return quarantine.Incarnation(xxh3.HashString(string(l.Endpoint)+" "+strconv.FormatInt(l.StartedAt, 10)) + uint64(l.later))
}

// Watch finds out which endpoints have ended, of those at which requests broke off. A
// dial that is refused tells at once, without asking the endpoint for anything: a process
// that has ended leaves no listener. Answers that are broken off, connections that are
// reset, and endpoints that are cut off are none.
type Watch struct {
	log        logging.Logger
	quarantine *Quarantine
	// replaced returns those of some incarnations that have another one in their place.
	replaced func([]Incarnation) []Incarnation
	// dial returns nil if something listens at an address.
	dial func(ctx context.Context, address string) error

	mu     sync.Mutex
	breaks map[Incarnation]*breakOff
	// watching is set while a goroutine looks for other incarnations.
	watching bool
}

// breakOff is what broke off at one endpoint.
type breakOff struct {
	contents []quarantine.Fingerprint
	last     time.Time
	// dialing is set from a dial's begin until none is to follow it, again if something
	// broke off since the last one began.
	dialing bool
	again   bool
	// looked is closed when the dial that is under way has ended.
	looked chan struct{}
	// dialed is when the last dial began.
	dialed time.Time
	// ended is when the endpoint was found to have ended, zero until then.
	ended time.Time
}

// NewWatch returns a watch that notes what it finds in a quarantine. replaced reports which
// of some incarnations have another one in their place by now; dial returns nil if something listens
// at an address.
func NewWatch(q *Quarantine, replaced func([]Incarnation) []Incarnation, dial func(context.Context, string) error) *Watch {
	return &Watch{log: logging.For("quarantine"), quarantine: q, replaced: replaced, dial: dial, breaks: map[Incarnation]*breakOff{}}
}

// Broken notes that a request, sent when it began, broke off at an endpoint. What it returns
// is closed when the dial that may tell why has ended; nil if none is under way.
func (c *Watch) Broken(f quarantine.Fingerprint, at Incarnation, began, now time.Time) (looked <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.quarantine.endedBefore(f, at.hash(), began.Add(-endSlack)) {
		// Another node has seen the end, and the row of the incarnation since has not come here.
		at.later++
	}
	b := c.breaks[at]
	for b != nil && !b.ended.IsZero() && began.After(b.ended) {
		// What was sent after an incarnation's end reached another one.
		at.later++
		b = c.breaks[at]
	}
	if b == nil && len(c.breaks) >= mostBreaks {
		return nil
	}
	if b == nil {
		b = &breakOff{}
		c.breaks[at] = b
	}
	b.last = now
	if !b.ended.IsZero() {
		c.quarantine.ended(f, at.hash(), at.Endpoint, now)
		return nil
	}
	if len(b.contents) < mostBroken {
		b.contents = append(b.contents, f)
	}
	if b.dialing {
		b.again = true
		return b.looked
	}
	b.dialing = true
	b.looked = make(chan struct{})
	go c.look(at, b, b.dialed)
	return b.looked
}

// Await waits, for a request that broke off, until it is known whether its endpoint has
// ended, if one more end has such requests kept from being sent. Without it the next attempt
// was sent before the dial had told, and a request ended four endpoints where it may end
// three.
func (c *Watch) Await(ctx context.Context, f quarantine.Fingerprint, looked <-chan struct{}) {
	if looked == nil || !c.quarantine.isBlockedByOneMore(f, time.Now()) {
		return
	}
	timer := time.NewTimer(mostAwaited)
	defer timer.Stop()
	select {
	case <-looked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// look dials the endpoint, the last dial of which began at a time, and once more for as long
// as something breaks off meanwhile.
func (c *Watch) look(at Incarnation, b *breakOff, dialed time.Time) {
	for again := true; again; {
		time.Sleep(time.Until(dialed.Add(crashRedial)))
		dialed = time.Now()
		again = c.lookOnce(at, b, dialed)
	}
}

// lookOnce dials the endpoint and reports whether something broke off since it began.
func (c *Watch) lookOnce(at Incarnation, b *breakOff, now time.Time) bool {
	c.mu.Lock()
	b.again, b.dialed = false, now
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), crashDial)
	defer cancel()
	err := c.dial(ctx, at.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused {
		c.foundEnded(at, b, "a dial is refused", time.Now())
	}
	b.dialing = b.again && !refused
	close(b.looked)
	b.looked = make(chan struct{})
	c.watch()
	return b.dialing
}

// foundEnded notes the end of an endpoint for all requests that broke off there; the caller
// holds the lock.
func (c *Watch) foundEnded(at Incarnation, b *breakOff, evidence string, now time.Time) {
	c.log.Info("an endpoint has ended under requests", "endpoint", string(at.Endpoint), "started_at", at.StartedAt, "address", at.Address,
		"evidence", evidence, "requests", len(b.contents), "after", now.Sub(b.last))
	b.ended = now
	for _, f := range b.contents {
		c.quarantine.ended(f, at.hash(), at.Endpoint, now)
	}
	b.contents = nil
}

// watch has the endpoints looked at until all are settled; the caller holds the lock.
func (c *Watch) watch() {
	if c.watching || len(c.breaks) == 0 {
		return
	}
	c.watching = true
	go func() {
		ticker := time.NewTicker(crashPoll)
		defer ticker.Stop()
		for now := range ticker.C {
			if c.settle(now) {
				return
			}
		}
	}()
}

// settle looks for other incarnations in the place of those at which requests broke off, and
// reports whether none is left to be looked at.
func (c *Watch) settle(now time.Time) bool {
	replaced := c.replaced(c.undecided())
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range replaced {
		if b := c.breaks[at]; b != nil && b.isUndecided() {
			c.foundEnded(at, b, "another incarnation is in its place", now)
		}
	}
	for at, b := range c.breaks {
		if !b.dialing && now.Sub(b.last) > crashWatch {
			delete(c.breaks, at)
		}
	}
	c.watching = len(c.breaks) > 0
	return !c.watching
}

// undecided returns the incarnations of which it is not known whether they have ended. The row
// that comes for a later incarnation is its own, and says nothing of it.
func (c *Watch) undecided() []Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Incarnation
	for at, b := range c.breaks {
		if at.later == 0 && b.isUndecided() {
			out = append(out, at)
		}
	}
	return out
}

// isUndecided reports whether it is not known whether the endpoint has ended, and no dial is
// under way that may tell.
func (b *breakOff) isUndecided() bool { return !b.dialing && b.ended.IsZero() }
