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

// peerLink is the state of the exchanges with one peer of the same data
// centre.
type peerLink struct {
	next time.Time
	busy bool
	// lastStart is when either side last started an exchange.
	lastStart time.Time
	// failures counts consecutive failed exchanges.
	failures int
}

// remote is an entry instance of another data centre.
type remote struct {
	node           membership.Node
	next           time.Time
	busy           bool
	lastResponseAt time.Time
	revision       uint64
	pools          []*peerpb.PoolLoad
}

// linksPerDataCentre is the number of entry instances of each other data
// centre with which a node exchanges messages.
const linksPerDataCentre = 2

// maxBackoff is the maximum delay between exchanges with a silent peer.
const maxBackoff = 5 * time.Second

func (l *Loop) exchangeWithPeers(now time.Time) {
	for _, node := range l.tracker.Nodes() {
		if node.ID == l.options.Self.ID || node.Address == "" {
			continue
		}
		link := l.links[node.ID]
		if link == nil {
			link = &peerLink{}
			l.links[node.ID] = link
		}
		// Either side starts an exchange when the interval has passed, and
		// both restart the interval, so a pair has one exchange per interval.
		if link.busy || now.Before(link.next) || now.Sub(link.lastStart) < l.intervals.Exchange {
			continue
		}
		l.exchangeWith(now, node, link)
	}
	for _, r := range l.remotes {
		if !r.busy && !now.Before(r.next) {
			l.exchangeRemote(now, r)
		}
	}
}

// exchangeDone is the result of an exchange with a peer.
type exchangeDone struct {
	id       membership.NodeID
	response *peers.Message
	err      error
}

func (l *Loop) exchangeWith(now time.Time, node membership.Node, link *peerLink) {
	link.busy = true
	link.lastStart = now
	link.next = now.Add(l.jitter(l.intervals.Exchange))
	configurationRevision, groupsRevision := l.tracker.Revisions(node.ID)
	message := l.buildMessage(now, node.ID, configurationRevision, groupsRevision)
	message.LacksInstances = len(l.instances) == 0
	l.async(func(ctx context.Context) event {
		answer, err := l.options.Peers.Exchange(ctx, node.Address, message)
		return exchangeDone{node.ID, answer, err}
	})
}

// buildMessage returns this node's message to a peer that has the given
// revisions.
func (l *Loop) buildMessage(now time.Time, to membership.NodeID, configurationRevision, groupsRevision uint64) *peers.Message {
	l.tracker.Expire(now)
	heartbeat := l.tracker.NextHeartbeat(now, to, membership.LocalState{
		Stopping:              l.stopping,
		ConfigurationRevision: uint64(l.store.Revision()),
		GroupsRevision:        l.groups.Revision(),
		Demand:                l.localDemand(),
	})
	message := &peers.Message{Beat: peers.HeartbeatToWire(heartbeat)}
	if configurationRevision < uint64(l.store.Revision()) {
		message.Configuration = encodeDelta(l.store.DeltaSince(configuration.Revision(configurationRevision)))
	}
	if groupsRevision < l.groups.Revision() {
		message.Groups = encodeDelta(l.groups.DeltaSince(groupsRevision))
	}
	l.addQuarantineDelta(now, message, to)
	return message
}

func encodeDelta(delta any) []byte {
	text, err := json.Marshal(delta)
	if err != nil {
		return nil
	}
	return text
}

func (l *Loop) localDemand() map[string]float64 {
	out := map[string]float64{}
	for name, load := range l.options.Load() {
		if load.Rate > 0 {
			out[name] = load.Rate
		}
	}
	return out
}

func (e exchangeDone) apply(l *Loop, now time.Time) {
	link := l.links[e.id]
	if link == nil {
		return
	}
	link.busy = false
	if e.err != nil {
		link.failures++
		wait := l.intervals.Exchange << min(link.failures, 4)
		link.next = now.Add(l.jitter(min(wait, maxBackoff)))
		return
	}
	link.failures = 0
	l.applyPeerMessage(now, e.response)
}

// applyPeerMessage applies a message from a peer of the same data centre.
func (l *Loop) applyPeerMessage(now time.Time, m *peers.Message) {
	l.tracker.Receive(now, peers.HeartbeatFromWire(m.GetBeat()))
	l.receiveConfiguration(m.GetConfiguration())
	l.receiveGroups(m.GetGroups())
	l.receiveInstances(now, m.GetInstances())
	l.applyQuarantineDelta(now, m)
}

func (l *Loop) receiveConfiguration(text []byte) {
	if len(text) == 0 {
		return
	}
	var delta configuration.Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		l.log.Warn("peer sent an invalid configuration", "error", err)
		return
	}
	l.applyConfiguration(delta, "peer")
}

func (l *Loop) applyConfiguration(delta configuration.Delta, source string) {
	before := l.store.Revision()
	if !l.store.Apply(delta) {
		return
	}
	invariant.Check(l.store.Revision() > before, invariant.Monotonic, "configuration %d after %d", l.store.Revision(), before)
	l.log.Info("configuration applied", "revision", uint64(delta.To), "source", source)
}

