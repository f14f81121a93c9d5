package crashlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCheck_CountsSendsAfterThirdCrash(t *testing.T) {
	start := time.Unix(1000, 0)
	always := func(time.Time) bool { return true }
	bound := Bound{Ends: 3, Sends: 3, Grace: 2 * time.Second}
	l := New()
	for i := range 3 {
		l.Sent("a", start.Add(time.Duration(i)*time.Second))
		l.Ended("a", start.Add(time.Duration(i)*time.Second))
	}
	third := start.Add(2 * time.Second)
	for range 10 {
		l.Sent("a", third.Add(bound.Grace))
	}
	require.NoError(t, l.Check(bound, always), "within the grace")
	for i := range 4 {
		require.NoError(t, l.Check(bound, always), i)
		l.Sent("a", third.Add(bound.Grace+time.Second))
	}
	require.ErrorContains(t, l.Check(bound, always), "sent 4 more times; it crashed 3 in all")
	require.NoError(t, l.Check(bound, func(time.Time) bool { return false }))
	l.Ended("b", start)
	l.Ended("b", start)
	l.Sent("b", third.Add(time.Hour))
	require.Equal(t, 2, l.Ends("b"))
	require.Zero(t, New().Ends("a"))
}
