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

// silent is a store that answers no call that reaches it meanwhile, nor later.
var silent = memtable.Faults{Silent: true}

// Faults injects the run's faults, one after the other and overlapping, waits
// until they are over, and has everything healed.
func (r *Run) Faults() {
	var running sync.WaitGroup
	older := r.platform.Table.Copy()
	for step := range r.options.Steps {
		fault := r.draw()
		running.Go(fault)
		r.drawSilence()
		r.drawLimit(&running)
		r.drawRejecting(&running)
		r.drawLeaving(&running)
		if step%copyEvery == copyEvery-1 {
			r.drawRestore(&running, older)
			older = r.platform.Table.Copy()
		}
		time.Sleep(r.options.StepPause)
	}
	running.Wait()
	r.heal()
}

// draw decides the next fault; all chance is drawn here, in order.
func (r *Run) draw() func() {
	entry := r.entries[r.random.IntN(len(r.entries))]
	for_ := time.Duration(200+r.random.IntN(2800)) * time.Millisecond
	proxy := r.proxies[r.random.IntN(len(r.proxies))]
	worker := r.drawWorker()
	switch r.random.IntN(17) {
	case 0:
		return func() { r.kill(entry, for_/4) }
	case 1:
		return func() { r.terminate(entry) }
	case 2:
		return func() { r.pause(entry, for_) }
	case 3:
		return func() { r.hangUp(entry) }
	case 4:
		return func() { r.disturb(proxy, entry.source, faultproxy.Fault{Refuse: true}, for_) }
	case 5:
		return func() { r.disturb(proxy, entry.source, faultproxy.Fault{HoldUp: true, HoldDown: true}, for_) }
	case 6:
		return func() { r.disturb(proxy, entry.source, faultproxy.Fault{HoldDown: true}, for_) }
	case 7:
		return func() { r.disturb(proxy, faultproxy.Any, faultproxy.Fault{Delay: for_ / 50}, for_) }
	case 8:
		// The store turns one entry instance away.
		return func() { r.disturb(r.proxies[0], entry.source, faultproxy.Fault{Refuse: true}, 2*for_) }
	case 9:
		faults := []memtable.Faults{{Down: true}, silent, {LoseAnswers: true}, {LoseAnswers: true, Late: for_ / 4}}
		chosen := faults[r.random.IntN(len(faults))]
		return func() { r.store(chosen, for_) }
	case 10:
		return r.platform.Table.ForgetHistory
	case 11:
		return func() { r.configure(); r.configure() }
	case 12:
		return func() { r.platform.Crash(worker) }
	case 13:
		return func() { r.suspend(entry, for_) }
	case 14:
		return func() { r.writeForeign(for_) }
	case 15:
		condition := []fleetstandin.Condition{fleetstandin.Dark, fleetstandin.Unlisted, fleetstandin.CutOff}[r.random.IntN(3)]
		return func() { r.worker(worker, condition, 2*for_) }
	}
	late := for_ / 3
	return func() {
		r.platform.Fleet.SetLate(func() time.Duration { return late })
		time.Sleep(for_)
		r.platform.Fleet.SetLate(func() time.Duration { return 0 })
	}
}

// silenceEvery is the number of faults beside one of which the open connections through
// a proxy fall silent for good.
const silenceEvery = 5

// drawSilence has the open connections through a proxy fall silent, now and then.
func (r *Run) drawSilence() {
	proxy := r.proxies[r.silences.IntN(len(r.proxies))]
	if r.silences.IntN(silenceEvery) == 0 {
		proxy.Silence(faultproxy.Any)
	}
}

const (
	// limitEvery is the number of faults beside one of which an endpoint names a limit.
	limitEvery = 4
	// copyEvery is the number of faults after which the store may come back from the copy that
	// was made so many faults before: a copy is some seconds old.
	copyEvery = 8
	// rewritten is within which time operator and endpoints write again what the store lost.
	rewritten = 1200 * time.Millisecond
)

