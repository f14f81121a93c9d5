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

// maxDeltaRecords bounds the records of one message.
const maxDeltaRecords = 128

// Delta returns what the peer lacks, and acknowledges what this node has received; nil is
// nothing.
func (t *Tracker) Delta(c *delta.Cursor, now time.Time) *sharepb.AdvisoryDelta {
	t.mu.Lock()
	records, version := t.registry.Changes(c.Acked(), maxDeltaRecords)
	t.mu.Unlock()
	if version == 0 && c.Received() == 0 {
		return nil
	}
	out := &sharepb.AdvisoryDelta{Version: version, Seen: c.Received()}
	for _, r := range records {
		out.Advisories = append(out.Advisories, recordToWire(r, now))
	}
	return out
}

// ApplyDelta applies what a peer sent.
func (t *Tracker) ApplyDelta(c *delta.Cursor, d *sharepb.AdvisoryDelta, source string, now time.Time) {
	c.Advance(d.GetVersion(), d.GetSeen())
	for _, one := range d.GetAdvisories() {
		inc, limit := FromWire(one, now)
		t.applyLimit(inc, limit, source, now)
		if one.GetDraining() {
			t.markDraining(inc, source, now)
		}
	}
}

// recordToWire encodes all that an endpoint said.
func recordToWire(r advisory.Record, now time.Time) *sharepb.EndpointAdvisory {
	out := ToWire(r.Incarnation, r.RateLimit, now)
	out.Draining = r.Draining
	return out
}

// ToWire encodes a limit for another node, its time as an age.
func ToWire(inc serving.Incarnation, l advisory.RateLimit, now time.Time) *sharepb.EndpointAdvisory {
	return &sharepb.EndpointAdvisory{Endpoint: string(inc.ID), StartedAt: inc.StartedAt, PerSecond: l.PerSecond, AgeMs: clock.AgeMillis(l.At, now)}
}

// FromWire is the reverse of ToWire. What is no number of requests is dated before all else,
// so that it is ignored.
func FromWire(m *sharepb.EndpointAdvisory, now time.Time) (serving.Incarnation, advisory.RateLimit) {
	inc := serving.Incarnation{ID: serving.EndpointID(m.GetEndpoint()), StartedAt: m.GetStartedAt()}
	if perSecond := m.GetPerSecond(); !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return inc, advisory.RateLimit{}
	}
	return inc, advisory.RateLimit{PerSecond: m.GetPerSecond(), At: clock.FromAgeMillis(m.GetAgeMs(), now)}
}
