// Package reachability determines whether this node has lost its links to all endpoints, while the
// endpoints themselves may be well.
//
// The evidence are dials and responses on new connections: those of requests, and a few probes of its own once
// several endpoints are in trouble at once or nothing has been received for a while. The rule is in pkg/health.
package reachability

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/pkg/health"
)

const (
	// probeTimeout covers the round trip to another data centre of the region.
	probeTimeout = 300 * time.Millisecond
	// lostProbeInterval is the time between two rounds of probes after one that failed, and
	// troubleProbeInterval that after one that succeeded.
	lostProbeInterval    = 250 * time.Millisecond
	troubleProbeInterval = time.Second
	// maxLateness is how much longer than probeTimeout a probe may take to be evidence: a node that is short of
	// processor time sees late what endpoints have sent in time.
	maxLateness = 100 * time.Millisecond
	// minDialTime is the duration from which a dial without a result is evidence, whoever gave it up.
	minDialTime = probeTimeout * 9 / 10
	// quietInterval is how long nothing may be received from any endpoint before one is probed. A node with few
	// requests would otherwise lose some of them to find out, and be taken for one that reaches endpoints.
	quietInterval = time.Second
	// verifyAfter is that time for a request that is about to be sent: probes are due before.
	verifyAfter = quietInterval + 2*probeTimeout
	// minTroubled is the number of endpoints in trouble within troubleTTL from which endpoints are
	// probed.
	minTroubled = 2
	troubleTTL  = 3 * time.Second
)

// Monitor watches the links of one node. It is safe for concurrent use.
type Monitor struct {
	options Options
	log     logging.Logger
	wake    chan struct{}
	lost    atomic.Bool
	// checks lets requests at the same time share the result of probes.
	checks singleflight.Group

	mu    sync.Mutex
	links *health.Links
	// troubled has when each endpoint was last in trouble, since the last response on a new connection.
	troubled  map[string]time.Time
	lostSince time.Time
	lastRound time.Time
	// lastResponse is when an endpoint last responded on a new connection.
	lastResponse time.Time
	// roundFailed is set if no probe of the last round succeeded.
	roundFailed bool
}

// Options of a Monitor.
type Options struct {
	// Addresses returns the addresses of the known endpoints of the own data centre and of the others.
	Addresses func() (local, remote []string)
	// Probe opens a connection to an endpoint and waits for a response of any kind.
	Probe func(ctx context.Context, address string) error
	// LastEvent, if set, returns when any endpoint last sent this node something.
	LastEvent func() time.Time
	// OnChange, if set, is called when the links are lost or regained. It must not block.
	OnChange func(lost bool)
}

// New returns a monitor.
func New(o Options) *Monitor {
	return &Monitor{
		options:  o,
		log:      logging.For("reachability"),
		wake:     make(chan struct{}, 1),
		links:    health.NewLinks(),
		troubled: map[string]time.Time{},
	}
}

// Lost reports whether the links to all endpoints are lost.
func (m *Monitor) Lost() bool { return m.lost.Load() }

// LostSince returns when the links were lost, or the zero time.
func (m *Monitor) LostSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostSince
}

// RecordDial records the result of a dial that took some time.
func (m *Monitor) RecordDial(address string, took time.Duration, err error) {
	if !isEvidence(took, err) {
		return
	}
	now := time.Now()
	m.mu.Lock()
	m.links.RecordDial(address, err == nil, now)
	if err != nil {
		m.troubled[address] = now
	}
	m.update(now)
	m.mu.Unlock()
	if err != nil {
		m.requestRound()
	}
}

// RecordResponse records that an endpoint has responded on a new connection.
func (m *Monitor) RecordResponse() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastResponse = now
	clear(m.troubled)
	m.links.RecordResponse()
	m.update(now)
}

// recordSilence records that a probe got no response.
func (m *Monitor) recordSilence(address string) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links.RecordSilence(address, now)
	m.update(now)
}

// isEvidence reports whether a dial failed because of the link or the endpoint. One that was cancelled
// early, or cut short by the deadline of its request, did not.
func isEvidence(took time.Duration, err error) bool {
	if took >= minDialTime {
		return true
	}
	isCut := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	return !isCut
}

// RecordTrouble records that a request broke off at an endpoint or was not responded to. It is no
// evidence of lost links, but several such endpoints are a reason to probe.
func (m *Monitor) RecordTrouble(address string) {
	m.mu.Lock()
	m.troubled[address] = time.Now()
	m.mu.Unlock()
	m.requestRound()
}

func (m *Monitor) requestRound() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// update determines whether the links are lost; the caller holds the lock.
func (m *Monitor) update(now time.Time) {
	lost := m.links.Lost(m.options.Addresses, now)
	if lost == m.lost.Load() {
		return
	}
	m.lost.Store(lost)
	if lost {
		m.lostSince = now
		local, remote := m.options.Addresses()
		m.log.Warn("links to all endpoints are lost", "local", len(local), "remote", len(remote))
	} else {
		m.log.Info("endpoints are reachable again", "after", now.Sub(m.lostSince))
		m.lostSince = time.Time{}
	}
	if m.options.OnChange != nil {
		m.options.OnChange(lost)
	}
}

// Run probes endpoints while there is a reason to, until the context is cancelled.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(lostProbeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		m.probeRound(ctx, time.Now())
		timer.Reset(lostProbeInterval)
	}
}

// probeRound probes a few endpoints, unless none is due.
func (m *Monitor) probeRound(ctx context.Context, now time.Time) {
	due := m.dueProbes(now)
	reached := len(due) > 0 && m.reachesAny(ctx, due)
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(due) > 0 {
		m.roundFailed = !reached
	}
	m.update(time.Now())
}

