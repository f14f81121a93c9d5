// Package health rates endpoints by the results of their requests, by their pace, and by how long
// they have been silent.
//
// It is pure: times are passed with each call. It returns failure rates and weights between 0 and 1,
// slowdown factors and durations, and no errors. Counts are exponentially decayed.
package health

import (
	"fmt"
	"math"
	"time"
)

// decayTime is the time constant of the decay: long enough to measure a failure rate of a tenth at
// about twenty requests a second, short enough to trust a recovered endpoint after ten seconds.
const decayTime = 3 * time.Second

// Tally is the decayed count of requests by result.
type Tally struct {
	Served float64
	Failed float64
}

// Add returns the sum of the tallies of two nodes.
func (t Tally) Add(other Tally) Tally {
	return Tally{t.Served + other.Served, t.Failed + other.Failed}
}

// priorRequests is the number of successful requests assumed before any are counted, since a
// single failure also occurs at healthy endpoints.
const priorRequests = 1

// Rate returns the fraction of requests that failed, damped while there are few.
func (t Tally) Rate() float64 { return t.Failed / (t.Served + t.Failed + priorRequests) }

// Results counts the results of requests to one endpoint. The zero value is empty.
type Results struct {
	tally Tally
	at    time.Time
}

// Record counts one request.
func (r *Results) Record(failed bool, now time.Time) {
	r.tally = r.Tally(now)
	r.at = now
	if failed {
		r.tally.Failed++
		return
	}
	r.tally.Served++
}

// Tally returns the counts as of now.
func (r *Results) Tally(now time.Time) Tally {
	factor := decayFactor(r.at, now)
	return Tally{r.tally.Served * factor, r.tally.Failed * factor}
}

// decayFactor returns the factor by which values recorded at a time have decayed.
func decayFactor(at, now time.Time) float64 {
	since := max(0, now.Sub(at))
	if at.IsZero() || since > 10*decayTime {
		return 0
	}
	return math.Exp(-since.Seconds() / decayTime.Seconds())
}

// FailurePolicy is how failures of an endpoint affect its selection.
type FailurePolicy uint8

// The policies.
const (
	// Ignore has no effect.
	Ignore FailurePolicy = iota
	// Suspect avoids the endpoint for a while after one failure.
	Suspect
	// Compare chooses the endpoint less often the higher its failure rate.
	Compare
)

var policies = [...]string{"ignore", "suspect", "compare"}

// String returns the name that settings use.
func (p FailurePolicy) String() string { return policies[p] }

// PolicyNames returns the names of all failure policies.
func PolicyNames() []string { return policies[:] }

// ParsePolicy returns the failure policy with the given name.
func ParsePolicy(name string) (FailurePolicy, error) {
	for i, known := range policies {
		if known == name {
			return FailurePolicy(i), nil
		}
	}
	return Ignore, fmt.Errorf("policy %q: want one of %v", name, policies)
}

// weightPower gives an endpoint that fails a tenth of its requests two thirds of the weight of a
// healthy one, and one that fails half a sixteenth.
const weightPower = 4

// Weight returns the relative weight of an endpoint with a failure rate; it is 1 without failures.
func Weight(rate float64) float64 { return math.Pow(1-min(1, max(0, rate)), weightPower) }

// Pace is how long an endpoint took for its recent events, and the expected time, both decayed and
// in seconds.
type Pace struct {
	Took     float64
	Expected float64
}

// Add returns the sum of the paces that two nodes observed.
func (p Pace) Add(other Pace) Pace { return Pace{p.Took + other.Took, p.Expected + other.Expected} }

const (
	// priorSeconds is the time for which an endpoint is assumed to have kept its pace before
	// any events are observed: about ten events of a stream.
	priorSeconds = 0.3
	// maxSlowdown bounds the factor; at this value an endpoint is hardly chosen.
	maxSlowdown = 20
)

// Factor returns how many times slower than expected the endpoint is, at least 1.
func (p Pace) Factor() float64 {
	return min(maxSlowdown, max(1, (p.Took+priorSeconds)/(p.Expected+priorSeconds)))
}

// Paces tracks the pace of one endpoint. The zero value is empty.
type Paces struct {
	pace Pace
	at   time.Time
}

// Record counts the time between two events of a stream.
func (p *Paces) Record(took, expected time.Duration, now time.Time) {
	p.pace = p.Pace(now).Add(Pace{took.Seconds(), expected.Seconds()})
	p.at = now
}

// Pace returns the decayed pace as of now.
func (p *Paces) Pace(now time.Time) Pace {
	factor := decayFactor(p.at, now)
	return Pace{p.pace.Took * factor, p.pace.Expected * factor}
}

// Evidence is what a request knows about whether its endpoint is alive.
type Evidence struct {
	// LocalEvent is when the endpoint last sent this node an event of any request, or when
	// the first of the requests in progress was sent.
	LocalEvent time.Time
	// PeerEvent is when it last sent another node an event, or zero if no peer reported one.
	PeerEvent time.Time
	// Waiting is set while this request has no event yet, and may be in the endpoint's queue.
	Waiting bool
}

// SilentFor returns how long the endpoint has been silent. While the request waits, events sent to
// peers show that the endpoint is alive: otherwise requests queued at busy endpoints would make them
// suspect, and so overload the others.
func (e Evidence) SilentFor(now time.Time) time.Duration {
	local := now.Sub(e.LocalEvent)
	if !e.Waiting || e.PeerEvent.IsZero() {
		return local
	}
	return min(local, now.Sub(e.PeerEvent))
}
