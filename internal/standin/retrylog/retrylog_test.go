package retrylog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorst_UsesRequestsOfNearbyWindows(t *testing.T) {
	start := time.Unix(1000, 0)
	budget := Budget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	var l Log
	require.Zero(t, l.Worst(budget))
	for range 50 {
		l.RecordRequest(start.Add(time.Second))
	}
	addRetries := func(n int, at time.Time) {
		for range n {
			l.RecordRetry(at)
		}
	}
	addRetries(15, start.Add(time.Second))
	require.Zero(t, l.Worst(budget).Excess(), "0.2 x 50 + 5")
	addRetries(15, start.Add(11*time.Second))
	require.Zero(t, l.Worst(budget).Excess(), "requests of the previous window count for the next one")
	addRetries(1, start.Add(11*time.Second))
	worst := l.Worst(budget)
	require.InDelta(t, 1, worst.Excess(), 1e-9)
	require.Contains(t, worst.String(), "16 retries for 50 requests")
}
