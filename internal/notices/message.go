package notices

import (
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/sharecodec"
)

// cursor is what one side of a stream has sent, as the versions and numbers of its parts.
type cursor struct {
	// follows is set on the side that opened the stream. It sends only rows that it read itself: those
	// of other nodes came from the ones that it follows.
	follows bool
	// sentAt is when the last message was sent.
	sentAt        time.Time
	rows          uint64
	advisories    uint64
	quarantine    uint64
	evacuations   uint64
	configuration uint64
	// suspects are the endpoints of the last list: a follower's own, or those that a followed node relays.
	suspects []string
}

// collect returns what is new since the last message, and whether there is more than one message may have.
func (x *Exchange) collect(c *cursor, now time.Time) (m *sharepb.Notices, more bool) {
	o := &x.options
	m = &sharepb.Notices{From: o.Self}
	if at := o.Directory.NoticesKnownAt(); !at.IsZero() {
		age := clock.AgeMillis(at, now)
		m.EndpointsAgeMs = &age
	}
	rows, last := o.Directory.Notices(c.rows, c.follows)
	m.Rows, c.rows = sharecodec.ToRows(rows, o.Directory.LeavingLearnedAt, now), last
	var version uint64
	m.Advisories, version = o.Throttle.EncodedChanges(c.advisories, now)
	more = version > c.advisories
	c.advisories = version
	m.Quarantine, version = o.Quarantine.EncodedChanges(c.quarantine, now)
	more = more || version > c.quarantine
	c.quarantine = version
	if records, version := o.Directory.Evacuations(); version > c.evacuations {
		m.Evacuations, m.EvacuationsVersion = sharecodec.ToEvacuations(records, now), version
		c.evacuations = version
	}
	if version, _ := o.Directory.Configuration(); version > c.configuration {
		m.ConfigurationVersion, c.configuration = version, version
	}
	x.addSuspects(m, c)
	return m, more
}

// addSuspects adds the suspects that have changed. Followed nodes send those that several nodes agree on,
// followers their own.
func (x *Exchange) addSuspects(m *sharepb.Notices, c *cursor) {
	source, list := x.options.RelayedSuspects, &m.RelayedSuspects
	if c.follows {
		source, list = x.options.OwnSuspects, &m.Suspects
	}
	if suspects := source(); !slices.Equal(suspects, c.suspects) {
		*list, c.suspects = &sharepb.EndpointList{Endpoints: suspects}, suspects
	}
}

// hello returns the first message of a stream that this node opens.
func (x *Exchange) hello() *sharepb.Notices {
	version, _ := x.options.Directory.TableVersion()
	return &sharepb.Notices{From: x.options.Self, EndpointsVersion: version}
}

// missedRows returns a message with the rows that a follower lacks that knows the endpoint table up to a
// version, and the number of the last notice that they cover. A follower without a table gets it elsewhere.
func (x *Exchange) missedRows(version uint64) (m *sharepb.Notices, last uint64) {
	rows, last := x.options.Directory.NoticesSince(version)
	m = &sharepb.Notices{From: x.options.Self}
	if version > 0 {
		m.Rows = sharecodec.ToRows(rows, x.options.Directory.LeavingLearnedAt, time.Now())
	}
	return m, last
}

// isEmpty reports whether a message has nothing but the age of the sender's knowledge.
func isEmpty(m *sharepb.Notices) bool {
	return len(m.Rows)+len(m.Advisories)+len(m.Quarantine) == 0 && m.Evacuations == nil && m.ConfigurationVersion == 0 &&
		m.Suspects == nil && m.RelayedSuspects == nil
}

// apply applies a message; address is that of a followed node that sent it, empty for others.
func (x *Exchange) apply(m *sharepb.Notices, address string, now time.Time) {
	o := &x.options
	source := "notice of " + m.GetFrom().GetId()
	update := sharecodec.FromRows(m.GetRows(), now)
	update.Source = source
	var knownAt time.Time
	if m.EndpointsAgeMs != nil && address != "" {
		knownAt = clock.FromAgeMillis(m.GetEndpointsAgeMs(), now)
	}
	o.Directory.ApplyNotices(update, knownAt, now)
	o.Throttle.MergeEncoded(m.GetAdvisories(), source, now)
	o.Quarantine.MergeEncoded(m.GetQuarantine(), source, now)
	if m.GetEvacuations() != nil {
		o.Directory.MergeEvacuations(sharecodec.FromEvacuations(m.GetEvacuations(), now), m.GetEvacuationsVersion(), source, now)
	}
	if version, _ := o.Directory.Configuration(); address != "" && m.GetConfigurationVersion() > version {
		o.OnConfiguration(address, m.GetConfigurationVersion())
	}
	if m.GetSuspects() != nil || m.GetRelayedSuspects() != nil {
		o.OnSuspects(m.GetFrom().GetAddress(), Suspects{listed(m.GetSuspects()), listed(m.GetRelayedSuspects())})
	}
}

// listed returns the endpoints of a list, nil if there is no list.
func listed(l *sharepb.EndpointList) []string {
	if l == nil {
		return nil
	}
	return append([]string{}, l.GetEndpoints()...)
}
