package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// An outage had ended three endpoints under a request. When it was to be tried again all
// groups were full, and the try counted as made: it was refused for an hour.
func TestQuarantine_UnsentTrialIsRepeated(t *testing.T) {
	q := NewQuarantine(func() bool { return true })
	f := qlist.Fingerprint{1}
	now := time.Now()
	for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
		q.ended(f, incarnation, "e", now)
	}
	admits := func() bool {
		_, admitted := q.Allowed(f, now)
		return admitted
	}
	require.False(t, admits())
	now = now.Add(qlist.TrialDelay)
	for range 3 {
		require.True(t, admits(), "none was sent yet")
	}
	require.True(t, q.BeginAttempt(f, now))
	require.False(t, q.BeginAttempt(f, now), "one is sent")
	require.False(t, admits())
	q.RecordSuccess(f, now.Add(time.Second))
	require.True(t, admits())
	require.True(t, q.BeginAttempt(f, now.Add(time.Second)))
}

// Of all nodes one sends a request from quarantine.
func TestQuarantine_OnlyOneNodeTries(t *testing.T) {
	q := NewQuarantine(nobody)
	f := qlist.Fingerprint{1}
	now := time.Now()
	for incarnation := range qlist.Incarnation(qlist.MaxCrashes) {
		q.ended(f, incarnation, "e", now)
	}
	_, admitted := q.Allowed(f, now.Add(qlist.TrialDelay))
	require.False(t, admitted)
}
