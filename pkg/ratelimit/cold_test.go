package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/ratelimit"
)

// What a cold endpoint may get in any second is its limit times coldFactor, and coldSlack.
const (
	coldFactor = 1.5
	coldSlack  = 5
)

// Allocators are replaced when their nodes are killed, and some nodes cannot reach any: the total
// must stay within what a cold endpoint tolerates in any second.
func TestCold_BoundAcrossAllocators(t *testing.T) {
	for _, nodes := range []int{9, 82, 300, 985} {
		for _, perSecond := range []float64{1, 6, 14, 23} {
			allowed := coldFactor*perSecond + coldSlack
			highest := 0
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 1))
				start := time.Now()
				var bucket ratelimit.TokenBucket
				shares := make([]ratelimit.LocalShare, nodes)
				var sent []time.Time
				for at := time.Duration(0); at < time.Minute; at += 2 * time.Millisecond {
					now := start.Add(at)
					if random.IntN(1000) == 0 {
						bucket = ratelimit.TokenBucket{}
					}
					granted, _ := bucket.Take(perSecond, now)
					if !granted {
						granted = shares[random.IntN(nodes)].Take(perSecond, nodes, random.Float64, now)
					}
					if granted {
						sent = append(sent, now)
					}
				}
				highest = max(highest, mostWithin(sent, time.Second))
			}
			line := fmt.Sprintf("%d nodes, %v a second: %d in the worst second, %v allowed", nodes, perSecond, highest, allowed)
			t.Log(line)
			require.LessOrEqual(t, float64(highest), allowed, line)
		}
	}
}

// mostWithin returns the highest number of times in any span.
func mostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