// reachesAny probes endpoints at once and reports whether any responds, as soon as one does.
func (m *Monitor) reachesAny(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { results <- m.probe(ctx, address) == nil }()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

// probe probes one endpoint and records the result.
func (m *Monitor) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := m.options.Probe(ctx, address)
	took := time.Since(began)
	switch {
	case err == nil:
		m.RecordResponse()
	case took <= probeTimeout+maxLateness && isEvidence(took, err):
		m.recordSilence(address)
	}
	return err
}

// dueProbes returns the endpoints to be probed now: one of the own data centre and one of another if endpoints
// are in trouble, one if nothing was received for a while, and enough to decide once a round has failed.
func (m *Monitor) dueProbes(now time.Time) []string {
	local, remote := m.shuffledAddresses()
	if !canCompare(local, remote) {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isDue(now) {
		return nil
	}
	m.lastRound = now
	switch {
	case m.lost.Load() || !m.roundFailed && m.countTroubled(now) >= minTroubled:
		return append(m.drawProbe(local), m.drawProbe(remote)...)
	case m.roundFailed:
		return decisiveProbes(local, remote)
	case len(local) == 0:
		return m.drawProbe(remote)
	}
	return m.drawProbe(local)
}

// canCompare reports whether enough endpoints are known to tell lost links from failed endpoints.
func canCompare(local, remote []string) bool {
	return len(local)+len(remote) >= health.MinLinkEndpoints
}

// decisiveProbes returns endpoints whose failure means that the links are lost.
func decisiveProbes(local, remote []string) []string {
	local = local[:min(health.LostLocalDials, len(local))]
	return append(local, remote[:min(health.LostLinkDials-len(local), len(remote))]...)
}

// shuffledAddresses returns the addresses of the known endpoints in random order.
func (m *Monitor) shuffledAddresses() (local, remote []string) {
	local, remote = m.options.Addresses()
	for _, list := range [][]string{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return local, remote
}

// drawProbe returns the first address without a failed dial, or else the first; the caller holds the lock.
func (m *Monitor) drawProbe(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	i := slices.IndexFunc(addresses, func(address string) bool { return !m.links.Failed(address) })
	return []string{addresses[max(0, i)]}
}

// isDue reports whether there is a reason to probe now; the caller holds the lock.
func (m *Monitor) isDue(now time.Time) bool {
	if !m.lost.Load() && m.countTroubled(now) < minTroubled && !m.isQuiet(now, quietInterval) {
		return false
	}
	interval := troubleProbeInterval
	if m.roundFailed {
		interval = lostProbeInterval
	}
	return now.Sub(m.lastRound) >= interval
}

// countTroubled returns the number of endpoints that were in trouble lately; the caller holds the lock.
func (m *Monitor) countTroubled(now time.Time) int {
	for address, at := range m.troubled {
		if now.Sub(at) > troubleTTL {
			delete(m.troubled, address)
		}
	}
	return len(m.troubled)
}

// isQuiet reports whether nothing was received from any endpoint for some time; the caller holds the lock.
func (m *Monitor) isQuiet(now time.Time, duration time.Duration) bool {
	last := m.lastResponse
	if m.options.LastEvent != nil && m.options.LastEvent().After(last) {
		last = m.options.LastEvent()
	}
	return now.Sub(last) >= duration
}

// Verify finds out whether the links are lost if nothing was received for a while, before a request is sent
// that might be lost on them.
func (m *Monitor) Verify(ctx context.Context) {
	m.checkAtOnce(ctx, func(now time.Time) bool { return m.isQuiet(now, verifyAfter) })
}

// checkTTL is how long a response on a new connection answers Check.
const checkTTL = 200 * time.Millisecond

// Check finds out at once whether the links are lost, for a request whose dials have failed and that would be
// rejected otherwise.
func (m *Monitor) Check(ctx context.Context) bool {
	m.checkAtOnce(ctx, func(now time.Time) bool { return now.Sub(m.lastResponse) >= checkTTL })
	return m.Lost()
}

// checkAtOnce probes endpoints if that is needed. Requests at the same time share the result.
func (m *Monitor) checkAtOnce(ctx context.Context, isNeeded func(now time.Time) bool) {
	if !m.needsCheck(isNeeded) {
		return
	}
	local, remote := m.shuffledAddresses()
	if !canCompare(local, remote) {
		return
	}
	done := m.checks.DoChan("", func() (any, error) {
		return m.reachesAny(context.Background(), decisiveProbes(local, remote)), nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// needsCheck reports whether the links do not count as lost and a condition holds, which is called with the lock.
func (m *Monitor) needsCheck(isNeeded func(now time.Time) bool) bool {
	if m.Lost() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return isNeeded(time.Now())
}

// maxConfirmations bounds the dials of one Confirm.
const maxConfirmations = 3

// Confirm reports whether the failure of one endpoint is that endpoint's own, and not one of this
// node's links: it dials a few others until one responds.
func (m *Monitor) Confirm(ctx context.Context, failed string) bool {
	local, remote := m.shuffledAddresses()
	dials := 0
	for _, address := range append(local, remote...) {
		if address == failed || m.hasFailed(address) {
			continue
		}
		if dials++; dials > maxConfirmations || m.Lost() {
			return false
		}
		if m.probe(ctx, address) == nil {
			return true
		}
	}
	// Without another endpoint there is nothing to compare with.
	return dials == 0 && !m.Lost()
}

func (m *Monitor) hasFailed(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links.Failed(address)
}
