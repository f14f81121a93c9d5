package soak

import (
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/fleetstandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// silentStore makes the store never respond to the calls that reach it during the fault.
var silentStore = memtable.Faults{Silent: true}

// InjectFaults injects the run's faults, which overlap, waits until they have ended and removes
// any that are left.
func (r *Run) InjectFaults() {
	var running sync.WaitGroup
	snapshot := r.platform.Table.Copy()
	for step := range r.options.Steps {
		fault := r.drawFault()
		running.Go(fault)
		r.drawSilence()
		r.drawLimit(&running)
		r.drawRejecting(&running)
		r.drawDraining(&running)
		r.drawEvacuation(&running)
		r.drawLinkLoss(&running)
		r.drawPause(&running)
		r.drawUnframed(&running)
		r.drawDisturbance(&running)
		if step%restoreEvery == restoreEvery-1 {
			r.drawRestore(&running, snapshot)
			snapshot = r.platform.Table.Copy()
		}
		time.Sleep(r.options.StepPause)
	}
	running.Wait()
	r.heal()
}

// drawFault draws the next fault. All random numbers are drawn before the fault runs, so that a
// seed determines them.
func (r *Run) drawFault() func() {
	entry := r.entries[r.random.IntN(len(r.entries))]
	duration := time.Duration(200+r.random.IntN(2800)) * time.Millisecond
	proxy := r.proxies[r.random.IntN(len(r.proxies))]
	worker := r.drawWorker()
	switch r.random.IntN(17) {
	case 0:
		return func() { r.kill(entry, duration/4) }
	case 1:
		return func() { r.terminate(entry) }
	case 2:
		return func() { r.pause(entry, duration) }
	case 3:
		return func() { r.reload(entry) }
	case 4:
		return func() { r.injectProxyFault(proxy, entry.sourceAddress, faultproxy.Fault{Refuse: true}, duration) }
	case 5:
		return func() {
			r.injectProxyFault(proxy, entry.sourceAddress, faultproxy.Fault{StallUpstream: true, StallDownstream: true}, duration)
		}
	case 6:
		return func() {
			r.injectProxyFault(proxy, entry.sourceAddress, faultproxy.Fault{StallDownstream: true}, duration)
		}
	case 7:
		return func() {
			r.injectProxyFault(proxy, faultproxy.AnySource, faultproxy.Fault{Delay: duration / 50}, duration)
		}
	case 8:
		// The store is unreachable for one entry instance.
		return func() {
			r.injectProxyFault(r.proxies[0], entry.sourceAddress, faultproxy.Fault{Refuse: true}, 2*duration)
		}
	case 9:
		faults := []memtable.Faults{{Down: true}, silentStore, {LoseAnswers: true}, {LoseAnswers: true, ApplyDelay: duration / 4}}
		chosen := faults[r.random.IntN(len(faults))]
		return func() { r.injectStoreFault(chosen, duration) }
	case 10:
		return r.platform.Table.CompactHistory
	case 11:
		return func() { r.configure(); r.configure() }
	case 12:
		return func() { r.platform.Crash(worker) }
	case 13:
		return func() { r.suspend(entry, duration) }
	case 14:
		return func() { r.writeForeign(duration) }
	case 15:
		condition := []fleetstandin.Condition{fleetstandin.Terminated, fleetstandin.Unlisted, fleetstandin.Isolated}[r.random.IntN(3)]
		return func() { r.injectWorkerFault(worker, condition, 2*duration) }
	}
	late := duration / 3
	return func() {
		r.platform.Fleet.SetOrderDelay(func() time.Duration { return late })
		time.Sleep(duration)
		r.platform.Fleet.SetOrderDelay(func() time.Duration { return 0 })
	}
}

// silenceEvery is the mean number of faults per permanent silence of a proxy's open connections.
const silenceEvery = 5

// drawSilence occasionally silences the open connections of a proxy for good.
func (r *Run) drawSilence() {
	proxy := r.proxies[r.silenceRandom.IntN(len(r.proxies))]
	if r.silenceRandom.IntN(silenceEvery) == 0 {
		proxy.StallOpenConnections(faultproxy.AnySource)
	}
}

const (
	// limitEvery is the mean number of faults per rate limit advertised by an endpoint.
	limitEvery = 4
	// restoreEvery is the number of faults between restores of the store, each from the copy
	// made at the previous one.
	restoreEvery = 8
	// rewritePeriod is the time within which the operator and the endpoints rewrite lost rows.
	rewritePeriod = 1200 * time.Millisecond
)

// drawLimit occasionally makes an endpoint advertise a valid or malformed rate limit for a time.
func (r *Run) drawLimit(running *sync.WaitGroup) {
	if r.restoreRandom.IntN(limitEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.restoreRandom)
	text := strconv.FormatFloat(0.5+6*r.restoreRandom.Float64(), 'f', 1, 64)
	if r.restoreRandom.IntN(5) == 0 {
		text = []string{"0", "-3", "NaN", "1e300", "few", "2, 3"}[r.restoreRandom.IntN(6)]
	}
	duration := time.Duration(500+r.restoreRandom.IntN(3500)) * time.Millisecond
	running.Go(func() {
		r.platform.SetLimit(id, text)
		time.Sleep(duration)
		r.platform.SetLimit(id, "")
	})
}

const (
	// rejectEvery and drainEvery are the mean numbers of faults per endpoint that rejects
	// requests and per endpoint that drains.
	rejectEvery = 4
	drainEvery  = 8
)

// drawRejecting occasionally makes an endpoint reject a share of its requests for a time, with a
// valid or malformed Retry-After.
func (r *Run) drawRejecting(running *sync.WaitGroup) {
	if r.advisoryRandom.IntN(rejectEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.advisoryRandom)
	share := 0.2 + 0.8*r.advisoryRandom.Float64()
	text := strconv.FormatFloat(0.3+3*r.advisoryRandom.Float64(), 'f', 2, 64)
	if r.advisoryRandom.IntN(5) == 0 {
		text = []string{"", "0", "-3", "NaN", "1e300", "soon"}[r.advisoryRandom.IntN(6)]
	}
	duration := time.Duration(500+r.advisoryRandom.IntN(3500)) * time.Millisecond
	running.Go(func() {
		r.platform.SetRejecting(id, share, text)
		time.Sleep(duration)
		r.platform.SetRejecting(id, 0, "")
	})
}

// drawDraining occasionally makes an endpoint mark its responses as draining and then crash.
func (r *Run) drawDraining(running *sync.WaitGroup) {
	if r.advisoryRandom.IntN(drainEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.advisoryRandom)
	duration := time.Duration(1000+r.advisoryRandom.IntN(3000)) * time.Millisecond
	running.Go(func() {
		r.platform.SetDrainingMark(id, "1")
		time.Sleep(duration)
		r.platform.Crash(id)
	})
}

// drawRestore restores the store from an older copy, in some cases after an outage or twice.
func (r *Run) drawRestore(running *sync.WaitGroup, snapshot memtable.Copy) {
	outage := time.Duration(r.restoreRandom.IntN(3)) * 700 * time.Millisecond
	twice := r.restoreRandom.IntN(3) == 0
	running.Go(func() {
		if outage > 0 {
			r.platform.Table.SetFaults(memtable.Faults{Down: true})
			time.Sleep(outage)
		}
		r.platform.Restore(snapshot, rewritePeriod)
		if twice {
			time.Sleep(rewritePeriod / 4)
			r.platform.Restore(snapshot, rewritePeriod)
		}
		r.platform.Table.SetFaults(memtable.Faults{})
	})
}

const (
	killRounds = 4
	killPause  = 1500 * time.Millisecond
	// brokenResponseShare is the fraction of responses that are truncated during the kills.
	brokenResponseShare = 0.5
)

// KillAllRepeatedly kills all entry instances at once several times within a window of the retry
// budget while a share of the responses is truncated, so that many requests are retried.
func (r *Run) KillAllRepeatedly() {
	r.platform.SetBreakShare(brokenResponseShare)
	defer r.platform.SetBreakShare(0)
	for range killRounds {
		time.Sleep(killPause)
		var killing sync.WaitGroup
		for _, p := range r.entries {
			killing.Go(func() { r.kill(p, 0) })
		}
		killing.Wait()
	}
	time.Sleep(killPause)
}

// ExerciseAdvisories runs without faults, as the checks of advisories require: both service
// endpoints and a worker advertise rate limits, a service endpoint and a group's head reject
// requests, and another group's head drains and then crashes.
func (r *Run) ExerciseAdvisories(duration time.Duration) {
	rejecting := []serving.EndpointID{"s-south", r.drawHead("south")}
	for _, id := range rejecting {
		r.platform.SetRejecting(id, 0.5, "1.5")
	}
	limited := []serving.EndpointID{"s-north", "s-south", r.drawWorker()}
	for i, id := range limited {
		r.platform.SetLimit(id, strconv.Itoa(1+i))
	}
	// Advisories within the grace are not checked.
	time.Sleep(advisoryDelay)
	leaving := r.drawHead("north")
	r.platform.SetDrainingMark(leaving, "1")
	time.Sleep(duration - advisoryDelay)
	for _, id := range limited {
		r.platform.SetLimit(id, "")
	}
	for _, id := range rejecting {
		r.platform.SetRejecting(id, 0, "")
	}
	r.platform.Crash(leaving)
}

// advisoryDelay is a little longer than the grace of isFaultFree.
var advisoryDelay = crashBound.Grace + 500*time.Millisecond

// drawHead returns the head of an open group of a data centre, or a random worker if there is
// none.
func (r *Run) drawHead(centre string) serving.EndpointID {
	if id, _ := r.platform.Head(centre); id != "" {
		return id
	}
	return r.drawWorker()
}

// restart starts a process unless it is running.
func (r *Run) restart(p *process) {
	if !p.exited() {
		return
	}
	if err := p.start(r.options.Daemon); err != nil {
		r.recordViolation("start %s: %v", p.name, err)
	}
}

// beginFault reserves a process for one process fault; it returns false if another one is active.
func (p *process) beginFault() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faultActive {
		return false
	}
	p.faultActive = true
	return true
}

