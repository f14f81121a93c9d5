package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/ratelimit"
)

// What endpoints tolerate in any window.
const (
	window        = 4 * time.Second
	allowedFactor = 1.5
	allowedSlack  = 5
)

// strategy decides whether a node may send a request.
type strategy func(node int, now time.Time) bool

// traffic is requests to one endpoint with a rate limit.
type traffic struct {
	nodes     int
	perSecond float64
	// offered is the number of requests per second without a limit.
	offered  float64
	duration time.Duration
}

// simulate sends requests at random times, half of them at a tenth of the nodes, and returns the
// maximum number sent in any window and the fraction of the limit that was used.
func (tr traffic) simulate(seed uint64, w strategy) (maxSent int, used float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var sent []time.Time
	for at := time.Duration(0); at < tr.duration; at += time.Duration(random.ExpFloat64() / tr.offered * float64(time.Second)) {
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
		maxSent = max(maxSent, i-first+1)
	}
	return maxSent, float64(len(sent)) / (tr.perSecond * tr.duration.Seconds())
}

// equalShares gives each node an equal part of the limit, accumulating one permit at most.
func (tr traffic) equalShares() strategy {
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

// proportional makes each node send the fraction of its requests that the limit is of the total
// demand, which nodes know with a lag.
func (tr traffic) proportional(seed uint64, lag time.Duration) strategy {
	random := rand.New(rand.NewPCG(seed, 2))
	var offered []time.Time
	return func(_ int, now time.Time) bool {
		offered = append(offered, now)
		for now.Sub(offered[0]) > lag+window {
			offered = offered[1:]
		}
		known := 0
		for _, at := range offered {
			if now.Sub(at) >= lag {
				known++
			}
		}
		demand := float64(known) / window.Seconds()
		return demand < tr.perSecond || random.Float64() < tr.perSecond/demand
	}
}

// allocator makes one node grant all permits.
func (tr traffic) allocator() strategy {
	var bucket ratelimit.TokenBucket
	return func(_ int, now time.Time) bool {
		granted, _ := bucket.Take(tr.perSecond, now)
		return granted
	}
}

// localShares makes each node take its part by a random draw, as without the allocator.
func (tr traffic) localShares(seed uint64) strategy {
	random := rand.New(rand.NewPCG(seed, 3))
	shares := make([]ratelimit.LocalShare, tr.nodes)
	return func(node int, now time.Time) bool {
		return shares[node].Take(tr.perSecond, tr.nodes, random.Float64, now)
	}
}

// Compares ways to share a limit between nodes without a shared counter. The allocator must stay
// within what endpoints tolerate, also with local shares added, and use most of the limit.
func TestSharingStrategies(t *testing.T) {
	const seeds = 5
	for _, nodes := range []int{9, 30, 100, 300} {
		for _, perSecond := range []float64{0.5, 1, 5, 20} {
			tr := traffic{nodes: nodes, perSecond: perSecond, offered: max(11, 3*perSecond), duration: 10 * time.Minute}
			allowed := allowedFactor*perSecond*window.Seconds() + allowedSlack
			line := fmt.Sprintf("%3d nodes, %4.1f a second, allowed %3.0f:", nodes, perSecond, allowed)
			report := func(name string, make func(seed uint64) strategy) (maxSent int, used float64) {
				for seed := range uint64(seeds) {
					w, u := tr.simulate(seed, make(seed))
					maxSent, used = max(maxSent, w), used+u/seeds
				}
				line += fmt.Sprintf("  %s %3d (%.2f used)", name, maxSent, used)
				return maxSent, used
			}
			report("equal shares", func(uint64) strategy { return tr.equalShares() })
			report("proportional", func(seed uint64) strategy { return tr.proportional(seed, time.Second) })
			local, _ := report("local shares", tr.localShares)
			allocated, used := report("allocator", func(uint64) strategy { return tr.allocator() })
			t.Log(line)
			require.LessOrEqual(t, float64(allocated), allowed, line)
			require.LessOrEqual(t, float64(local+allocated), allowed, line)
			require.Greater(t, used, 0.8, line)
		}
	}
}
