package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/ratelimit"
)

// What endpoints bear in any window.
const (
	window        = 4 * time.Second
	allowedFactor = 1.5
	allowedSlack  = 5
)

// way decides whether a node sends.
type way func(node int, now time.Time) bool

// traffic is requests to one endpoint that limits how much it takes.
type traffic struct {
	nodes     int
	perSecond float64
	// asked is how many requests a second would go there without a limit.
	asked float64
	for_  time.Duration
}

// play draws when requests come and at which nodes, half of them at a tenth of the nodes, and
// returns the most that was sent in any window and the part of the limit that was used.
func (tr traffic) play(seed uint64, w way) (worst int, used float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var sent []time.Time
	for at := time.Duration(0); at < tr.for_; at += time.Duration(random.ExpFloat64() / tr.asked * float64(time.Second)) {
		node := random.IntN(tr.nodes)
		if random.IntN(2) == 0 {
			node = random.IntN(max(1, tr.nodes/10))
		}
		if now := start.Add(at); w(node, now) {
			sent = append(sent, now)
		}
	}
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst, float64(len(sent)) / (tr.perSecond * tr.for_.Seconds())
}

// equalShares has each node keep an equal part of the limit by itself, saving up one permit.
func (tr traffic) equalShares() way {
	permits := make([]float64, tr.nodes)
	last := make([]time.Time, tr.nodes)
	return func(node int, now time.Time) bool {
		if !last[node].IsZero() {
			permits[node] = min(1, permits[node]+tr.perSecond/float64(tr.nodes)*now.Sub(last[node]).Seconds())
		}
		last[node] = now
		if permits[node] < 1 {
			return false
		}
		permits[node]--
		return true
	}
}

// partOfDemand has each node send the part of its requests that the limit is of all that were
// asked for lately, as nodes tell each other some time later.
func (tr traffic) partOfDemand(seed uint64, lag time.Duration) way {
	random := rand.New(rand.NewPCG(seed, 2))
	var asked []time.Time
	return func(_ int, now time.Time) bool {
		asked = append(asked, now)
		for now.Sub(asked[0]) > lag+window {
			asked = asked[1:]
		}
		known := 0
		for _, at := range asked {
			if now.Sub(at) >= lag {
				known++
			}
		}
		demand := float64(known) / window.Seconds()
		return demand < tr.perSecond || random.Float64() < tr.perSecond/demand
	}
}

// placesAsked has one node give the permits out.
func (tr traffic) placesAsked() way {
	var pacer ratelimit.TokenBucket
	return func(_ int, now time.Time) bool {
		granted, _ := pacer.Take(tr.perSecond, now)
		return granted
	}
}

// ownShares has each node take its part by chance, as while nobody can be asked.
func (tr traffic) ownShares(seed uint64) way {
	random := rand.New(rand.NewPCG(seed, 3))
	shares := make([]ratelimit.LocalShare, tr.nodes)
	return func(node int, now time.Time) bool {
		return shares[node].Take(tr.perSecond, tr.nodes, random.Float64, now)
	}
}

// How nodes can share a limit without a counter of their own. Only the permits that one node
// gives out keep what endpoints bear at every size and use the limit; this test prints how the
// others do.
func TestWaysToShareALimit(t *testing.T) {
	const seeds = 5
	for _, nodes := range []int{9, 30, 100, 300} {
		for _, perSecond := range []float64{0.5, 1, 5, 20} {
			tr := traffic{nodes: nodes, perSecond: perSecond, asked: max(11, 3*perSecond), for_: 10 * time.Minute}
			allowed := allowedFactor*perSecond*window.Seconds() + allowedSlack
			line := fmt.Sprintf("%3d nodes, %4.1f a second, allowed %3.0f:", nodes, perSecond, allowed)
			report := func(name string, make func(seed uint64) way) (worst int, used float64) {
				for seed := range uint64(seeds) {
					w, u := tr.play(seed, make(seed))
					worst, used = max(worst, w), used+u/seeds
				}
				line += fmt.Sprintf("  %s %3d (%.2f used)", name, worst, used)
				return worst, used
			}
			report("equal shares", func(uint64) way { return tr.equalShares() })
			report("part of demand", func(seed uint64) way { return tr.partOfDemand(seed, time.Second) })
			own, _ := report("own shares", tr.ownShares)
			asked, used := report("asked", func(uint64) way { return tr.placesAsked() })
			t.Log(line)
			require.LessOrEqual(t, float64(asked), allowed, line)
			require.LessOrEqual(t, float64(own+asked), allowed, line)
			require.Greater(t, used, 0.8, line)
		}
	}
}
