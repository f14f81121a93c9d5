package crashlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheck_CountsSendsAfterThirdCrash(t *testing.T) {
	start := time.Unix(1000, 0)
	always := func(time.Time) bool { return true }
	bound := Bound{Crashes: 3, MaxSends: 3, Grace: 2 * time.Second}
	l := New()
	for i := range 3 {
		l.RecordSend("a", start.Add(time.Duration(i)*time.Second))
		l.RecordCrash("a", start.Add(time.Duration(i)*time.Second))
	}
	third := start.Add(2 * time.Second)
	for range 10 {
		l.RecordSend("a", third.Add(bound.Grace))
	}
	require.NoError(t, l.Check(bound, always), "within the grace")
	for i := range 4 {
		require.NoError(t, l.Check(bound, always), i)
		l.RecordSend("a", third.Add(bound.Grace+time.Second))
	}
	require.ErrorContains(t, l.Check(bound, always), "sent 4 more times; it crashed 3 in all")
	require.NoError(t, l.Check(bound, func(time.Time) bool { return false }))
	l.RecordCrash("b", start)
	l.RecordCrash("b", start)
	l.RecordSend("b", third.Add(time.Hour))
	require.Equal(t, 2, l.Count("b"))
	require.Zero(t, New().Count("a"))
}