func (p *process) endFault() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultActive = false
}

func (r *Run) kill(p *process, downtime time.Duration) {
	if !p.beginFault() {
		return
	}
	defer p.endFault()
	p.signal(syscall.SIGKILL)
	<-p.done
	time.Sleep(downtime)
	r.restart(p)
}

// terminate stops a process with SIGTERM, checks that it exits within its bound, and restarts it.
func (r *Run) terminate(p *process) {
	if !p.beginFault() {
		return
	}
	defer p.endFault()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopBound + stopSlack):
		r.recordViolation("%s is still running %s after SIGTERM", p.name, time.Since(began))
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	r.restart(p)
}

func (r *Run) pause(p *process, duration time.Duration) { p.stopFor(duration, func() {}) }

// stopFor stops a process for a time and calls beforeResume before resuming it.
func (p *process) stopFor(duration time.Duration, beforeResume func()) {
	if !p.beginFault() {
		return
	}
	defer p.endFault()
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	beforeResume()
	p.signal(syscall.SIGCONT)
}

// suspend emulates a suspension of the machine: it stops a process and adds the time to the
// suspension file. As the kernel's monotonic clock keeps running, the process counts the time
// twice, which is a harder case.
func (r *Run) suspend(p *process, duration time.Duration) {
	p.stopFor(duration, func() {
		p.totalSuspended += duration
		text := strconv.FormatInt(p.totalSuspended.Milliseconds(), 10)
		if err := os.WriteFile(p.suspensionFile, []byte(text), 0o600); err != nil {
			r.recordViolation("test harness: %v", err)
		}
	})
}

