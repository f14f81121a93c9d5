package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

func init() { cases["8"] = caseZeroLimit }

// Times and figures of the case. The traffic is that of the plain service of the small deployment.
const (
	limitedFor    = 10 * time.Second
	betweenSends  = time.Second * 10 / 179
	limitWindow   = 4 * time.Second
	limitOverrun  = 1.5
	limitConstant = 5
)

// caseZeroLimit has one of three workers name a limit of no requests a second in its answers.
func caseZeroLimit(e *environment) (bool, error) {
	limit := os.Getenv("LIMIT")
	if limit == "" {
		limit = "0"
	}
	perSecond := 0.0
	if _, err := fmt.Sscanf(limit, "%g", &perSecond); err != nil {
		return false, err
	}
	s := newStore()
	s.put("op", "config", plainConfiguration(1, "wuno96b", 4000))
	var workers []*worker
	for _, zone := range zoneNames {
		w, err := startWorker(e, s, "i-"+zone, "wuno96b", zone, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	limited := workers[0]
	if err := e.startNodes(s, zoneNames, []int{1, 1, 1}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { e.sendSteadily(stop) })
	time.Sleep(2 * time.Second)
	if e.trouble {
		limited.setHeader("Server-Limit", limit)
		e.logf("%s names Server-Limit: %s in all answers from here on", limited.name, limit)
	}
	time.Sleep(limitedFor)
	limited.setHeader("Server-Limit", "")
	close(stop)
	clients.Wait()
	named := limited.firstNamed()
	if named.IsZero() {
		e.logf("no limit was named")
		return true, nil
	}
	var arrivals []time.Time
	for _, at := range limited.receivedAt() {
		if at.After(named.Add(contact)) && at.Before(named.Add(limitedFor-500*time.Millisecond)) {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most := 0
	for i, first := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	bound := limitOverrun*perSecond*limitWindow.Seconds() + limitConstant
	e.logf("%d requests reached %s from %s after it first named its limit; at most %d in %s, bound %.1f", len(arrivals), limited.name, contact, most, limitWindow, bound)
	return float64(most) <= bound, nil
}

// sendSteadily sends idempotent requests to the nodes in turn until it is stopped.
func (e *environment) sendSteadily(stop chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(betweenSends)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() {
			n := e.nodes[i%len(e.nodes)]
			id := fmt.Sprintf("steady-%d", i)
			c, err := dial(n.frontend)
			if err != nil {
				e.logf("%s: %v", id, err)
				return
			}
			defer c.Close()
			if err := c.send("GET", fmt.Sprintf("/cufi504/%d", i), id, 600*time.Millisecond, nil); err != nil {
				e.logf("%s: %v", id, err)
				return
			}
			a := c.receive("GET")
			e.logf("%s at %s: status %d, error %v", id, n.name, a.status, a.err)
		})
	}
}
