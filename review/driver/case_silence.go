package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// streamsPerMachine streams at each of three machines fill the slots of the three workers. They
	// begin one after another, so that the machines know of each other's.
	streamsPerMachine = 6
	streamSlots       = 6
	streamSpacing     = 50 * time.Millisecond
	// termAfter is when SIGTERM is sent after all streams have begun, and silenceAfter when the
	// worker falls silent after that.
	termAfter    = 500 * time.Millisecond
	silenceAfter = 200 * time.Millisecond
	// gracePeriod is grace_period_s.
	gracePeriod = 8 * time.Second
)

// caseSilence checks LOST around a SIGTERM: streams that the machine had read and passed on end with
// their last event.
func caseSilence(e *environment, trouble bool) (verdict, error) {
	events := &stream{count: 36, pause: 120 * time.Millisecond}
	handle := func(*worker, *http.Request, []byte) answer {
		return answer{status: http.StatusOK, stream: events}
	}
	if err := e.startAll(len(zones), streamSlots, handle, []route{letterRoute()}); err != nil {
		return verdict{}, err
	}
	time.Sleep(runtimeBeforeSilence)
	stopping := e.machines[0]
	var mu sync.Mutex
	var v verdict
	complete, cut := map[string]int{}, map[string]int{}
	var running sync.WaitGroup
	for i := range streamsPerMachine * len(e.machines) {
		m := e.machines[i%len(e.machines)]
		running.Go(func() {
			c := newClient(e, fmt.Sprintf("c%d", i), m, streamDeadline)
			r := c.send("POST", "/weekly-letter/1", []byte("a letter"))
			mu.Lock()
			defer mu.Unlock()
			if r.err == nil && r.status == http.StatusOK {
				complete[m.zone]++
				return
			}
			cut[m.zone]++
			if m == stopping && r.took < streamDeadline {
				v.violations = append(v.violations, fmt.Sprintf("%s at %s: closed after %d bytes and %.2f s, status %d, error %v", r.id, m.zone, len(r.body), r.took.Seconds(), r.status, r.err))
			}
		})
		time.Sleep(streamSpacing)
	}
	time.Sleep(termAfter)
	e.record("SIGTERM to %s", stopping.zone)
	if err := stopping.command.Process.Signal(syscall.SIGTERM); err != nil {
		return v, err
	}
	if trouble {
		time.Sleep(silenceAfter)
		e.record("%s is silent for %s", e.workers[0].id, silence)
		e.workers[0].fallSilent(silence)
	}
	running.Wait()
	select {
	case <-stopping.done:
		e.record("%s has ended", stopping.zone)
	case <-time.After(gracePeriod):
		return v, fmt.Errorf("%s has not ended", stopping.zone)
	}
	v.summary = fmt.Sprintf("streams to their end by machine: %v, cut: %v; SIGTERM to %s", complete, cut, stopping.zone)
	return v, nil
}
