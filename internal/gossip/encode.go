package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// maxEventAge bounds the age of an endpoint's last event that is sent to peers.
const maxEventAge = 10 * time.Second

// toLoads encodes loads, with times as ages.
func toLoads(loads map[serving.EndpointID]relay.PeerLoad, now time.Time) []*sharepb.EndpointLoad {
	out := make([]*sharepb.EndpointLoad, 0, len(loads))
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		l := loads[id]
		load := &sharepb.EndpointLoad{
			Endpoint: string(id),
			Running:  uint32(l.Running),
			Unread:   uint32(max(0, l.Unread)),
			Epoch:    l.Epoch,
			Served:   float32(l.Tally.Served),
			Failed:   float32(l.Tally.Failed),
			Took:     float32(l.Pace.Took),
			Reckoned: float32(l.Pace.Expected),
		}
		if now.Sub(l.LastEvent) < maxEventAge {
			ms := clock.AgeMillis(l.LastEvent, now)
			load.EventAgeMs = &ms
		}
		out = append(out, load)
	}
	return out
}

// fromLoads is the reverse of toLoads.
func fromLoads(loads []*sharepb.EndpointLoad, now time.Time) map[serving.EndpointID]relay.PeerLoad {
	out := make(map[serving.EndpointID]relay.PeerLoad, len(loads))
	for _, l := range loads {
		load := relay.PeerLoad{
			Running: int(l.GetRunning()),
			Unread:  int(l.GetUnread()),
			Epoch:   l.GetEpoch(),
			Tally:   health.Tally{Served: float64(l.GetServed()), Failed: float64(l.GetFailed())},
			Pace:    health.Pace{Took: float64(l.GetTook()), Expected: float64(l.GetReckoned())},
		}
		if l.EventAgeMs != nil {
			load.LastEvent = clock.FromAgeMillis(l.GetEventAgeMs(), now)
		}
		out[serving.EndpointID(l.GetEndpoint())] = load
	}
	return out
}

func toDemand(demand map[directory.Pool]relay.ModelDemand) []*sharepb.Demand {
	out := make([]*sharepb.Demand, 0, len(demand))
	for pool, d := range demand {
		out = append(out, &sharepb.Demand{
			Service:  pool.Service,
			Model:    pool.Model,
			Groups:   d.Groups,
			Requests: float32(d.Requests),
			InTime:   float32(d.InTime),
			Late:     float32(d.Late),
		})
	}
	return out
}

func fromDemand(demand []*sharepb.Demand) map[directory.Pool]relay.ModelDemand {
	out := make(map[directory.Pool]relay.ModelDemand, len(demand))
	for _, d := range demand {
		out[directory.Pool{Service: d.GetService(), Model: d.GetModel()}] = relay.ModelDemand{
			Groups:   d.GetGroups(),
			Requests: float64(d.GetRequests()),
			InTime:   float64(d.GetInTime()),
			Late:     float64(d.GetLate()),
		}
	}
	return out
}

func toObservation(o directory.Observation) *sharepb.Observation {
	return &sharepb.Observation{
		Endpoint:  string(o.ID),
		Model:     o.Model,
		Group:     o.Membership.Group,
		Epoch:     o.Membership.Epoch,
		Rank:      uint32(o.Membership.Rank),
		State:     uint32(o.Membership.State),
		Orders:    o.Orders,
		StartedAt: o.StartedAt,
	}
}

func fromObservation(o *sharepb.Observation) directory.Observation {
	return directory.Observation{
		ID:        serving.EndpointID(o.GetEndpoint()),
		Model:     o.GetModel(),
		Orders:    o.GetOrders(),
		StartedAt: o.GetStartedAt(),
		Membership: serving.Membership{
			Group: o.GetGroup(),
			Epoch: o.GetEpoch(),
			Rank:  int(o.GetRank()),
			State: serving.MemberState(o.GetState()),
		},
	}
}
