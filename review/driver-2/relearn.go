package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["8"] = caseRelearn }

// Times of the case, and the bound of the rule.
const (
	// outage is how long the store is down.
	outage = 5 * time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
	// comesEvery is how often a client sends the request that crashes workers.
	comesEvery = 2 * time.Second
	// watched is how long the request comes again.
	watched      = 52 * time.Second
	retriesBound = 3
)

// deadlyPath is the path of the request that crashes the workers that run it.
const deadlyPath = "/puxa403/deadly"

// caseRelearn has a request crash workers while the store is down, has all nodes killed before it is back, and counts how
// often the request then reaches workers.
func caseRelearn(e *environment) (bool, error) {
	s := newStore()
	s.put("op", "config", plainConfiguration(1, "wuno96b", 4000))
	workers, err := e.startCrashingWorkers(s)
	if err != nil {
		return false, err
	}
	if err := e.startNodes(s, zoneNames, []int{1, 1, 1}); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if e.trouble {
		s.setDown(true)
		e.logf("the store is down")
	}
	downAt := time.Now()
	var ids []string
	third := time.Time{}
	for i := 0; third.IsZero(); i++ {
		if i == 8 {
			return false, fmt.Errorf("the request has not crashed three workers")
		}
		ids = append(ids, e.sendDeadly(len(ids), ""))
		time.Sleep(400 * time.Millisecond)
		third = thirdCrash(workers, ids)
	}
	e.logf("three workers have crashed")
	if e.trouble {
		time.Sleep(time.Second)
		e.killAll()
		time.Sleep(restartDelay)
		for _, n := range e.nodes {
			if err := n.restart(); err != nil {
				return false, err
			}
		}
		e.logf("all nodes were killed and start again")
		time.Sleep(time.Until(downAt.Add(outage)))
		s.setDown(false)
		e.logf("the store is back")
	}
	// All machines are in touch from here on.
	time.Sleep(contact + 2*time.Second)
	e.logf("all machines are in touch")
	before := len(ids)
	for until := time.Now().Add(watched); time.Now().Before(until); time.Sleep(comesEvery) {
		ids = append(ids, e.sendDeadly(len(ids), ""))
	}
	return e.checkRetries(workers, ids[before:], third), nil
}

// checkRetries reports whether the requests with the ids reached workers at most as often as the rule allows.
func (e *environment) checkRetries(workers []*worker, ids []string, third time.Time) bool {
	reached := 0
	for _, id := range ids {
		for _, w := range workers {
			if at := w.at(w.received, id); at.After(third.Add(contact)) {
				reached++
				e.logf("%s reached %s %.1f s after the third crash", id, w.name, at.Sub(third).Seconds())
			}
		}
	}
	e.logf("the request reached workers %d times later than %s after the third crash (bound: %d)", reached, contact, retriesBound)
	return reached <= retriesBound
}

// startCrashingWorkers starts two workers in each zone that a request for deadlyPath crashes.
func (e *environment) startCrashingWorkers(s *store) ([]*worker, error) {
	var workers []*worker
	for _, zone := range zoneNames {
		for i := range 2 {
			w, err := startWorker(e, s, fmt.Sprintf("i-%s-%d", zone, i+1), "wuno96b", zone, 15*time.Millisecond)
			if err != nil {
				return nil, err
			}
			w.crashes = func(r *http.Request) bool { return r.URL.Path == deadlyPath }
			w.downFor = 3 * time.Second
			workers = append(workers, w)
		}
	}
	return workers, nil
}

// sendDeadly sends the request to the next node and returns its id.
func (e *environment) sendDeadly(number int, query string) string {
	id := fmt.Sprintf("deadly-%d", number)
	n := e.nodes[number%len(e.nodes)]
	c, err := dial(n.frontend)
	if err != nil {
		e.logf("%s: %v", id, err)
		return id
	}
	defer c.Close()
	if err := c.send("POST", deadlyPath+query, id, 1500*time.Millisecond, []byte("the same body")); err != nil {
		e.logf("%s: %v", id, err)
		return id
	}
	a := c.receive("POST")
	e.logf("%s at %s: status %d, error %v", id, n.name, a.status, a.err)
	return id
}

// thirdCrash returns when the third worker crashed, or the zero time.
func thirdCrash(workers []*worker, ids []string) time.Time {
	var times []time.Time
	for _, id := range ids {
		for _, w := range workers {
			if at := w.at(w.started, id); !at.IsZero() {
				times = append(times, at)
			}
		}
	}
	if len(times) < 3 {
		return time.Time{}
	}
	latest := times[0]
	for _, at := range times {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// killAll kills all nodes at once.
func (e *environment) killAll() {
	for _, n := range e.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range e.nodes {
		<-n.exited
	}
}
