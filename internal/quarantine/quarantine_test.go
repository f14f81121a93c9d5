package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// A trial that found all groups full used to count as made, which kept the request in
// quarantine until its record expired.
func TestQuarantine_UnsentTrialIsNotUsedUp(t *testing.T) {
	q := NewQuarantine(func() bool { return true })
	f := qlist.Fingerprint{1}
	now := time.Now()
	for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
		q.addCrash(qlist.Subject{Content: f}, incarnation, "e", now)
	}
	allowed := func() bool {
		_, ok := q.Allowed(qlist.Subject{Content: f}, now)
		return ok
	}
	require.False(t, allowed())
	now = now.Add(qlist.TrialDelay)
	for range 3 {
		require.True(t, allowed(), "no trial was sent yet")
	}
	require.True(t, q.BeginAttempt(qlist.Subject{Content: f}, now))
	require.False(t, q.BeginAttempt(qlist.Subject{Content: f}, now), "the trial is used up")
	require.False(t, allowed())
	q.RecordSuccess(qlist.Subject{Content: f}, now.Add(time.Second))
	require.True(t, allowed())
	require.True(t, q.BeginAttempt(qlist.Subject{Content: f}, now.Add(time.Second)))
}

func TestQuarantine_OnlyOneNodeSendsTrials(t *testing.T) {
	q := NewQuarantine(noTrials)
	f := qlist.Fingerprint{1}
	now := time.Now()
	for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
		q.addCrash(qlist.Subject{Content: f}, incarnation, "e", now)
	}
	_, allowed := q.Allowed(qlist.Subject{Content: f}, now.Add(qlist.TrialDelay))
	require.False(t, allowed)
}
