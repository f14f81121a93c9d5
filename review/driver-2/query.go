package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["6"] = caseQuery }

const (
	// queryFor is how long the request comes, and comesEvery how often.
	queryFor   = 25 * time.Second
	comesEvery = 2 * time.Second
	// retriesBound is the bound of the rule.
	retriesBound = 3
	// deadlyPath is the path of the request that crashes the workers that run it.
	deadlyPath = "/puxa403/deadly"
)

// caseQuery has a request crash workers that comes again with the same path, caller and body, and with another query each
// time. Without the disruption the query is the same too.
func caseQuery(e *environment) (bool, error) {
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
	var ids []string
	third := time.Time{}
	for until := time.Now().Add(queryFor); time.Now().Before(until); time.Sleep(comesEvery) {
		query := "?try=1"
		if e.trouble {
			query = fmt.Sprintf("?try=%d", len(ids)+1)
		}
		ids = append(ids, e.sendDeadly(len(ids), query))
		if third.IsZero() {
			third = thirdCrash(workers, ids)
		}
	}
	if third.IsZero() {
		return false, fmt.Errorf("the request has not crashed three workers")
	}
	return e.checkRetries(workers, ids, third), nil
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
