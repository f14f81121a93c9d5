// Package notices exchanges facts between entry instances that take effect on requests at once: endpoints
// that leave, their advisories, crashed contents, evacuations, and that a new configuration exists.
//
// Other state is fetched in calls whose pace and size follow the number of nodes and endpoints. A fact that
// travelled with it would be as late as the slowest of several such calls, and later after each lost one.
// Notices therefore have streams of their own, which stay open. Each node follows two others of its data
// centre, the relay and the one that takes over from it, and these follow the relays of the other data
// centres. A fact is passed on as it arrives, on both ways, so that a lost stream delays nothing. Each stream
// also tells how old the sender's knowledge of the endpoint table is; a node whose knowledge becomes too old
// reads the table itself.
package notices

import (
	"context"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
)

const (
	// heartbeatInterval is the time between two messages on a followed stream without notices. Each
	// hop adds up to one to the age of what a node knows.
	heartbeatInterval = 250 * time.Millisecond
	// minSendInterval is the time between two messages on a stream, so that a burst of notices takes
	// few of them.
	minSendInterval = 10 * time.Millisecond
	// silenceTimeout is how long a followed stream may be silent before it is opened again. Nodes that
	// get no processor for a while are silent as well; meanwhile the other stream serves.
	silenceTimeout = 2 * time.Second
	// followInterval is the time between two looks at which nodes to follow.
	followInterval = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the time before a lost stream is opened again.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = time.Second
	// keepFormer is how long a stream to a node that is no target any more stays open: which nodes
	// relay may be in doubt for a while, and the next ones need time to be heard.
	keepFormer = 3 * time.Second
)

// Options are the parts that an Exchange connects.
type Options struct {
	// Self names this node, Client dials others.
	Self   *sharepb.Node
	Client *peers.Client

	Directory  *directory.Directory
	Throttle   *throttle.Tracker
	Quarantine *quarantine.Quarantine
	// OwnSuspects returns the endpoints that this node suspects, RelayedSuspects those that several nodes
	// of the data centre do, both sorted. OnSuspects is called with those of another node.
	OwnSuspects     func() []string
	RelayedSuspects func() []string
	OnSuspects      func(address string, s Suspects)
	// Targets returns the addresses of the nodes to follow now.
	Targets func() []string
	// OnConfiguration is called when a followed node has a newer configuration than this one.
	OnConfiguration func(address string, version uint64)
}

// Suspects are endpoints that nodes find silent or failing; nil means that they have not changed.
type Suspects struct {
	Own     []string
	Relayed []string
}

// Exchange keeps the streams of one node. Start it with Run.
type Exchange struct {
	options Options
	log     logging.Logger
	changed broadcast

	mu sync.Mutex
	// followed has the streams that this node keeps open, by address.
	followed map[string]*followed
	// live counts the followed streams that have delivered a message, and heard is set once any has.
	live  int
	heard bool
}

// followed is a stream that this node keeps open.
type followed struct {
	cancel context.CancelFunc
	// wantedAt is when its node was last a target.
	wantedAt time.Time
}

// New returns an Exchange without streams, and makes the parts wake it up when they change.
func New(o Options) *Exchange {
	x := &Exchange{options: o, log: logging.For("notices"), followed: map[string]*followed{}}
	o.Directory.SetOnNotice(x.Wake)
	o.Quarantine.SetOnChange(x.Wake)
	return x
}

// Wake makes all streams send what is new. It does not block.
func (x *Exchange) Wake() { x.changed.signal() }

// Heard reports whether any node that this one followed has sent notices. Nodes of earlier versions do not.
func (x *Exchange) Heard() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.heard
}

// Live returns the number of nodes that this one follows and that send notices now.
func (x *Exchange) Live() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.live
}

// Run follows the target nodes until the context is cancelled.
func (x *Exchange) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		x.updateFollowed(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateFollowed starts streams to new targets and ends those to former ones.
func (x *Exchange) updateFollowed(ctx context.Context, running *sync.WaitGroup) {
	targets := x.options.Targets()
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, address := range targets {
		if f := x.followed[address]; f != nil {
			f.wantedAt = now
			continue
		}
		followContext, cancel := context.WithCancel(ctx)
		x.followed[address] = &followed{cancel, now}
		running.Go(func() { x.follow(followContext, address) })
	}
	for address, f := range x.followed {
		if now.Sub(f.wantedAt) > keepFormer {
			f.cancel()
			delete(x.followed, address)
		}
	}
}

// broadcast wakes all that wait for it.
type broadcast struct {
	mu     sync.Mutex
	waited chan struct{}
}

// wait returns a channel that the next signal closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waited == nil {
		b.waited = make(chan struct{})
	}
	return b.waited
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waited != nil {
		close(b.waited)
		b.waited = nil
	}
}
