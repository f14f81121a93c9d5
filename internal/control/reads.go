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

// platformReads is the state of the periodic reads of the platform.
type platformReads struct {
	nextHead, nextInstances time.Time
	busyHead, busyInstances bool
	// behind is set when a head read found groups that this node lacks; the
	// next one reads them from the table if no peer has sent them by then.
	behind bool
	// listVersion is the version of the last instance list.
	listVersion uint64
	// lastResponseAt is when the table last responded.
	lastResponseAt time.Time
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

// headRead is the result of reading the head rows, with the changes that this
// node lacks.
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

// fetchHead runs outside the loop's goroutine and must not access its state.
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

// fetchGroups reads all group rows. Rows newer than the given head are
// included; they only apply a later change early.
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
		l.log.Debug("cannot read the platform's table", "error", e.err)
		return
	}
	l.reads.lastResponseAt = now
	l.applyConfiguration(e.configuration, "table")
	l.applyGroups(e.groups)
	// Peers deliver most changes sooner and at lower cost than a scan.
	l.reads.behind = e.head > l.groups.Revision()
}

// instancesRead is the result of reading the platform's instance list.
type instancesRead struct {
	list    []fleet.Instance
	version uint64
	changed bool
	err     error
}

func (e instancesRead) apply(l *Loop, now time.Time) {
	l.reads.busyInstances = false
	if e.err != nil {
		l.log.Debug("cannot read the instance list", "error", e.err)
		return
	}
	l.reads.listVersion = e.version
	if e.changed {
		l.setInstances(now, e.list)
		return
	}
	l.dropUnlisted(now)
}

// dropUnlisted removes unlisted instances that no longer respond.
func (l *Loop) dropUnlisted(now time.Time) {
	for id := range l.unlisted {
		if _, fresh := l.tracker.Status(now, id); !fresh {
			delete(l.unlisted, id)
			delete(l.instances, id)
			l.instancesChangedAt = now
		}
	}
}

// setInstances replaces the list. An instance that is no longer listed but
// still responds is kept as draining: it may be removed from the list before
// it terminates, and a group must not lose a member before that.
func (l *Loop) setInstances(now time.Time, list []fleet.Instance) {
	endpoints := map[fleet.InstanceID]fleet.Instance{}
	var entries []fleet.Instance
	for _, in := range list {
		switch {
		case in.Kind == fleet.KindEntry:
			entries = append(entries, in)
		case in.DataCentre == l.options.Self.DataCentre:
			endpoints[in.ID] = in
		}
	}
	clear(l.unlisted)
	for id, in := range l.instances {
		if _, listed := endpoints[id]; listed {
			continue
		}
		if _, fresh := l.tracker.Status(now, id); fresh {
			in.Draining = true
			endpoints[id] = in
			l.unlisted[id] = true
		}
	}
	if !sameInstances(l.instances, endpoints) {
		l.instancesChangedAt = now
	}
	l.instances = endpoints
	if len(entries) > 0 {
		l.setKnownNodes(now, entries)
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

// setKnownNodes sets the known nodes to the entry instances listed by the
// platform and those in the settings.
func (l *Loop) setKnownNodes(now time.Time, entries []fleet.Instance) {
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

// setRemotes picks the nodes of each other data centre to exchange messages
// with. The choice depends on a hash with this node's id, which spreads the
// links.
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
			return compareByHash(l.options.Self.ID, a, b)
		})
		list = slices.CompactFunc(list, func(a, b membership.Node) bool { return a.ID == b.ID })
		for _, node := range list[:min(len(list), linksPerDataCentre)] {
			r := l.remotes[node.ID]
			if r == nil || r.node != node {
				r = &remote{node: node}
			}
			chosen[node.ID] = r
		}
	}
	l.remotes = chosen
}

func compareByHash(self membership.NodeID, a, b membership.Node) int {
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