// drawLimit has an endpoint name a limit for a time, now and then, or what is none.
func (r *Run) drawLimit(running *sync.WaitGroup) {
	if r.copies.IntN(limitEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.copies)
	text := strconv.FormatFloat(0.5+6*r.copies.Float64(), 'f', 1, 64)
	if r.copies.IntN(5) == 0 {
		text = []string{"0", "-3", "NaN", "1e300", "few", "2, 3"}[r.copies.IntN(6)]
	}
	for_ := time.Duration(500+r.copies.IntN(3500)) * time.Millisecond
	running.Go(func() {
		r.platform.SetLimit(id, text)
		time.Sleep(for_)
		r.platform.SetLimit(id, "")
	})
}

const (
	// rejectEvery is the number of faults beside one of which an endpoint sheds load, and
	// leaveEvery that beside one of which an endpoint says that it leaves.
	rejectEvery = 4
	leaveEvery  = 8
)

// drawRejecting has an endpoint reject a share of its requests for a time, now and then, with
// a Retry-After or with what is none.
func (r *Run) drawRejecting(running *sync.WaitGroup) {
	if r.advisories.IntN(rejectEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.advisories)
	share := 0.2 + 0.8*r.advisories.Float64()
	text := strconv.FormatFloat(0.3+3*r.advisories.Float64(), 'f', 2, 64)
	if r.advisories.IntN(5) == 0 {
		text = []string{"", "0", "-3", "NaN", "1e300", "soon"}[r.advisories.IntN(6)]
	}
	for_ := time.Duration(500+r.advisories.IntN(3500)) * time.Millisecond
	running.Go(func() {
		r.platform.SetRejecting(id, share, text)
		time.Sleep(for_)
		r.platform.SetRejecting(id, 0, "")
	})
}

// drawLeaving has an endpoint say in its answers that it leaves, now and then, and end.
func (r *Run) drawLeaving(running *sync.WaitGroup) {
	if r.advisories.IntN(leaveEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.advisories)
	for_ := time.Duration(1000+r.advisories.IntN(3000)) * time.Millisecond
	running.Go(func() {
		r.platform.SetLeavingMark(id, "1")
		time.Sleep(for_)
		r.platform.Crash(id)
	})
}

// drawRestore has the store come back from an older copy, at once, after an outage or twice.
func (r *Run) drawRestore(running *sync.WaitGroup, older memtable.Copy) {
	outage := time.Duration(r.copies.IntN(3)) * 700 * time.Millisecond
	twice := r.copies.IntN(3) == 0
	running.Go(func() {
		if outage > 0 {
			r.platform.Table.SetFaults(memtable.Faults{Down: true})
			time.Sleep(outage)
		}
		r.platform.Restore(older, rewritten)
		if twice {
			time.Sleep(rewritten / 4)
			r.platform.Restore(older, rewritten)
		}
		r.platform.Table.SetFaults(memtable.Faults{})
	})
}

// Kills of all entry instances while their answers break off.
const (
	herdKills = 4
	herdPause = 1500 * time.Millisecond
	// herdBreaking is the share of answers that break off meanwhile.
	herdBreaking = 0.5
)

// Herd kills all entry instances at once, again and again within a window of the retry budget,
// while a share of all answers breaks off and every caller's request is worth a repeat.
func (r *Run) Herd() {
	r.platform.SetBreaking(herdBreaking)
	defer r.platform.SetBreaking(0)
	for range herdKills {
		time.Sleep(herdPause)
		var killing sync.WaitGroup
		for _, p := range r.entries {
			killing.Go(func() { r.kill(p, 0) })
		}
		killing.Wait()
	}
	time.Sleep(herdPause)
}

// Watch looks at what holds only where nothing is amiss: both plain endpoints and a worker name
// limits, a plain endpoint and a group's head shed load, another group's head leaves, and
// requests that end endpoints go on coming.
func (r *Run) Watch(for_ time.Duration) {
	rejecting := []serving.EndpointID{"s-south", r.head("south")}
	for _, id := range rejecting {
		r.platform.SetRejecting(id, 0.5, "1.5")
	}
	limited := []serving.EndpointID{"s-north", "s-south", r.drawWorker()}
	for i, id := range limited {
		r.platform.SetLimit(id, strconv.Itoa(1+i))
	}
	// What is told before the grace has passed does not count.
	time.Sleep(watchGrace)
	leaving := r.head("north")
	r.platform.SetLeavingMark(leaving, "1")
	time.Sleep(for_ - watchGrace)
	for _, id := range limited {
		r.platform.SetLimit(id, "")
	}
	for _, id := range rejecting {
		r.platform.SetRejecting(id, 0, "")
	}
	r.platform.Crash(leaving)
}

