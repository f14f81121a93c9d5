package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// failingStatus is what a failing request is answered with, unless STATUS names another one.
	failingStatus = 520
	// failingShare of the requests at one of three workers fail, for failingTime.
	failingShare = 0.4
	failingTime  = 6 * time.Second
	statusCalm   = 2 * time.Second
	// statusTraffic is how long clients send requests.
	statusTraffic = 10 * time.Second
	statusClients = 12
	statusPause   = 100 * time.Millisecond
)

// caseStatus checks MIXED: no client gets a success where the worker has answered with a failure.
func caseStatus(e *environment, trouble bool) (verdict, error) {
	status := failingStatus
	if text := os.Getenv("STATUS"); text != "" {
		var err error
		if status, err = strconv.Atoi(text); err != nil {
			return verdict{}, err
		}
	}
	var mu sync.Mutex
	fails, failed := false, map[string]bool{}
	handle := func(w *worker, r *http.Request, _ []byte) answer {
		id := r.Header.Get(headerID)
		mu.Lock()
		defer mu.Unlock()
		if w.id == e.workers[0].id && fails && rand.Float64() < failingShare {
			failed[id] = true
			return answer{status: status, body: bodyOf(id, smallAnswer)}
		}
		return answer{status: http.StatusOK, body: bodyOf(id, smallAnswer)}
	}
	if err := e.startAll(len(zones), manySlots, handle, []route{shopRoute("order-page", "non_idempotent")}); err != nil {
		return verdict{}, err
	}
	setFails := func(value bool) func() {
		return func() {
			mu.Lock()
			defer mu.Unlock()
			fails = value
			e.record("%s fails requests: %t", e.workers[0].id, value)
		}
	}
	if trouble {
		time.AfterFunc(statusCalm, setFails(true))
		time.AfterFunc(statusCalm+failingTime, setFails(false))
	}
	var v verdict
	seen := map[int]int{}
	var running sync.WaitGroup
	until := time.Now().Add(statusTraffic)
	for i := range statusClients {
		running.Go(func() {
			c := newClient(e, fmt.Sprintf("c%d", i), e.machines[i%len(e.machines)], shopDeadline)
			for time.Now().Before(until) {
				r := c.send("POST", "/order-page/1", []byte("an order"))
				mu.Lock()
				seen[r.status]++
				if failed[r.id] && r.err == nil && r.status >= 200 && r.status < 300 {
					v.violations = append(v.violations, fmt.Sprintf("%s: the worker answered %d, the client got %d with signature %q", r.id, status, r.status, r.signature))
				}
				mu.Unlock()
				time.Sleep(statusPause)
			}
		})
	}
	running.Wait()
	v.summary = fmt.Sprintf("%d requests failed with %d; clients saw statuses %v", len(failed), status, seen)
	return v, nil
}
