package throttle

import (
	"math"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/delta"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/advisory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// maxDeltaRecords bounds the records in one message.
const maxDeltaRecords = 128

// Delta returns the advisories that a peer lacks and acknowledges those received from it. It
// returns nil if there is nothing to send.
func (t *Tracker) Delta(c *delta.Cursor, now time.Time) *sharepb.AdvisoryDelta {
	advisories, version := t.EncodedChanges(c.Acked(), now)
	if version == 0 && c.Received() == 0 {
		return nil
	}
	return &sharepb.AdvisoryDelta{Advisories: advisories, Version: version, Seen: c.Received()}
}

// EncodedChanges returns up to maxDeltaRecords advisories that changed after a version, and the version
// that they cover.
func (t *Tracker) EncodedChanges(since uint64, now time.Time) ([]*sharepb.EndpointAdvisory, uint64) {
	t.mu.Lock()
	records, version := t.registry.Changes(since, maxDeltaRecords)
	t.mu.Unlock()
	var out []*sharepb.EndpointAdvisory
	for _, r := range records {
		out = append(out, recordToWire(r, now))
	}
	return out, version
}

// ApplyDelta applies advisories from a peer.
func (t *Tracker) ApplyDelta(c *delta.Cursor, d *sharepb.AdvisoryDelta, source string, now time.Time) {
	c.Advance(d.GetVersion(), d.GetSeen())
	t.MergeEncoded(d.GetAdvisories(), source, now)
}

// MergeEncoded applies advisories from a peer; source names it in the log.
func (t *Tracker) MergeEncoded(advisories []*sharepb.EndpointAdvisory, source string, now time.Time) {
	for _, a := range advisories {
		inc, limit := FromWire(a, now)
		t.applyLimit(inc, limit, source, now)
		if a.GetDraining() {
			t.markDraining(inc, source, now)
		}
	}
}

func recordToWire(r advisory.Record, now time.Time) *sharepb.EndpointAdvisory {
	out := ToWire(r.Incarnation, r.RateLimit, now)
	out.Draining = r.Draining
	return out
}

// ToWire encodes a limit for a peer. Its time is sent as an age, since clocks differ.
func ToWire(inc serving.Incarnation, l advisory.RateLimit, now time.Time) *sharepb.EndpointAdvisory {
	return &sharepb.EndpointAdvisory{Endpoint: string(inc.ID), StartedAt: inc.StartedAt, PerSecond: l.PerSecond, AgeMs: clock.AgeMillis(l.At, now)}
}

// FromWire decodes a limit from a peer. An invalid rate yields the zero limit, whose zero
// time makes it older than any other, so that it is ignored.
func FromWire(m *sharepb.EndpointAdvisory, now time.Time) (serving.Incarnation, advisory.RateLimit) {
	inc := serving.Incarnation{ID: serving.EndpointID(m.GetEndpoint()), StartedAt: m.GetStartedAt()}
	if perSecond := m.GetPerSecond(); !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return inc, advisory.RateLimit{}
	}
	return inc, advisory.RateLimit{PerSecond: m.GetPerSecond(), At: clock.FromAgeMillis(m.GetAgeMs(), now)}
}
