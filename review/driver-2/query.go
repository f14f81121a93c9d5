package main

import (
	"fmt"
	"time"
)

func init() { cases["5"] = caseQuery }

// queryFor is how long the request comes in caseQuery.
const queryFor = 25 * time.Second

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
