package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
	"github.com/ridgehinge/ridgehinge/pkg/membership"
)

// reads is the state of the periodic reads of the platform.
type reads struct {
	nextHead, nextInstances time.Time
	busyHead, busyInstances bool
	// behind is set when a head read found groups that this node lacks; the
	// next one reads them from the table if no peer has brought them.
	behind bool
	// listVersion is the version of the instance list that is held.
	listVersion uint64
	// answered is when the table last answered.
	answered time.Time
}

func (l *Loop) readPlatform(now time.Time) {
	if !l.reads.busyHead && !now.Before(l.reads.nextHead) {
		l.reads.busyHead = true
		l.reads.nextHead = now.Add(l.jitter(l.intervals.Head))
		l.readHead()
	}
	if !l.reads.busyInstances && !now.Before(l.reads.nextInstances) {
		l.reads.busyInstances = true
		l.reads.nextInstances = now.Add(l.jitter(l.intervals.Instances))
		dc, version := l.options.Self.DataCentre, l.reads.listVersion
		l.async(func(ctx context.Context) event {
			list, newVersion, err := l.options.Platform.Instances(ctx, dc, version)
			return instancesRead{list, newVersion, newVersion != version, err}
		})
	}
}

// headRead is the answer to a read of the head rows, with what they showed
// to be missing here.
type headRead struct {
	configuration configuration.Delta
	groups        fleet.GroupsDelta
	head          uint64
	err           error
}

func (l *Loop) readHead() {
	have := l.store.Revision()
	haveGroups := l.groups.Revision()
	behind := l.reads.behind
	l.async(func(ctx context.Context) event {
		return l.fetchHead(ctx, have, haveGroups, behind)
	})
}

// fetchHead runs outside the loop's goroutine and touches none of its state.
func (l *Loop) fetchHead(ctx context.Context, have configuration.Revision, haveGroups uint64, behind bool) headRead {
	dc := l.options.Self.DataCentre
	rows, err := l.options.Platform.Get(ctx, confstore.HeadKey, ledger.HeadKey(dc))
	if err != nil {
		return headRead{err: err}
	}
	head, err := confstore.DecodeHead(rows[0])
	if err != nil {
		return headRead{err: err}
	}
	var groups ledger.Head
	if rows[1].Version > 0 {
		if err := json.Unmarshal(rows[1].Value, &groups); err != nil {
			return headRead{err: err}
		}
	}
	out := headRead{head: groups.Revision}
	if head.Revision > have {
		out.configuration, out.err = confstore.Delta(ctx, l.options.Platform, have, head.Revision)
	}
	if behind && groups.Revision > haveGroups && out.err == nil {
		out.groups, out.err = l.fetchGroups(ctx, groups.Revision)
	}
	return out
}

// fetchGroups reads all group rows. Rows newer than the head that was read
// before are kept as well; they only bring later news earlier.
func (l *Loop) fetchGroups(ctx context.Context, head uint64) (fleet.GroupsDelta, error) {
	delta := fleet.GroupsDelta{To: head, Full: true}
	rows, err := l.options.Platform.Scan(ctx, ledger.GroupPrefix(l.options.Self.DataCentre))
	if err != nil {
		return delta, err
	}
	for _, row := range rows {
		var g fleet.Group
		if err := json.Unmarshal(row.Value, &g); err != nil {
			return delta, err
		}
		delta.Groups = append(delta.Groups, g)
	}
	return delta, nil
}

func (e headRead) apply(l *Loop, now time.Time) {
	l.reads.busyHead = false
	if e.err != nil {
		l.log.Debug("the table did not answer", "error", e.err)
		return
	}
	l.reads.answered = now
	l.applyConfiguration(e.configuration, "table")
	l.applyGroups(e.groups)
	// A peer brings most changes sooner and cheaper than a scan.
	l.reads.behind = e.head > l.groups.Revision()
}

// instancesRead is the platform's instance list.
type instancesRead struct {
	list    []fleet.Instance
	version uint64
	changed bool
	err     error
}

func (e instancesRead) apply(l *Loop, now time.Time) {
	l.reads.busyInstances = false
	if e.err != nil {
		l.log.Debug("the instance list did not come", "error", e.err)
		return
	}
	l.reads.listVersion = e.version
	if e.changed {
		l.setInstances(now, e.list)
		return
	}
	l.dropEnded(now)
}

// dropEnded forgets instances that were kept only because they answered.
func (l *Loop) dropEnded(now time.Time) {
	for id := range l.unlisted {
		if _, fresh := l.tracker.Status(now, id); !fresh {
			delete(l.unlisted, id)
			delete(l.instances, id)
			l.listed = now
		}
	}
}

// setInstances takes a new list. An instance that is no longer listed but
// still answers is kept as leaving: the list may run ahead of the instance's
// end, and a group must not lose a member before that.
func (l *Loop) setInstances(now time.Time, list []fleet.Instance) {
	mine := map[fleet.InstanceID]fleet.Instance{}
	var entries []fleet.Instance
	for _, in := range list {
		switch {
		case in.Kind == fleet.KindEntry:
			entries = append(entries, in)
		case in.DataCentre == l.options.Self.DataCentre:
			mine[in.ID] = in
		}
	}
	clear(l.unlisted)
	for id, in := range l.instances {
		if _, listed := mine[id]; listed {
			continue
		}
		if _, fresh := l.tracker.Status(now, id); fresh {
			in.Draining = true
			mine[id] = in
			l.unlisted[id] = true
		}
	}
	if !sameInstances(l.instances, mine) {
		l.listed = now
	}
	l.instances = mine
	if len(entries) > 0 {
		l.setKnown(now, entries)
	}
}

func sameInstances(a, b map[fleet.InstanceID]fleet.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for id, in := range a {
		if b[id] != in {
			return false
		}
	}
	return true
}

// setKnown takes the entry instances that the platform lists, besides those
// of the settings.
func (l *Loop) setKnown(now time.Time, entries []fleet.Instance) {
	nodes := slices.Clone(l.options.Bootstrap)
	for _, in := range entries {
		nodes = append(nodes, membership.Node{
			ID:         membership.NodeID(in.ID),
			DataCentre: in.DataCentre,
			Address:    in.Address,
		})
	}
	l.tracker.SetKnown(now, nodes)
	l.setRemotes(nodes)
}

// setRemotes picks, by a hash with this node's name, the few nodes of each
// other data centre to keep a link to, so that the links are spread.
func (l *Loop) setRemotes(nodes []membership.Node) {
	byCentre := map[fleet.DataCentre][]membership.Node{}
	for _, node := range nodes {
		if node.DataCentre != l.options.Self.DataCentre {
			byCentre[node.DataCentre] = append(byCentre[node.DataCentre], node)
		}
	}
	chosen := map[membership.NodeID]*remote{}
	for _, list := range byCentre {
		slices.SortFunc(list, func(a, b membership.Node) int {
			return compareScore(l.options.Self.ID, a, b)
		})
		list = slices.CompactFunc(list, func(a, b membership.Node) bool { return a.ID == b.ID })
		for _, node := range list[:min(len(list), remoteLinks)] {
			r := l.remotes[node.ID]
			if r == nil || r.node != node {
				r = &remote{node: node}
			}
			chosen[node.ID] = r
		}
	}
	l.remotes = chosen
}

func compareScore(self membership.NodeID, a, b membership.Node) int {
	x := xxh3.HashString(string(self) + "/" + string(a.ID))
	y := xxh3.HashString(string(self) + "/" + string(b.ID))
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}
