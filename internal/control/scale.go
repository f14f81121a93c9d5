package control

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// Budgets of a node's control traffic, in bytes a second that it sends. They
// leave a quarter of the 6 KB that a node may spend for the table and for
// changes.
const (
	exchangeBudget = 2200
	pollBudget     = 2400
)

// Sizes at rest, in bytes sent: one side of an exchange with its framing, and
// one status poll. `make capacity` prints them.
const (
	exchangeBytes = 85
	pollBytes     = 80
)

// loadExchanges is the number of exchanges between two reports of a load.
const loadExchanges = 4

// headPerNode is how much longer the time between two reads of the table's
// head becomes with each node of the data centre: at 72 it is 3 s, so that
// 430 nodes read it 143 times a second.
const headPerNode = 42 * time.Millisecond

// scaled returns the intervals and evidence times for a data centre of so
// many nodes, of which this one watches so many endpoints. Small data centres
// keep the settings; in large ones the intervals grow until the traffic fits
// the budgets, and the evidence lives for two of them and a little more.
func scaled(base Intervals, ttl membership.TTLs, nodes, watched int) (Intervals, membership.TTLs) {
	out := base
	out.Exchange = max(base.Exchange, perSecond(nodes-1, exchangeBytes, exchangeBudget))
	out.Poll = max(base.Poll, perSecond(watched, pollBytes, pollBudget))
	out.Head = max(base.Head, time.Duration(nodes)*headPerNode)
	out.Instances = max(base.Instances, 2*out.Head)
	out.Plan = max(base.Plan, time.Duration(nodes)*headPerNode/3)
	// One message may always be lost or late.
	ttl.Own = max(ttl.Own, 5*out.Poll/2)
	ttl.Vouch = max(ttl.Vouch, 2*out.Exchange+ttl.Own)
	ttl.Load = max(ttl.Load, loadExchanges*out.Exchange)
	out.Refresh = max(base.Refresh, out.Exchange/2)
	ttl.Peer = max(ttl.Peer, 5*out.Exchange/2)
	return out, ttl
}

// perSecond is the interval at which so many messages of a size cost the
// budget.
func perSecond(messages, size, budget int) time.Duration {
	return time.Duration(messages*size) * time.Second / time.Duration(budget)
}

// rescale adapts the intervals to the nodes and endpoints as they are now.
func (l *Loop) rescale(nodes int) {
	times := membership.TTLs{
		Own:   l.options.Membership.OwnTTL,
		Vouch: l.options.Membership.VouchTTL,
		Peer:  l.options.Membership.PeerTTL,
		Load:  l.options.Membership.LoadEvery,
	}
	l.intervals, times = scaled(l.options.Intervals, times, nodes, len(l.watches))
	l.tracker.SetTTLs(times)
	l.lease.SetReadInterval(l.intervals.Head)
}
