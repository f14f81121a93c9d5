package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["4"] = caseUnframed }

const (
	// streamEvents and eventGap are the events of each stream, and the time between two.
	streamEvents = 10
	eventGap     = 30 * time.Millisecond
	// streamsFor is how long streams are begun, one every betweenSends.
	streamsFor = 20 * time.Second
	streamPath = "/lohu930/"
)

// caseUnframed has clients get streams from workers of which half give answers with neither a length nor chunks, all of them
// whole. Without the disruption all have chunks.
func caseUnframed(e *environment) (bool, error) {
	s := newStore()
	s.put("op", "config", streamConfiguration(1, "wuno96b"))
	written := &streamLog{whole: map[string]bool{}}
	for _, zone := range zoneNames {
		for i := range 2 {
			w, err := startWorker(e, s, fmt.Sprintf("i-%s-%d", zone, i+1), "wuno96b", zone, 15*time.Millisecond)
			if err != nil {
				return false, err
			}
			chunked := !e.trouble || i == 0
			w.stream = func(self string, out http.ResponseWriter, r *http.Request) { written.send(chunked, self, out, r) }
		}
	}
	if err := e.startNodes(s, zoneNames, []int{1, 1, 1}); err != nil {
		return false, err
	}
	// The traffic of the small deployment starts ten seconds after its machines.
	time.Sleep(10 * time.Second)
	var running sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	lost := 0
	ticker := time.NewTicker(betweenSends)
	defer ticker.Stop()
	began := time.Now()
	for i := 0; time.Since(began) < streamsFor; i++ {
		<-ticker.C
		running.Go(func() {
			n := e.nodes[i%len(e.nodes)]
			id := fmt.Sprintf("stream-%d", i)
			result := getStream(n, id)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
			if strings.HasPrefix(result, cutOff) && written.isWhole(id) {
				lost++
			}
			e.logf("%s at %s: %s; written whole by a worker: %v", id, n.name, result, written.isWhole(id))
		})
	}
	running.Wait()
	for result, count := range results {
		e.logf("%d streams: %s", count, result)
	}
	e.logf("%d connections closed without a complete answer although a sound worker had written it whole (bound: %d)", lost, lostBound)
	return lost <= lostBound, nil
}

// streamConfiguration has a route for streams beside those of plainConfiguration.
func streamConfiguration(version int, backend string) map[string]any {
	c := plainConfiguration(version, backend, 4000)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "letters", "hostname": clientHost, "path_prefix": streamPath, "route_type": "streaming", "timeout_ms": 5000,
		"target_latency_ms": 400, "target_gap_ms": 300, "priority_level": 1, "backend": backend, "max_attempts": 2,
		"public": false, "stream_resume": true,
	})
	return c
}

// streamLog has the streams that a worker has written whole.
type streamLog struct {
	mu    sync.Mutex
	whole map[string]bool
}

func (l *streamLog) isWhole(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole[id]
}

// send answers with the events after Last-Event-Id, in chunks or ended by the connection alone.
func (l *streamLog) send(chunked bool, self string, out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	write := func(text string) error {
		_, err := io.WriteString(out, text)
		out.(http.Flusher).Flush()
		return err
	}
	if chunked {
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("X-Response-Signature", "sig."+self+"."+id)
	} else {
		conn, buffer, err := out.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		write = func(text string) error { return writeFlushed(buffer.Writer, text) }
		_ = write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: sig.%s.%s\r\nConnection: close\r\n\r\n", id, self, id))
	}
	for event := last + 1; event <= streamEvents; event++ {
		time.Sleep(eventGap)
		if write(fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)) != nil {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole[id] = true
}

func writeFlushed(w *bufio.Writer, text string) error {
	if _, err := w.WriteString(text); err != nil {
		return err
	}
	return w.Flush()
}

// cutOff begins the results of streams whose connection closed without a complete answer.
const cutOff = "cut off"

// getStream gets a stream on a connection that has carried a request before, and tells what came.
func getStream(n *node, id string) string {
	c, err := dial(n.frontend)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	if c.send("GET", "/cufi504/2f", "before-"+id, 4*time.Second, nil) != nil || c.receive("GET").status != http.StatusOK {
		return "no answer to the request before"
	}
	if err := c.send("POST", streamPath+"2f", id, 5*time.Second, nil); err != nil {
		return "not sent"
	}
	a := c.receive("POST")
	switch {
	case a.closed:
		return fmt.Sprintf("%s after %d of %d events", cutOff, strings.Count(a.body, "\n\n"), streamEvents)
	case a.err != nil:
		return "no answer in time"
	case a.status != http.StatusOK:
		return fmt.Sprintf("status %d", a.status)
	}
	return fmt.Sprintf("whole, with %d of %d events", strings.Count(a.body, "\n\n"), streamEvents)
}
