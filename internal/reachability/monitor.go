// Package reachability determines whether this node has lost its links to all endpoints, while the
// endpoints themselves may be well.
//
// The evidence are dials: those of requests, and a few of its own once several endpoints are in
// trouble at once. The rule is in pkg/health.
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
	// minDialTime is the duration from which a dial without a result is evidence, whoever gave it up.
	minDialTime = probeTimeout * 9 / 10
	// minTroubled is the number of endpoints in trouble within troubleTTL from which endpoints are
	// probed.
	minTroubled = 2
	troubleTTL  = 3 * time.Second
)

// Monitor watches the links of one node. It is safe for concurrent use.
type Monitor struct {
	log logging.Logger
	// addresses returns the addresses of the known endpoints of the own data centre and of the others.
	addresses func() (local, remote []string)
	dial      func(ctx context.Context, address string) error
	onChange  func(lost bool)
	wake      chan struct{}
	lost      atomic.Bool
	// checking is held during a Check, so that requests at the same time share one.
	checking sync.Mutex

	mu    sync.Mutex
	links *health.Links
	// troubled has when each endpoint was last in trouble, since the last successful dial.
	troubled  map[string]time.Time
	lostSince time.Time
	lastRound time.Time
	// lastSuccess is when a dial last succeeded.
	lastSuccess time.Time
	// roundFailed is set if no probe of the last round succeeded.
	roundFailed bool
}

// New returns a monitor. addresses returns the addresses of the known endpoints of the own data centre and
// of the others, dial connects to one and reports the result with RecordDial, and onChange is called when
// the links are lost or regained.
func New(addresses func() (local, remote []string), dial func(context.Context, string) error, onChange func(lost bool)) *Monitor {
	return &Monitor{
		log:       logging.For("reachability"),
		addresses: addresses,
		dial:      dial,
		onChange:  onChange,
		wake:      make(chan struct{}, 1),
		links:     health.NewLinks(),
		troubled:  map[string]time.Time{},
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
	if err == nil {
		m.lastSuccess = now
		clear(m.troubled)
	} else {
		m.troubled[address] = now
	}
	m.update(now)
	m.mu.Unlock()
	if err != nil {
		m.requestRound()
	}
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
	lost := m.links.Lost(m.addresses, now)
	if lost == m.lost.Load() {
		return
	}
	m.lost.Store(lost)
	if lost {
		m.lostSince = now
		local, remote := m.addresses()
		m.log.Warn("links to all endpoints are lost", "local", len(local), "remote", len(remote))
	} else {
		m.log.Info("endpoints are reachable again", "after", now.Sub(m.lostSince))
		m.lostSince = time.Time{}
	}
	m.onChange(lost)
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

// probeRound dials a few endpoints, unless none is due.
func (m *Monitor) probeRound(ctx context.Context, now time.Time) {
	due := m.dueProbes(now)
	var probing sync.WaitGroup
	var succeeded atomic.Bool
	for _, address := range due {
		probing.Go(func() {
			if m.probe(ctx, address) == nil {
				succeeded.Store(true)
			}
		})
	}
	probing.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(due) > 0 {
		m.roundFailed = !succeeded.Load()
	}
	m.update(time.Now())
}

// probe dials an endpoint; the dial records its result.
func (m *Monitor) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.dial(ctx, address)
}

// dueProbes returns the endpoints to be probed now: one of the own data centre and one of another.
func (m *Monitor) dueProbes(now time.Time) []string {
	local, remote := m.shuffledAddresses()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isDue(now) {
		return nil
	}
	m.lastRound = now
	return append(m.drawProbe(local), m.drawProbe(remote)...)
}

// shuffledAddresses returns the addresses of the known endpoints in random order.
func (m *Monitor) shuffledAddresses() (local, remote []string) {
	local, remote = m.addresses()
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
	if !m.lost.Load() && m.countTroubled(now) < minTroubled {
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

const (
	// checkedLocal and checkedRemote are the numbers of endpoints that Check dials.
	checkedLocal  = 3
	checkedRemote = 1
	// checkTTL is how long a dial that succeeded answers Check.
	checkTTL = 200 * time.Millisecond
)

// Check finds out at once whether the links are lost, for a request whose dials have failed and that would be
// rejected otherwise.
func (m *Monitor) Check(ctx context.Context) bool {
	m.checking.Lock()
	defer m.checking.Unlock()
	if m.Lost() || m.reachedLately(time.Now()) {
		return m.Lost()
	}
	local, remote := m.shuffledAddresses()
	var probing sync.WaitGroup
	for _, address := range append(local[:min(checkedLocal, len(local))], remote[:min(checkedRemote, len(remote))]...) {
		probing.Go(func() { _ = m.probe(ctx, address) }) // The dial records its result.
	}
	probing.Wait()
	return m.Lost()
}

func (m *Monitor) reachedLately(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.lastSuccess) < checkTTL
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