// watchGrace is a little longer than the grace of isCalm.
var watchGrace = crashBound.Grace + 500*time.Millisecond

// head returns the head of an open group of a data centre, or any worker while there is none.
func (r *Run) head(centre string) serving.EndpointID {
	if id, _ := r.platform.Head(centre); id != "" {
		return id
	}
	return r.drawWorker()
}

// restart starts a process again, unless another fault has done so.
func (r *Run) restart(p *process) {
	if !p.ended() {
		return
	}
	if err := p.start(r.options.Daemon); err != nil {
		r.breakPromise("start %s: %v", p.name, err)
	}
}

// lock takes a process out of the other faults of processes; false means that
// one is under way.
func (p *process) lock() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused {
		return false
	}
	p.paused = true
	return true
}

func (p *process) unlock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = false
}

func (r *Run) kill(p *process, away time.Duration) {
	if !p.lock() {
		return
	}
	defer p.unlock()
	p.signal(syscall.SIGKILL)
	<-p.done
	time.Sleep(away)
	r.restart(p)
}

// terminate is a planned stop, within its bound.
func (r *Run) terminate(p *process) {
	if !p.lock() {
		return
	}
	defer p.unlock()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopBound + stopSlack):
		r.breakPromise("%s has not stopped %s after SIGTERM", p.name, time.Since(began))
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	r.restart(p)
}

func (r *Run) pause(p *process, for_ time.Duration) { p.standStill(for_, func() {}) }

// standStill stops a process for a time, and has something done before it goes on.
func (p *process) standStill(for_ time.Duration, before func()) {
	if !p.lock() {
		return
	}
	defer p.unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(for_)
	before()
	p.signal(syscall.SIGCONT)
}

// suspend has a process stand still for a time that its monotonic clock does not count. The
// kernel's clock goes on here, so the time counts twice for it, which is more trouble.
func (r *Run) suspend(p *process, for_ time.Duration) {
	p.standStill(for_, func() {
		p.suspended += for_
		text := strconv.FormatInt(p.suspended.Milliseconds(), 10)
		if err := os.WriteFile(p.suspensions, []byte(text), 0o600); err != nil {
			r.breakPromise("the harness: %v", err)
		}
	})
}

// writeForeign has another writer leave rows in the table of workers for a time.
func (r *Run) writeForeign(for_ time.Duration) {
	keys, err := r.platform.WriteForeign("foreign-")
	if err != nil {
		r.breakPromise("the harness: %v", err)
	}
	time.Sleep(for_)
	if err := r.platform.Remove(keys); err != nil {
		r.breakPromise("the harness: %v", err)
	}
}

// hangUp must end nothing.
func (r *Run) hangUp(p *process) {
	if !p.lock() {
		return
	}
	defer p.unlock()
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	if p.ended() {
		r.breakPromise("%s has ended after SIGHUP", p.name)
		r.restart(p)
	}
}

func (r *Run) disturb(proxy *faultproxy.Proxy, source netip.Addr, f faultproxy.Fault, for_ time.Duration) {
	proxy.Set(source, f)
	time.Sleep(for_)
	proxy.Set(source, faultproxy.Fault{})
}

// worker puts a worker into a condition for a time.
func (r *Run) worker(id serving.EndpointID, condition fleetstandin.Condition, for_ time.Duration) {
	r.platform.Fleet.Set(id, condition)
	time.Sleep(for_)
	r.platform.Fleet.Set(id, fleetstandin.Well)
}

func (r *Run) store(f memtable.Faults, for_ time.Duration) {
	r.platform.Table.SetFaults(f)
	time.Sleep(for_)
	r.platform.Table.SetFaults(memtable.Faults{})
}

// heal takes all faults away.
func (r *Run) heal() {
	r.platform.Table.SetFaults(memtable.Faults{})
	r.platform.Fleet.SetLate(func() time.Duration { return 0 })
	for _, proxy := range r.proxies {
		proxy.Heal()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = time.Now()
}

// isCalm reports whether all faults had been over for the grace at a moment; the caller
// holds the lock.
func (r *Run) isCalm(at time.Time) bool {
	return !r.healed.IsZero() && at.Sub(r.healed) > crashBound.Grace
}
