// Package health judges endpoints by what requests to them came to: by the part
// that failed, by their pace, and by how long they have been silent.
//
// It is pure: times come in with each call. Its inputs are results of requests and
// times of events, those of this node and those that others told; its outputs are a
// failure rate between 0 and 1, a weight between 0 and 1, a factor of slowness, and a
// duration. It returns
// no errors. Figures are decayed counts, in requests.
package health

import (
	"fmt"
	"math"
	"time"
)

// window is the time constant over which results are forgotten. A head gets some
// twenty requests a second from all nodes together, a plain endpoint about as many:
// enough to tell a tenth that fails from none, and an endpoint that has come back
// is trusted again after about ten seconds.
const window = 3 * time.Second

// Tally is what requests came to lately, older ones counting for less.
type Tally struct {
	Served float64
	Failed float64
}

// Add returns the sum of the tallies of two nodes.
func (t Tally) Add(other Tally) Tally {
	return Tally{t.Served + other.Served, t.Failed + other.Failed}
}

// doubt is the number of requests that a rate needs to be half believed: one that
// failed alone says little, since answers are lost at sound endpoints as well.
const doubt = 1

// Rate is the part of the requests that failed, lower while there are few.
func (t Tally) Rate() float64 { return t.Failed / (t.Served + t.Failed + doubt) }

// Results counts what requests to one endpoint came to. The zero value has none.
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
	left := remembered(r.at, now)
	return Tally{r.tally.Served * left, r.tally.Failed * left}
}

// remembered is the part that is left of what was noted at a time.
func remembered(at, now time.Time) float64 {
	since := max(0, now.Sub(at))
	if at.IsZero() || since > 10*window {
		return 0
	}
	return math.Exp(-since.Seconds() / window.Seconds())
}

// FailurePolicy is how failures of an endpoint affect its selection.
type FailurePolicy uint8

// The policies.
const (
	// Ignore: nothing.
	Ignore FailurePolicy = iota
	// Suspect: one failure has it passed over for a while.
	Suspect
	// Compare: it is chosen the more seldom the more of its requests fail, beside
	// the others of its kind.
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

// weightPower makes an endpoint that fails a tenth of its requests two thirds as
// likely as one that fails none, and one that fails half a sixteenth.
const weightPower = 4

// Weight is how likely an endpoint with a failure rate is chosen, against one
// without failures.
func Weight(rate float64) float64 { return math.Pow(1-min(1, max(0, rate)), weightPower) }

// Pace is how long an endpoint took lately for what it sent, and the expected time, both in
// seconds, older observations weighted less.
type Pace struct {
	Took     float64
	Expected float64
}

// Add returns the sum of the paces that two nodes observed.
func (p Pace) Add(other Pace) Pace { return Pace{p.Took + other.Took, p.Expected + other.Expected} }

const (
	// paceDoubt is the time, in seconds, that an endpoint counts as having kept its
	// pace before anything is known of it: some ten events of a stream.
	paceDoubt = 0.3
	// mostSlow bounds the factor; slower ones are left alone as well.
	mostSlow = 20
)

// Factor is how many times slower than reckoned the endpoint is, at least one.
func (p Pace) Factor() float64 {
	return min(mostSlow, max(1, (p.Took+paceDoubt)/(p.Expected+paceDoubt)))
}

// Paces observes the pace of one endpoint. The zero value has observed nothing.
type Paces struct {
	pace Pace
	at   time.Time
}

// Record counts one pause between two events of a stream.
func (p *Paces) Record(took, reckoned time.Duration, now time.Time) {
	p.pace = p.Pace(now).Add(Pace{took.Seconds(), reckoned.Seconds()})
	p.at = now
}

// Pace returns what was observed as of now.
func (p *Paces) Pace(now time.Time) Pace {
	left := remembered(p.at, now)
	return Pace{p.pace.Took * left, p.pace.Expected * left}
}

// Evidence is what one request at an endpoint knows of its life.
type Evidence struct {
	// LocalEvent is when the endpoint last sent this node an event of any request, or when
	// the first of the requests in progress was sent.
	LocalEvent time.Time
	// PeerEvent is when it last sent another node an event, as far as reported; zero if
	// nothing was reported.
	PeerEvent time.Time
	// Waiting is set while this request has no event yet, and waits in the
	// endpoint's queue for all that this node can know.
	Waiting bool
}

// SilentFor is how long the endpoint has been silent. An endpoint that gives others
// their events is alive, and lets this request wait: without this, requests that
// waited half a second at full groups had these taken for dead and left alone, and the
// rest were full in turn.
func (e Evidence) SilentFor(now time.Time) time.Duration {
	own := now.Sub(e.LocalEvent)
	if !e.Waiting || e.PeerEvent.IsZero() {
		return own
	}
	return min(own, now.Sub(e.PeerEvent))
}