func (l *Loop) receiveGroups(text []byte) {
	if len(text) == 0 {
		return
	}
	var delta fleet.GroupsDelta
	if err := json.Unmarshal(text, &delta); err != nil {
		l.log.Warn("peer sent invalid groups", "error", err)
		return
	}
	l.applyGroups(delta)
}

func (l *Loop) applyGroups(delta fleet.GroupsDelta) {
	before := l.groups.Revision()
	if !l.groups.Apply(delta) {
		return
	}
	invariant.Check(l.groups.Revision() > before, invariant.Monotonic, "groups %d after %d", l.groups.Revision(), before)
	if revision := l.groups.Revision(); revision > ledger.TombstoneRevisions {
		l.groups.DropTombstones(revision - ledger.TombstoneRevisions)
	}
	l.checkMembersUnique()
}

// checkMembersUnique asserts that no instance is a member of two groups.
func (l *Loop) checkMembersUnique() {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for _, g := range l.groups.All() {
		for _, m := range g.Members {
			other, exists := owner[m.Instance]
			invariant.Check(!exists, invariant.OneGroup, "instance %s is in %s and %s", m.Instance, other, g.ID)
			owner[m.Instance] = g.ID
		}
	}
}

func (l *Loop) receiveInstances(now time.Time, text []byte) {
	if len(text) == 0 || len(l.instances) > 0 {
		return
	}
	var list []fleet.Instance
	if err := json.Unmarshal(text, &list); err != nil {
		l.log.Warn("peer sent an invalid instance list", "error", err)
		return
	}
	l.setInstances(now, list)
}

// exchangeRequest is a peer's message that waits for a response.
type exchangeRequest struct {
	message *peers.Message
	reply   chan *peers.Message
}

// Exchange applies a peer's message and returns this node's.
func (l *Loop) Exchange(ctx context.Context, m *peers.Message) (*peers.Message, error) {
	e := exchangeRequest{m, make(chan *peers.Message, 1)}
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

func (e exchangeRequest) apply(l *Loop, now time.Time) {
	heartbeat := e.message.GetBeat()
	from := fleet.DataCentre(heartbeat.GetFrom().GetDataCentre())
	if from != "" && from != l.options.Self.DataCentre {
		l.receiveConfiguration(e.message.GetConfiguration())
		l.applyQuarantineDelta(now, e.message)
		e.reply <- l.buildRemoteMessage(now, membership.NodeID(heartbeat.GetFrom().GetId()), heartbeat.GetConfigurationRevision())
		return
	}
	l.applyPeerMessage(now, e.message)
	id := membership.NodeID(heartbeat.GetFrom().GetId())
	if link := l.links[id]; link != nil {
		link.lastStart = now
		link.failures = 0
	}
	answer := l.buildMessage(now, id, heartbeat.GetConfigurationRevision(), heartbeat.GetGroupsRevision())
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

// buildRemoteMessage returns this node's message to a node of another data
// centre: configuration, pool loads for forwarding, and quarantined requests.
func (l *Loop) buildRemoteMessage(now time.Time, to membership.NodeID, peerRevision uint64) *peers.Message {
	message := &peers.Message{
		Beat: &peerpb.Beat{
			From: &peerpb.Node{
				Id:         string(l.options.Self.ID),
				DataCentre: string(l.options.Self.DataCentre),
				Address:    l.options.Self.Address,
			},
			Incarnation:           l.options.Incarnation,
			ConfigurationRevision: uint64(l.store.Revision()),
			Leaving:               l.stopping,
		},
		Pools: l.poolLoads(),
	}
	if peerRevision < uint64(l.store.Revision()) {
		message.Configuration = encodeDelta(l.store.DeltaSince(configuration.Revision(peerRevision)))
	}
	l.addQuarantineDelta(now, message, to)
	return message
}

// remoteExchangeDone is the result of an exchange with a node of another data
// centre.
type remoteExchangeDone struct {
	remote   *remote
	response *peers.Message
	err      error
}

func (l *Loop) exchangeRemote(now time.Time, r *remote) {
	r.busy = true
	r.next = now.Add(l.jitter(l.intervals.Remote))
	message := l.buildRemoteMessage(now, r.node.ID, r.revision)
	l.async(func(ctx context.Context) event {
		answer, err := l.options.Peers.Exchange(ctx, r.node.Address, message)
		return remoteExchangeDone{r, answer, err}
	})
}

func (e remoteExchangeDone) apply(l *Loop, now time.Time) {
	e.remote.busy = false
	if e.err != nil {
		return
	}
	heartbeat := e.response.GetBeat()
	e.remote.revision = heartbeat.GetConfigurationRevision()
	e.remote.lastResponseAt = now
	e.remote.pools = e.response.GetPools()
	if heartbeat.GetLeaving() {
		e.remote.lastResponseAt = time.Time{}
	}
	l.receiveConfiguration(e.response.GetConfiguration())
	l.applyQuarantineDelta(now, e.response)
}
