package quarantine

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/delta"
	qlist "github.com/ridgehinge/ridgehinge/pkg/quarantine"
)

// reach is a network on which each dial has an outcome.
type reach struct {
	mu    sync.Mutex
	err   error
	dials int
}

func (r *reach) dial(context.Context, string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dials++
	return r.err
}

func (r *reach) set(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func endsOf(q *Quarantine, f qlist.Fingerprint) int {
	r, _ := q.Allowed(f, time.Now())
	return len(r.Crashes)
}

func nobody() bool { return false }

// none has each incarnation stand alone in its place.
func none([]Incarnation) []Incarnation { return nil }

const patience = 30 * time.Second

// Only an endpoint that has ended speaks against the requests that broke off there.
func TestDetector_TellsCrashesFromBrokenAnswers(t *testing.T) {
	at := Incarnation{Endpoint: "e", StartedAt: 5, Address: "a:1"}
	for _, test := range []struct {
		name     string
		dial     error
		replaced bool
		want     int
	}{
		{"its port refuses", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, false, 1},
		{"it listens on: the answer was garbled or reset", nil, false, 0},
		{"it cannot be reached: it may be cut off", &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}, false, 0},
		{"another incarnation is in its place", nil, true, 1},
		{"another incarnation is in its place, and cannot be reached", &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := NewQuarantine(nobody)
			network := &reach{err: test.dial}
			c := NewDetector(q, func(incarnations []Incarnation) []Incarnation {
				if test.replaced {
					return incarnations
				}
				return nil
			}, network.dial)
			now := time.Now()
			for _, f := range []byte{1, 2} {
				c.ReportBroken(qlist.Fingerprint{f}, at, now, now)
				c.ReportBroken(qlist.Fingerprint{f}, at, now, now)
			}
			require.Eventually(t, func() bool {
				c.mu.Lock()
				defer c.mu.Unlock()
				return !c.breaks[at].dialing
			}, patience, time.Millisecond)
			require.False(t, c.settle(now.Add(time.Millisecond)), "it is watched on")
			for _, f := range []byte{1, 2} {
				require.Equal(t, test.want, endsOf(q, qlist.Fingerprint{f}))
			}
			require.True(t, c.settle(now.Add(2*settleFor)), "nothing is watched for ever")
		})
	}
}

// An endpoint broke one answer off and ended a moment later: the dial after the first break
// says nothing of the second.
func TestDetector_FindsACrashSoonAfterABreak(t *testing.T) {
	q := NewQuarantine(nobody)
	network := &reach{}
	c := NewDetector(q, none, network.dial)
	at := Incarnation{Endpoint: "e", Address: "a:1"}
	c.ReportBroken(qlist.Fingerprint{1}, at, time.Now(), time.Now())
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.breaks[at].dialing
	}, patience, time.Millisecond)
	network.set(syscall.ECONNREFUSED)
	c.ReportBroken(qlist.Fingerprint{2}, at, time.Now(), time.Now())
	require.Eventually(t, func() bool { return endsOf(q, qlist.Fingerprint{2}) == 1 }, patience, time.Millisecond)
	// Streams of one endpoint that has ended break one after the other: no dial each.
	dials := network.dials
	sent := time.Now().Add(-time.Second)
	for f := range byte(50) {
		c.ReportBroken(qlist.Fingerprint{100 + f}, at, sent, time.Now())
		require.Equal(t, 1, endsOf(q, qlist.Fingerprint{100 + f}))
	}
	require.Equal(t, dials, network.dials)
}

// An endpoint that resets much of what it is sent is dialed at a pace, and not for each.
func TestDetector_PacesProbes(t *testing.T) {
	network := &reach{}
	c := NewDetector(NewQuarantine(nobody), none, network.dial)
	began := time.Now()
	for time.Since(began) < 4*probeInterval {
		c.ReportBroken(qlist.Fingerprint{1}, Incarnation{Endpoint: "e"}, began, time.Now())
	}
	took := time.Since(began)
	network.mu.Lock()
	defer network.mu.Unlock()
	require.LessOrEqual(t, network.dials, int(took/probeInterval)+2)
}

// An endpoint began anew under its id and was ended again before its row had come: two ends
// counted as one, and a request that had ended three endpoints was sent on.
func TestDetector_CountsCrashesBeforeTheNextRow(t *testing.T) {
	q := NewQuarantine(nobody)
	network := &reach{err: syscall.ECONNREFUSED}
	c := NewDetector(q, none, network.dial)
	at := Incarnation{Endpoint: "e", StartedAt: 7, Address: "a:1"}
	f := qlist.Fingerprint{1}
	for end := range 3 {
		sent := time.Now()
		c.ReportBroken(f, at, sent, time.Now())
		require.Eventually(t, func() bool { return endsOf(q, f) == end+1 }, patience, time.Millisecond)
		c.ReportBroken(f, at, sent, time.Now())
		require.Equal(t, end+1, endsOf(q, f), "the same incarnation")
	}
}

// A fleet that fails at once must not grow what is probed into without bound.
// One node saw an endpoint end under a request, another one saw it end again before the row of
// its new incarnation had come: two ends counted as one, and after all nodes had been replaced the
// request ended a fourth endpoint. By the log, both ends had the same "started_at", 1.5 s apart.
func TestDetector_AttributesCrashesOfPeersToThePreviousIncarnation(t *testing.T) {
	network := &reach{err: syscall.ECONNREFUSED}
	at := Incarnation{Endpoint: "e", StartedAt: 7, Address: "a:1"}
	f := qlist.Fingerprint{1}
	first, second := NewQuarantine(nobody), NewQuarantine(nobody)
	var ofFirst, ofSecond delta.Cursor
	sent := time.Now()
	NewDetector(first, none, network.dial).ReportBroken(f, at, sent, time.Now())
	require.Eventually(t, func() bool { return endsOf(first, f) == 1 }, patience, time.Millisecond)
	second.ApplyDelta(&ofFirst, first.Delta(&ofSecond, time.Now()), "first", time.Now())

	NewDetector(second, none, network.dial).ReportBroken(f, at, sent, time.Now())
	time.Sleep(2 * crashSkew)
	require.Equal(t, 1, endsOf(second, f), "sent before the end, it met the same incarnation")
	// A watch that has seen nothing of the endpoint itself.
	NewDetector(second, none, network.dial).ReportBroken(f, at, time.Now(), time.Now())
	require.Eventually(t, func() bool { return endsOf(second, f) == 2 }, patience, time.Millisecond)
}

func TestDetector_BoundsItsRecords(t *testing.T) {
	block := make(chan struct{})
	c := NewDetector(NewQuarantine(nobody), none, func(context.Context, string) error {
		<-block
		return nil
	})
	now := time.Now()
	for endpoint := range 2 * maxBreakages {
		for f := range 2 * maxBrokenRequests {
			c.ReportBroken(qlist.Fingerprint{byte(f), byte(f >> 8)}, Incarnation{StartedAt: int64(endpoint)}, now, now)
		}
	}
	c.mu.Lock()
	require.Len(t, c.breaks, maxBreakages)
	for _, b := range c.breaks {
		require.LessOrEqual(t, len(b.contents), maxBrokenRequests)
	}
	c.mu.Unlock()
	close(block)
}
