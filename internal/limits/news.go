package limits

import (
	"math"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/news"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/pkg/limit"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// recordsTold bounds the limits of one message.
const recordsTold = 128

// News returns what the peer has not heard yet, and what this node has heard of it; nil is
// nothing.
func (k *Keeper) News(l *news.Link, now time.Time) *sharepb.LimitNews {
	k.mu.Lock()
	records, version := k.book.Changes(l.Told(), recordsTold)
	k.mu.Unlock()
	if version == 0 && l.Heard() == 0 {
		return nil
	}
	out := &sharepb.LimitNews{Version: version, Seen: l.Heard()}
	for _, r := range records {
		out.Limits = append(out.Limits, ToWire(r.Life, r.Limit, now))
	}
	return out
}

// TakeNews takes what a peer tells.
func (k *Keeper) TakeNews(l *news.Link, told *sharepb.LimitNews, source string, now time.Time) {
	l.Take(told.GetVersion(), told.GetSeen())
	for _, one := range told.GetLimits() {
		incarnation, known := FromWire(one, now)
		k.note(incarnation, known, source, now)
	}
}

// ToWire tells a limit to another node, its time as an age.
func ToWire(incarnation serving.Incarnation, l limit.Limit, now time.Time) *sharepb.EndpointLimit {
	return &sharepb.EndpointLimit{Endpoint: string(incarnation.ID), StartedAt: incarnation.StartedAt, PerSecond: l.PerSecond, AgeMs: clock.MillisAgo(l.At, now)}
}

// FromWire is the reverse of ToWire. What is no number of requests is dated before all else,
// so that it tells nothing.
func FromWire(told *sharepb.EndpointLimit, now time.Time) (serving.Incarnation, limit.Limit) {
	incarnation := serving.Incarnation{ID: serving.EndpointID(told.GetEndpoint()), StartedAt: told.GetStartedAt()}
	if perSecond := told.GetPerSecond(); !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return incarnation, limit.Limit{}
	}
	return incarnation, limit.Limit{PerSecond: told.GetPerSecond(), At: clock.AtMillisAgo(told.GetAgeMs(), now)}
}