// writeForeign adds another writer's rows to the table of workers for a time.
func (r *Run) writeForeign(duration time.Duration) {
	keys, err := r.platform.WriteInvalidRows("foreign-")
	if err != nil {
		r.recordViolation("test harness: %v", err)
	}
	time.Sleep(duration)
	if err := r.platform.RemoveRows(keys); err != nil {
		r.recordViolation("test harness: %v", err)
	}
}

// reload sends SIGHUP and checks that the process keeps running.
func (r *Run) reload(p *process) {
	if !p.beginFault() {
		return
	}
	defer p.endFault()
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	if p.exited() {
		r.recordViolation("%s exited after SIGHUP", p.name)
		r.restart(p)
	}
}

func (r *Run) injectProxyFault(proxy *faultproxy.Proxy, source netip.Addr, f faultproxy.Fault, duration time.Duration) {
	remove := proxy.AddFault(source, f)
	time.Sleep(duration)
	remove()
}

// injectWorkerFault sets a worker's condition for a time.
func (r *Run) injectWorkerFault(id serving.EndpointID, condition fleetstandin.Condition, duration time.Duration) {
	r.platform.Fleet.SetCondition(id, condition)
	time.Sleep(duration)
	r.platform.Fleet.SetCondition(id, fleetstandin.Healthy)
}

func (r *Run) injectStoreFault(f memtable.Faults, duration time.Duration) {
	r.platform.Table.SetFaults(f)
	time.Sleep(duration)
	r.platform.Table.SetFaults(memtable.Faults{})
}

// heal removes all faults of the store, the fleet and the proxies.
func (r *Run) heal() {
	r.platform.Table.SetFaults(memtable.Faults{})
	r.platform.Fleet.SetOrderDelay(func() time.Duration { return 0 })
	for _, proxy := range r.proxies {
		proxy.ClearFaults()
	}
	r.platform.SetUnframed(false)
	for _, p := range r.entries {
		r.setLinkFault(p, "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healedAt = time.Now()
}

// isFaultFree reports whether all faults ended at least the grace before a time; r.mu must be
// held.
func (r *Run) isFaultFree(at time.Time) bool {
	return !r.healedAt.IsZero() && at.Sub(r.healedAt) > crashBound.Grace
}
