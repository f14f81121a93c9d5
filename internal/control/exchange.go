package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/peerpb"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// link is the state of exchanges with one peer of the same data centre.
type link struct {
	next time.Time
	busy bool
	// last is the last exchange that either side began.
	last time.Time
	// failures counts exchanges in a row that got no answer.
	failures int
}

// remote is an entry instance of another data centre.
type remote struct {
	node     membership.Node
	next     time.Time
	busy     bool
	answered time.Time
	revision uint64
	pools    []*peerpb.PoolLoad
}

// remoteLinks is how many entry instances of each other data centre a node
// keeps a link to.
const remoteLinks = 2

// maxBackoff is the longest pause between tries to reach a silent peer.
const maxBackoff = 5 * time.Second

func (l *Loop) exchangeWithPeers(now time.Time) {
	for _, node := range l.tracker.Nodes() {
		if node.ID == l.options.Self.ID || node.Address == "" {
			continue
		}
		k := l.links[node.ID]
		if k == nil {
			k = &link{}
			l.links[node.ID] = k
		}
		// Whoever finds the interval over begins; the other side's clock
		// starts anew with it, so a pair has one exchange an interval.
		if k.busy || now.Before(k.next) || now.Sub(k.last) < l.intervals.Exchange {
			continue
		}
		l.exchangeWith(now, node, k)
	}
	for _, r := range l.remotes {
		if !r.busy && !now.Before(r.next) {
			l.exchangeRemote(now, r)
		}
	}
}

// exchanged is a peer's answer.
type exchanged struct {
	id     membership.NodeID
	answer *peers.Message
	err    error
}

func (l *Loop) exchangeWith(now time.Time, node membership.Node, k *link) {
	k.busy = true
	k.last = now
	k.next = now.Add(l.jitter(l.intervals.Exchange))
	configurationRevision, groupsRevision := l.tracker.Revisions(node.ID)
	message := l.message(now, node.ID, configurationRevision, groupsRevision)
	message.LacksInstances = len(l.instances) == 0
	l.async(func(ctx context.Context) event {
		answer, err := l.options.Peers.Exchange(ctx, node.Address, message)
		return exchanged{node.ID, answer, err}
	})
}

// message makes one side of an exchange with a peer that holds the revisions
// given.
func (l *Loop) message(now time.Time, to membership.NodeID, configurationRevision, groupsRevision uint64) *peers.Message {
	l.tracker.Expire(now)
	beat := l.tracker.NextHeartbeat(now, to, membership.LocalState{
		Leaving:               l.leaving,
		ConfigurationRevision: uint64(l.store.Revision()),
		GroupsRevision:        l.groups.Revision(),
		Demand:                l.ownDemand(),
	})
	message := &peers.Message{Beat: peers.HeartbeatToWire(beat)}
	if configurationRevision < uint64(l.store.Revision()) {
		message.Configuration = encodeDelta(l.store.DeltaSince(configuration.Revision(configurationRevision)))
	}
	if groupsRevision < l.groups.Revision() {
		message.Groups = encodeDelta(l.groups.DeltaSince(groupsRevision))
	}
	l.tellNews(now, message, to)
	return message
}

func encodeDelta(delta any) []byte {
	text, err := json.Marshal(delta)
	if err != nil {
		return nil
	}
	return text
}

func (l *Loop) ownDemand() map[string]float64 {
	out := map[string]float64{}
	for name, load := range l.options.Load() {
		if load.Rate > 0 {
			out[name] = load.Rate
		}
	}
	return out
}

func (e exchanged) apply(l *Loop, now time.Time) {
	k := l.links[e.id]
	if k == nil {
		return
	}
	k.busy = false
	if e.err != nil {
		k.failures++
		wait := l.intervals.Exchange << min(k.failures, 4)
		k.next = now.Add(l.jitter(min(wait, maxBackoff)))
		return
	}
	k.failures = 0
	l.take(now, e.answer)
}

// take applies what a peer of the same data centre sent.
func (l *Loop) take(now time.Time, m *peers.Message) {
	l.tracker.Receive(now, peers.HeartbeatFromWire(m.GetBeat()))
	l.takeConfiguration(m.GetConfiguration())
	l.takeGroups(m.GetGroups())
	l.takeInstances(now, m.GetInstances())
	l.takeNews(now, m)
}

func (l *Loop) takeConfiguration(text []byte) {
	if len(text) == 0 {
		return
	}
	var delta configuration.Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		l.log.Warn("a peer sent a bad configuration", "error", err)
		return
	}
	l.applyConfiguration(delta, "peer")
}

func (l *Loop) applyConfiguration(delta configuration.Delta, source string) {
	before := l.store.Revision()
	if !l.store.Apply(delta) {
		return
	}
	invariant.Check(l.store.Revision() > before, invariant.Forward, "configuration %d after %d", l.store.Revision(), before)
	l.log.Info("configuration in force", "revision", uint64(delta.To), "source", source)
}

