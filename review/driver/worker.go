package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the platform's pages.
const (
	headerID        = "X-Attempt-Id"
	headerSignature = "X-Response-Signature"
	headerExpect    = "X-Expect-Instance"
	headerNotRun    = "X-Not-Executed"
	headerDeadline  = "X-Deadline-Ms"
	headerLastEvent = "Last-Event-Id"
)

// framing is how an answer shows where it ends.
type framing uint8

const (
	framedByLength framing = iota
	// framedByClose: the answer has neither a length nor chunks and ends with its connection.
	framedByClose
)

// answer is what a worker sends back for a request that it ran.
type answer struct {
	status  int
	body    []byte
	framing framing
	// stream is set for an answer that is a series of events.
	stream *stream
}

const (
	// silence is for how long a sound worker falls silent.
	silence = time.Second
	// runtimeBeforeSilence is how long the machines have run before the streams begin; a machine
	// repeats nothing from the budget's slack in its first window of 10 s.
	runtimeBeforeSilence = 12 * time.Second
)

// stream is what a worker sends back for a request of a streaming route: count events, one each pause.
type stream struct {
	count int
	pause time.Duration
}

// handler runs a request at a worker.
type handler func(w *worker, r *http.Request, body []byte) answer

// worker is a sound worker of the plain service.
type worker struct {
	e        *environment
	id       string
	zone     string
	address  string
	born     int64
	handle   handler
	listener net.Listener
	stopped  chan struct{}
	slots    int

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// running is the number of requests that the worker runs; it turns further ones than slots away.
	running int
	// silentUntil is when a worker that has fallen silent goes on.
	silentUntil time.Time
}

// heartbeat is the time between two writes of a worker's row.
const heartbeat = 1200 * time.Millisecond

func startWorker(e *environment, id, zone string, slots int, handle handler) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{e: e, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), handle: handle, slots: slots,
		listener: listener, stopped: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go w.accept()
	go w.heartbeats()
	return w, nil
}

func (w *worker) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		_ = w.e.store.write("servers", w.id, map[string]any{
			"backend": service, "address": w.address, "zone_name": w.zone, "generation_id": "v1", "capacity_slots": w.slots,
			"lifecycle": "available", "cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
		})
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = struct{}{}
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *worker) stop() {
	close(w.stopped)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// serve serves one connection, one request at a time.
func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.respond(conn, r, body) {
			return
		}
	}
}

// respond runs a request and reports whether the connection stays open.
func (w *worker) respond(conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", headerID, id, w.id)
		return err == nil
	}
	if !w.takeSlot() {
		w.e.record("turned away %s at %s", id, w.id)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return err == nil
	}
	defer w.freeSlot()
	w.e.record("run %s at %s: %s %s, %d bytes", id, w.id, r.Method, r.RequestURI, len(body))
	a := w.handle(w, r, body)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n", a.status, reason(a.status), headerID, id, headerSignature, w.signature(id))
	if a.stream != nil {
		return w.respondStream(conn, r, id, out.Bytes(), a.stream)
	}
	switch a.framing {
	case framedByLength:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(a.body))
		out.Write(a.body)
	case framedByClose:
		out.WriteString("Connection: close\r\n\r\n")
		out.Write(a.body)
	}
	if _, err := conn.Write(out.Bytes()); err != nil {
		return false
	}
	w.e.record("answered %s at %s: status %d, %d bytes", id, w.id, a.status, len(a.body))
	return a.framing != framedByClose
}

// takeSlot takes a slot for a request, and reports whether there was one.
func (w *worker) takeSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	return true
}

func (w *worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// signature is the X-Response-Signature of a worker's answer.
func (w *worker) signature(id string) string { return w.id + "." + id }

func reason(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "Status " + fmt.Sprint(status)
}

// eventOf returns one event of the stream that answers a request.
func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// fallSilent makes a worker send nothing for a time, after which it goes on with all that it runs.
func (w *worker) fallSilent(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(duration)
}

// awaitVoice waits until the worker is not silent.
func (w *worker) awaitVoice() {
	for {
		w.mu.Lock()
		until := w.silentUntil
		w.mu.Unlock()
		if time.Now().After(until) {
			return
		}
		time.Sleep(time.Until(until))
	}
}

// respondStream sends the events after the client's last one.
func (w *worker) respondStream(conn net.Conn, r *http.Request, id string, head []byte, s *stream) bool {
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	w.awaitVoice()
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		w.e.record("stream %s at %s was cut by its caller before its first event", id, w.id)
		return false
	}
	for n := last + 1; n <= s.count; n++ {
		time.Sleep(s.pause)
		w.awaitVoice()
		event := eventOf(id, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			w.e.record("stream %s at %s was cut by its caller at event %d", id, w.id, n)
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	w.e.record("stream %s at %s is complete", id, w.id)
	return err == nil
}
