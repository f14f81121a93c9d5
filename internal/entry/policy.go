package entry

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/gossip"
	"github.com/ridgehinge/ridgehinge/internal/groupcontrol"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/health"
)

// Policy has the settings of the system's decisions. Each mechanism can be turned off by itself,
// so that its effect can be measured.
type Policy struct {
	// LeaseOutageExtension is how long a controller acts past the expiry of its lease while the
	// store is unavailable; zero turns it off.
	LeaseOutageExtension time.Duration
	// ReturnGrace is how long after a store outage endpoints count as listed whose rows were
	// removed during the outage; zero turns it off.
	ReturnGrace time.Duration
	// RecheckDead has controllers ask listed endpoints again that did not respond.
	RecheckDead bool
	// Groups has the weights for forming replica groups.
	Groups groupcontrol.Weights
	// Relay has the weights for distributing and rejecting requests.
	Relay relay.Weights
	// OverloadControl sheds load while a pool has more demand than it can serve, by Overload.
	OverloadControl bool
	Overload        admission.Policy
	// EndpointPause is the time between two reads of the endpoint table by the node that reads
	// it for its data centre; RelyOnPeers is how long the others wait for its rows before they
	// read the table themselves.
	EndpointPause time.Duration
	RelyOnPeers   time.Duration
	// FullRateNodes is the number of nodes up to which they call a relay at the full rate; with
	// more, each calls less often.
	FullRateNodes int
}

// watchOptions returns the options for watching the store's tables.
func (p Policy) watchOptions() directory.WatchOptions {
	o := directory.DefaultWatchOptions()
	o.EndpointPause = p.EndpointPause
	o.RelyOnPeers = p.RelyOnPeers
	return o
}

// defaultLeaseOutageExtension is longer than usual outages of the store.
const defaultLeaseOutageExtension = 30 * time.Second

func readPolicy(p *inicheck.Section) Policy {
	const minDuration, maxDuration = 10 * time.Millisecond, time.Minute
	watch := directory.DefaultWatchOptions()
	return Policy{
		LeaseOutageExtension: p.Duration("lease_outage", defaultLeaseOutageExtension, 0, time.Hour),
		ReturnGrace:          p.Duration("return_grace", directory.DefaultReturnGrace, 0, time.Minute),
		RecheckDead:          p.Bool("recheck_dead", false),
		Groups: groupcontrol.Weights{
			Demand:             p.Float("demand_weight", groupcontrol.DefaultWeights.Demand, 0, 1),
			Headroom:           p.Float("headroom", groupcontrol.DefaultWeights.Headroom, 1, 10),
			ModelChange:        p.Float("change_cost", groupcontrol.DefaultWeights.ModelChange, 0, 10),
			TakeoverGain:       p.Float("takeover_gain", groupcontrol.DefaultWeights.TakeoverGain, 0, 1),
			SpareFraction:      p.Float("spares", groupcontrol.DefaultWeights.SpareFraction, 0, 0.5),
			PackDomains:        p.Bool("pack_domains", groupcontrol.DefaultWeights.PackDomains),
			CorrectForLateness: p.Bool("corrected_demand", groupcontrol.DefaultWeights.CorrectForLateness),
			LocalWeight:        p.Float("home_weight", groupcontrol.DefaultWeights.LocalWeight, 0, 1),
			CallerWeight:       p.Float("caller_weight", groupcontrol.DefaultWeights.CallerWeight, 0, 1),

			AcrossDomains: p.Bool("across_domains", groupcontrol.DefaultWeights.AcrossDomains),
			WarmSpares:    p.Bool("warm_spares", groupcontrol.DefaultWeights.WarmSpares),
			SecondModels:  p.Bool("second_models", groupcontrol.DefaultWeights.SecondModels),
		},
		Relay: relay.Weights{
			RemotePenalty:      p.Duration("remote_penalty", relay.DefaultWeights.RemotePenalty, 0, maxDuration),
			DrawPower:          p.Float("draw_power", relay.DefaultWeights.DrawPower, 0, 100),
			LateFactor:         p.Float("late_factor", relay.DefaultWeights.LateFactor, 0.1, 100),
			OverloadRetryAfter: p.Duration("overload_return", relay.DefaultWeights.OverloadRetryAfter, minDuration, maxDuration),
			SkipUnreachable:    p.Bool("cut_off", relay.DefaultWeights.SkipUnreachable),
			Failures:           readFailures(p),
			ObservedPace:       p.Bool("observed_pace", relay.DefaultWeights.ObservedPace),
			SharedEvents:       p.Bool("shared_events", relay.DefaultWeights.SharedEvents),
			FirstOffset:        p.Bool("first_offset", relay.DefaultWeights.FirstOffset),
			FreeWeight:         p.Bool("free_weight", relay.DefaultWeights.FreeWeight),
			Affinity:           p.Float("affinity", relay.DefaultWeights.Affinity, 1, 100),
			ConnectionBound:    p.Bool("connection_bound", relay.DefaultWeights.ConnectionBound),
		},
		OverloadControl: p.Bool("overload_control", false),
		Overload:        readOverload(p),
		EndpointPause:   p.Duration("endpoint_pause", watch.EndpointPause, minDuration, maxDuration),
		RelyOnPeers:     p.Duration("rely_on_peers", watch.RelyOnPeers, minDuration, maxDuration),
		FullRateNodes:   p.Int("share_nodes", gossip.DefaultFullRateNodes, 1, 10_000),
	}
}

// readOverload reads the settings of overload control.
func readOverload(p *inicheck.Section) admission.Policy {
	const minCorrection, maxCorrection = 10 * time.Millisecond, time.Minute
	d := admission.DefaultPolicy()
	return admission.Policy{
		Occupancy:       p.Float("overload_occupancy", d.Occupancy, 0.1, 2),
		Backlog:         p.Float("overload_backlog", d.Backlog, 0.01, 10),
		Correction:      p.Duration("overload_correction", d.Correction, minCorrection, maxCorrection),
		ReservedSlots:   p.Float("reserved_slots", d.ReservedSlots, 0, 1),
		ReservedBacklog: p.Float("reserved_backlog", d.ReservedBacklog, 0, 1),
		MinShare:        p.Float("min_share", d.MinShare, 0, 0.5),
		ReturnShare:     p.Float("return_share", d.ReturnShare, 0, 1),
	}
}

// readFailures reads the policy for choosing endpoints by their failures.
func readFailures(p *inicheck.Section) health.FailurePolicy {
	name := p.OneOf("failures", relay.DefaultWeights.Failures.String(), health.PolicyNames()...)
	policy, err := health.ParsePolicy(name)
	if err != nil {
		// OneOf has already recorded the error.
		return relay.DefaultWeights.Failures
	}
	return policy
}