func (l *Loop) takeGroups(text []byte) {
	if len(text) == 0 {
		return
	}
	var delta fleet.GroupsDelta
	if err := json.Unmarshal(text, &delta); err != nil {
		l.log.Warn("a peer sent bad groups", "error", err)
		return
	}
	l.applyGroups(delta)
}

func (l *Loop) applyGroups(delta fleet.GroupsDelta) {
	before := l.groups.Revision()
	if !l.groups.Apply(delta) {
		return
	}
	invariant.Check(l.groups.Revision() > before, invariant.Forward, "groups %d after %d", l.groups.Revision(), before)
	if revision := l.groups.Revision(); revision > ledger.KeepTombstones {
		l.groups.DropTombstones(revision - ledger.KeepTombstones)
	}
	l.checkOneGroup()
}

// checkOneGroup asserts that no instance is a member of two groups.
func (l *Loop) checkOneGroup() {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for _, g := range l.groups.All() {
		for _, m := range g.Members {
			other, taken := owner[m.Instance]
			invariant.Check(!taken, invariant.OneGroup, "instance %s is in %s and %s", m.Instance, other, g.ID)
			owner[m.Instance] = g.ID
		}
	}
}

func (l *Loop) takeInstances(now time.Time, text []byte) {
	if len(text) == 0 || len(l.instances) > 0 {
		return
	}
	var list []fleet.Instance
	if err := json.Unmarshal(text, &list); err != nil {
		l.log.Warn("a peer sent a bad instance list", "error", err)
		return
	}
	l.setInstances(now, list)
}

// exchangeEvent is a peer's message that waits for this node's.
type exchangeEvent struct {
	message *peers.Message
	reply   chan *peers.Message
}

// Exchange answers a peer.
func (l *Loop) Exchange(ctx context.Context, m *peers.Message) (*peers.Message, error) {
	e := exchangeEvent{m, make(chan *peers.Message, 1)}
	select {
	case l.events <- e:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case answer := <-e.reply:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e exchangeEvent) apply(l *Loop, now time.Time) {
	beat := e.message.GetBeat()
	from := fleet.DataCentre(beat.GetFrom().GetDataCentre())
	if from != "" && from != l.options.Self.DataCentre {
		l.takeConfiguration(e.message.GetConfiguration())
		l.takeNews(now, e.message)
		e.reply <- l.remoteMessage(now, membership.NodeID(beat.GetFrom().GetId()), beat.GetConfigurationRevision())
		return
	}
	l.take(now, e.message)
	id := membership.NodeID(beat.GetFrom().GetId())
	if k := l.links[id]; k != nil {
		k.last = now
		k.failures = 0
	}
	answer := l.message(now, id, beat.GetConfigurationRevision(), beat.GetGroupsRevision())
	if e.message.GetLacksInstances() {
		answer.Instances = encodeDelta(l.instanceList())
	}
	e.reply <- answer
}

func (l *Loop) instanceList() []fleet.Instance {
	out := make([]fleet.Instance, 0, len(l.instances))
	for _, in := range l.instances {
		out = append(out, in)
	}
	return out
}

// remoteMessage is what nodes of different data centres tell each other:
// configuration, what could be forwarded here, and which requests end endpoints.
func (l *Loop) remoteMessage(now time.Time, to membership.NodeID, theirs uint64) *peers.Message {
	message := &peers.Message{
		Beat: &peerpb.Beat{
			From: &peerpb.Node{
				Id:         string(l.options.Self.ID),
				DataCentre: string(l.options.Self.DataCentre),
				Address:    l.options.Self.Address,
			},
			Incarnation:           l.options.Incarnation,
			ConfigurationRevision: uint64(l.store.Revision()),
			Leaving:               l.leaving,
		},
		Pools: l.poolLoads(),
	}
	if theirs < uint64(l.store.Revision()) {
		message.Configuration = encodeDelta(l.store.DeltaSince(configuration.Revision(theirs)))
	}
	l.tellNews(now, message, to)
	return message
}

// remoteExchanged is the answer of a node of another data centre.
type remoteExchanged struct {
	remote *remote
	answer *peers.Message
	err    error
}

func (l *Loop) exchangeRemote(now time.Time, r *remote) {
	r.busy = true
	r.next = now.Add(l.jitter(l.intervals.Remote))
	message := l.remoteMessage(now, r.node.ID, r.revision)
	l.async(func(ctx context.Context) event {
		answer, err := l.options.Peers.Exchange(ctx, r.node.Address, message)
		return remoteExchanged{r, answer, err}
	})
}

func (e remoteExchanged) apply(l *Loop, now time.Time) {
	e.remote.busy = false
	if e.err != nil {
		return
	}
	beat := e.answer.GetBeat()
	e.remote.revision = beat.GetConfigurationRevision()
	e.remote.answered = now
	e.remote.pools = e.answer.GetPools()
	if beat.GetLeaving() {
		e.remote.answered = time.Time{}
	}
	l.takeConfiguration(e.answer.GetConfiguration())
	l.takeNews(now, e.answer)
}
