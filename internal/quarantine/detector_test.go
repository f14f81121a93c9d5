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

// fakeNetwork returns a fixed error for each dial.
type fakeNetwork struct {
	mu    sync.Mutex
	err   error
	dials int
}

func (n *fakeNetwork) dial(context.Context, string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	return n.err
}

func (n *fakeNetwork) set(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.err = err
}

func crashCount(q *Quarantine, f qlist.Fingerprint) int {
	return len(q.Record(f).Crashes)
}

func noTrials() bool { return false }

func noneReplaced([]Incarnation) []Incarnation { return nil }

// confirmed confirms that an endpoint's failure is its own.
func confirmed(context.Context, string) bool { return true }

const waitTimeout = 30 * time.Second

// Only crashes count against requests, not resets or unreachable endpoints.
func TestDetector_DistinguishesCrashFromReset(t *testing.T) {
	inc := Incarnation{Endpoint: "e", StartedAt: 5, Address: "a:1"}
	for _, test := range []struct {
		name     string
		dial     error
		replaced bool
		// linksLost is set if no other endpoint accepts a dial either.
		linksLost bool
		want      int
	}{
		{"connection refused", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, false, false, 1},
		{"connection refused, as by all endpoints", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, false, true, 0},
		{"still listening: the response was garbled or reset", nil, false, false, 0},
		{"unreachable: it may be partitioned", &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}, false, false, 0},
		{"replaced by another incarnation", nil, true, false, 1},
		{"replaced by another incarnation, and unreachable", &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}, true, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := NewQuarantine(noTrials)
			network := &fakeNetwork{err: test.dial}
			d := NewDetector(q, func(incarnations []Incarnation) []Incarnation {
				if test.replaced {
					return incarnations
				}
				return nil
			}, network.dial, func(context.Context, string) bool { return !test.linksLost })
			now := time.Now()
			for _, f := range []byte{1, 2} {
				d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{f}}, inc, now, now)
				d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{f}}, inc, now, now)
			}
			require.Eventually(t, func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return !d.suspected[inc].probing
			}, waitTimeout, time.Millisecond)
			require.False(t, d.checkReplacements(now.Add(time.Millisecond)), "still watched")
			for _, f := range []byte{1, 2} {
				require.Equal(t, test.want, crashCount(q, qlist.Fingerprint{f}))
			}
			require.True(t, d.checkReplacements(now.Add(2*replacementTimeout)), "watching ends")
		})
	}
}

// The probe of an earlier broken response must not hide a crash shortly after it.
func TestDetector_DetectsCrashAfterEarlierReset(t *testing.T) {
	q := NewQuarantine(noTrials)
	network := &fakeNetwork{}
	d := NewDetector(q, noneReplaced, network.dial, confirmed)
	inc := Incarnation{Endpoint: "e", Address: "a:1"}
	d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{1}}, inc, time.Now(), time.Now())
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.suspected[inc].probing
	}, waitTimeout, time.Millisecond)
	network.set(syscall.ECONNREFUSED)
	d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{2}}, inc, time.Now(), time.Now())
	require.Eventually(t, func() bool { return crashCount(q, qlist.Fingerprint{2}) == 1 }, waitTimeout, time.Millisecond)
	// Further broken streams of a crashed endpoint need no dial.
	dials := network.dials
	sent := time.Now().Add(-time.Second)
	for f := range byte(50) {
		d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{100 + f}}, inc, sent, time.Now())
		require.Equal(t, 1, crashCount(q, qlist.Fingerprint{100 + f}))
	}
	require.Equal(t, dials, network.dials)
}

// An endpoint that resets many connections must not be dialed for each.
func TestDetector_LimitsProbeRate(t *testing.T) {
	network := &fakeNetwork{}
	d := NewDetector(NewQuarantine(noTrials), noneReplaced, network.dial, confirmed)
	start := time.Now()
	for time.Since(start) < 4*probeInterval {
		d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{1}}, Incarnation{Endpoint: "e"}, start, time.Now())
	}
	took := time.Since(start)
	network.mu.Lock()
	defer network.mu.Unlock()
	require.LessOrEqual(t, network.dials, int(took/probeInterval)+2)
}

// An endpoint that restarted and crashed again before its row arrived counted as one crash.
func TestDetector_CountsCrashesBeforeNextRow(t *testing.T) {
	q := NewQuarantine(noTrials)
	network := &fakeNetwork{err: syscall.ECONNREFUSED}
	d := NewDetector(q, noneReplaced, network.dial, confirmed)
	inc := Incarnation{Endpoint: "e", StartedAt: 7, Address: "a:1"}
	f := qlist.Fingerprint{1}
	for n := range 3 {
		sent := time.Now()
		d.ReportBroken(qlist.Subject{Content: f}, inc, sent, time.Now())
		require.Eventually(t, func() bool { return crashCount(q, f) == n+1 }, waitTimeout, time.Millisecond)
		d.ReportBroken(qlist.Subject{Content: f}, inc, sent, time.Now())
		require.Equal(t, n+1, crashCount(q, f), "the same incarnation")
	}
}

// Two nodes saw successive incarnations crash before the new row arrived. Both crashes had the
// same StartedAt and counted as one.
func TestDetector_SeparatesCrashesReportedByPeers(t *testing.T) {
	network := &fakeNetwork{err: syscall.ECONNREFUSED}
	inc := Incarnation{Endpoint: "e", StartedAt: 7, Address: "a:1"}
	f := qlist.Fingerprint{1}
	first, second := NewQuarantine(noTrials), NewQuarantine(noTrials)
	var fromFirst, fromSecond delta.Cursor
	sent := time.Now()
	NewDetector(first, noneReplaced, network.dial, confirmed).ReportBroken(qlist.Subject{Content: f}, inc, sent, time.Now())
	require.Eventually(t, func() bool { return crashCount(first, f) == 1 }, waitTimeout, time.Millisecond)
	second.ApplyDelta(&fromFirst, first.Delta(&fromSecond, time.Now()), "first", time.Now())

	NewDetector(second, noneReplaced, network.dial, confirmed).ReportBroken(qlist.Subject{Content: f}, inc, sent, time.Now())
	time.Sleep(2 * crashSkew)
	require.Equal(t, 1, crashCount(second, f), "sent before the crash, to the same incarnation")
	// This detector has seen no crash of the endpoint itself.
	NewDetector(second, noneReplaced, network.dial, confirmed).ReportBroken(qlist.Subject{Content: f}, inc, time.Now(), time.Now())
	require.Eventually(t, func() bool { return crashCount(second, f) == 2 }, waitTimeout, time.Millisecond)
}

// A fleet that fails at once must not grow the records without bound.
func TestDetector_BoundsRecords(t *testing.T) {
	block := make(chan struct{})
	d := NewDetector(NewQuarantine(noTrials), noneReplaced, func(context.Context, string) error {
		<-block
		return nil
	}, confirmed)
	now := time.Now()
	for endpoint := range 2 * maxSuspectedCrashes {
		for f := range 2 * maxBrokenRequests {
			d.ReportBroken(qlist.Subject{Content: qlist.Fingerprint{byte(f), byte(f >> 8)}}, Incarnation{StartedAt: int64(endpoint)}, now, now)
		}
	}
	d.mu.Lock()
	require.Len(t, d.suspected, maxSuspectedCrashes)
	for _, s := range d.suspected {
		require.LessOrEqual(t, len(s.subjects), maxBrokenRequests)
	}
	d.mu.Unlock()
	close(block)
}
