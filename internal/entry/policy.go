package entry

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/gossip"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/health"
)

// Policy has the switches of how the system decides. Each can be turned off by
// itself, so that what it is worth can be measured (docs/DECISIONS.md).
type Policy struct {
	// LeaseOutage is how long a controller goes on past its lease while the
	// store does not answer it; zero turns it off.
	LeaseOutage time.Duration
	// ReturnGrace is for how long after an outage of the store endpoints count as
	// listed whose rows went in it; zero turns it off.
	ReturnGrace time.Duration
	// Groups decides which groups are worth forming.
	Groups groupcontrol.Weights
	// Relay decides how requests are spread and turned away.
	Relay relay.Weights
	// EndpointPause is the time between two reads of the endpoint table by the
	// node that reads it for its data centre; RelyOnPeers is how long the others
	// wait for news of it before they read it themselves.
	EndpointPause time.Duration
	RelyOnPeers   time.Duration
	// ShareNodes is up to how many nodes call a relay as often as they can; more call
	// it more seldom.
	ShareNodes int
}

// watchOptions are those of following the store's tables.
func (p Policy) watchOptions() directory.WatchOptions {
	o := directory.DefaultWatchOptions()
	o.EndpointPause = p.EndpointPause
	o.RelyOnPeers = p.RelyOnPeers
	return o
}

// defaultLeaseOutage is longer than the outages of the store that were met so far,
// of up to nine seconds.
const defaultLeaseOutage = 30 * time.Second

func readPolicy(p *inicheck.Section) Policy {
	const least, most = 10 * time.Millisecond, time.Minute
	watch := directory.DefaultWatchOptions()
	return Policy{
		LeaseOutage: p.Duration("lease_outage", defaultLeaseOutage, 0, time.Hour),
		ReturnGrace: p.Duration("return_grace", directory.DefaultReturnGrace, 0, time.Minute),
		Groups: groupcontrol.Weights{
			Demand:             p.Float("demand_weight", groupcontrol.DefaultWeights.Demand, 0, 1),
			Headroom:           p.Float("headroom", groupcontrol.DefaultWeights.Headroom, 1, 10),
			ModelChange:        p.Float("change_cost", groupcontrol.DefaultWeights.ModelChange, 0, 10),
			TakeoverGain:       p.Float("takeover_gain", groupcontrol.DefaultWeights.TakeoverGain, 0, 1),
			SpareFraction:      p.Float("spares", groupcontrol.DefaultWeights.SpareFraction, 0, 0.5),
			CorrectForLateness: p.Bool("corrected_demand", groupcontrol.DefaultWeights.CorrectForLateness),
			LocalWeight:        p.Float("home_weight", groupcontrol.DefaultWeights.LocalWeight, 0, 1),

			AcrossDomains: p.Bool("across_domains", groupcontrol.DefaultWeights.AcrossDomains),
			WarmSpares:    p.Bool("warm_spares", groupcontrol.DefaultWeights.WarmSpares),
			SecondModels:  p.Bool("second_models", groupcontrol.DefaultWeights.SecondModels),
		},
		Relay: relay.Weights{
			RemotePenalty:      p.Duration("remote_penalty", relay.DefaultWeights.RemotePenalty, 0, most),
			DrawPower:          p.Float("draw_power", relay.DefaultWeights.DrawPower, 0, 100),
			LateFactor:         p.Float("late_factor", relay.DefaultWeights.LateFactor, 0.1, 100),
			OverloadRetryAfter: p.Duration("overload_return", relay.DefaultWeights.OverloadRetryAfter, least, most),
			SkipUnreachable:    p.Bool("cut_off", relay.DefaultWeights.SkipUnreachable),
			Failures:           readFailures(p),
			ObservedPace:       p.Bool("observed_pace", relay.DefaultWeights.ObservedPace),
			SharedEvents:       p.Bool("shared_events", relay.DefaultWeights.SharedEvents),
		},
		EndpointPause: p.Duration("endpoint_pause", watch.EndpointPause, least, most),
		RelyOnPeers:   p.Duration("rely_on_peers", watch.RelyOnPeers, least, most),
		ShareNodes:    p.Int("share_nodes", gossip.DefaultFullRateNodes, 1, 10_000),
	}
}

// readFailures reads what an endpoint's failures do to the choice of it.
func readFailures(p *inicheck.Section) health.FailurePolicy {
	name := p.OneOf("failures", relay.DefaultWeights.Failures.String(), health.PolicyNames()...)
	policy, err := health.ParsePolicy(name)
	if err != nil {
		// The section has noted the mistake already.
		return relay.DefaultWeights.Failures
	}
	return policy
}
