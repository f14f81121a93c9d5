package control

import (
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// Budgets of a node's control traffic, in bytes sent per second. Together with
// a reserve for table reads and changes they stay below 6 KB/s.
const (
	exchangeBudget = 2200
	pollBudget     = 2400
)

// Message sizes without changes, in bytes: one side of an exchange with its
// framing, and one status poll. `make capacity` prints them.
const (
	exchangeBytes = 85
	pollBytes     = 80
)

// exchangesPerLoadReport is the number of exchanges between two reports of a
// load.
const exchangesPerLoadReport = 4

// headIntervalPerNode is added for each node of the data centre to the time
// between two reads of the table's head, which bounds the table's read rate: at
// 72 nodes the time is 3 s, so that 430 nodes read the head 143 times a second.
const headIntervalPerNode = 42 * time.Millisecond

// scaleIntervals returns the intervals and TTLs for a data centre with the
// given number of nodes, where this one watches the given number of endpoints.
// Small data centres use the settings; in large ones the intervals grow until
// the traffic fits the budgets, and the TTLs are at least two intervals.
func scaleIntervals(base Intervals, ttl membership.TTLs, nodes, watched int) (Intervals, membership.TTLs) {
	out := base
	out.Exchange = max(base.Exchange, intervalForBudget(nodes-1, exchangeBytes, exchangeBudget))
	out.Poll = max(base.Poll, intervalForBudget(watched, pollBytes, pollBudget))
	out.Head = max(base.Head, time.Duration(nodes)*headIntervalPerNode)
	out.Instances = max(base.Instances, 2*out.Head)
	out.Plan = max(base.Plan, time.Duration(nodes)*headIntervalPerNode/3)
	// The TTLs allow for one lost or late message.
	ttl.Own = max(ttl.Own, 5*out.Poll/2)
	ttl.Vouch = max(ttl.Vouch, 2*out.Exchange+ttl.Own)
	ttl.Load = max(ttl.Load, exchangesPerLoadReport*out.Exchange)
	out.Refresh = max(base.Refresh, out.Exchange/2)
	ttl.Peer = max(ttl.Peer, 5*out.Exchange/2)
	return out, ttl
}

// intervalForBudget returns the interval at which sending the messages uses
// the budget.
func intervalForBudget(messages, size, budget int) time.Duration {
	return time.Duration(messages*size) * time.Second / time.Duration(budget)
}

// rescale adapts the intervals to the current number of nodes and endpoints.
func (l *Loop) rescale(nodes int) {
	ttls := membership.TTLs{
		Own:   l.options.Membership.OwnTTL,
		Vouch: l.options.Membership.VouchTTL,
		Peer:  l.options.Membership.PeerTTL,
		Load:  l.options.Membership.LoadEvery,
	}
	l.intervals, ttls = scaleIntervals(l.options.Intervals, ttls, nodes, len(l.watches))
	l.tracker.SetTTLs(ttls)
	l.lease.SetReadInterval(l.intervals.Head)
}
