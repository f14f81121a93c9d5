package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["7"] = caseBodies }

const (
	// bodyBytes is the largest body that the configuration of the small deployment allows.
	bodyBytes = 4194304
	// skewedShare is the part of the clients whose connections the platform hands to one node during the disruption.
	skewedShare = 0.8
	// spread is the time within which all clients begin to send.
	spread = 500 * time.Millisecond
	// silence is how long the workers, which are sound, are silent meanwhile.
	silence = time.Second
	// lostBound is the number of lost requests from which the rule is broken.
	lostBound = 3
)

// caseBodies has the clients of the deployment send requests with long bodies, on connections that have carried a request
// before, while the workers are silent for a second. With the disruption, the platform has handed most of the connections to one node.
func caseBodies(e *environment) (bool, error) {
	s := newStore()
	s.put("op", "config", plainConfiguration(1, "wuno96b", 4000))
	var workers []*worker
	for _, zone := range zoneNames {
		w, err := startWorker(e, s, "i-"+zone, "wuno96b", zone, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := e.startNodes(s, zoneNames, zoneNodes); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	conns, err := e.openConnections()
	if err != nil {
		return false, err
	}
	e.logf("%d clients have a connection that was used", len(conns))
	stop := make(chan struct{})
	go e.endAboveMemory(stop)
	defer close(stop)
	for _, w := range workers {
		w.fallSilent(silence)
	}
	e.logf("the workers are silent for %s", silence)
	answers := e.sendLong(conns)
	time.Sleep(200 * time.Millisecond)
	closed, lost := 0, 0
	for i, a := range answers {
		passedOn := false
		for _, w := range workers {
			passedOn = passedOn || !w.at(w.received, longID(i)).IsZero()
		}
		if a.closed {
			closed++
		}
		if a.closed && passedOn {
			lost++
		}
	}
	for _, n := range e.nodes {
		_, peak := n.residentMB()
		e.logf("%s: running %v, peak of its memory %d MB of %d", n.name, n.isRunning(), peak, memoryMB)
	}
	e.logf("%d connections closed without an answer, %d of them after the request was passed on to a sound worker (bound: %d)", closed, lost, lostBound)
	return lost <= lostBound, nil
}

// openConnections opens a connection for each client and has it carry a request.
func (e *environment) openConnections() ([]*conn, error) {
	var conns []*conn
	first := 0
	for z, zone := range zoneNames {
		for i := range zoneClients[z] {
			n := e.nodes[first+i%zoneNodes[z]]
			if e.trouble && float64(i) < skewedShare*float64(zoneClients[z]) {
				n = e.nodes[0]
			}
			c, err := dial(n.frontend)
			if err != nil {
				return nil, err
			}
			id := fmt.Sprintf("first-%s-%d", zone, i)
			if err := c.send("GET", "/cufi504/2f", id, 4*time.Second, nil); err != nil {
				return nil, err
			}
			if a := c.receive("GET"); a.status != 200 {
				return nil, fmt.Errorf("%s got %d, %v", id, a.status, a.err)
			}
			conns = append(conns, c)
		}
		first += zoneNodes[z]
	}
	return conns, nil
}

func longID(i int) string { return fmt.Sprintf("long-%d", i) }

// sendLong sends a request with a long body on each connection.
func (e *environment) sendLong(conns []*conn) []answer {
	body := make([]byte, bodyBytes)
	answers := make([]answer, len(conns))
	var sending sync.WaitGroup
	for i, c := range conns {
		sending.Go(func() {
			time.Sleep(rand.N(spread))
			a := answer{closed: true}
			if a.err = c.send("POST", "/puxa403/2f", longID(i), 4*time.Second, body); a.err == nil {
				a = c.receive("POST")
			}
			answers[i] = a
			e.logf("%s: status %d, signed %v, closed %v, error %v", longID(i), a.status, a.signed, a.closed, a.err)
		})
	}
	sending.Wait()
	return answers
}

// endAboveMemory ends nodes whose memory is over the limit, as the platform does.
func (e *environment) endAboveMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for _, n := range e.nodes {
			if now, _ := n.residentMB(); n.isRunning() && now > memoryMB {
				e.logf("%s takes %d MB, over its limit of %d: ended by the platform", n.name, now, memoryMB)
				n.kill()
			}
		}
	}
}
