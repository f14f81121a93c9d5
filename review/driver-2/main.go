// Command driver-2 runs the scripted cases of the second independent review. It starts the system's processes and the
// stand-ins for the platform, its workers and its clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// environment is what a case runs in.
type environment struct {
	// trouble is unset for a run without the disruption.
	trouble bool
	dir     string
	began   time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

// logf writes a line to the record of the case.
func (e *environment) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, _ = fmt.Fprintf(e.record, "%8.3f %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// cases has the cases by the number of their folder. A case returns whether the rule held.
var cases = map[string]func(*environment) (held bool, err error){}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE, in the root of the repository")
		return exitCannot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.Close()
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	defer e.killNodes()
	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		held, err := cases[os.Args[1]](e)
		done <- outcome{held, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(timeLimit):
		o.err = fmt.Errorf("the case took too long")
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, n := range e.nodes {
			text, _ := os.ReadFile(n.log)
			_ = os.WriteFile(filepath.Join(kept, n.name+".log"), text, 0o600)
		}
	}
	switch {
	case o.err != nil:
		e.logf("the case could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitCannot
	case o.held:
		e.logf("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	e.logf("result: the rule was broken")
	fmt.Println("the rule was broken")
	return exitBroken
}

// killNodes ends all processes that the case has started.
func (e *environment) killNodes() {
	for _, n := range e.nodes {
		n.kill()
	}
}

// startNodes starts nodes of some zones and waits until all are ready. Each has an address of the store of its own.
func (e *environment) startNodes(s *store, zones []string, perZone []int) error {
	return e.startNodesAt(zones, perZone, s.listen)
}

// startNodesAt is startNodes with any store.
func (e *environment) startNodesAt(zones []string, perZone []int, storeAddress func() (string, error)) error {
	var seeds []string
	for z, zone := range zones {
		for i := range perZone[z] {
			address, err := storeAddress()
			if err != nil {
				return err
			}
			n, err := newNode(e, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, zones, address, seeds)
			if err != nil {
				return err
			}
			if len(seeds) < 3 {
				seeds = append(seeds, n.peers)
			}
			if err := n.start(); err != nil {
				return err
			}
			e.nodes = append(e.nodes, n)
		}
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range e.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(e.nodes) {
			e.logf("%d nodes are ready", ready)
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d nodes became ready", ready)
		}
	}
}
