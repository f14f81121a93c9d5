package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// entryTTL is how long after its last heartbeat the platform removes a worker's entry.
	entryTTL = 3 * heartbeat
	// workerSlots and workerQueue are those of the plain service of the small deployment.
	workerSlots = 6
	workerQueue = 24
)

// worker is a stand-in for a worker of a plain service. A crash ends its incarnation; the next one has another id and the
// same address.
type worker struct {
	e                            *environment
	store                        *store
	name, backend, zone, address string
	// work is how long a request takes.
	work time.Duration
	// crashes reports whether a request crashes the worker that begins to run it; nil means that none does.
	crashes func(*http.Request) bool
	// stream answers requests for streams; nil means that there are none.
	stream func(self string, out http.ResponseWriter, r *http.Request)
	// downFor is how long the worker is down after a crash.
	downFor time.Duration

	mu          sync.Mutex
	id          string
	incarnation int
	server      *http.Server
	conns       map[net.Conn]bool
	// slots and queue hold the requests that are worked on, and these with those that wait.
	slots, queue chan struct{}
	// header is added to all answers; namedAt is when an answer first had one.
	headerName, headerValue string
	namedAt                 time.Time
	// silentUntil is when a worker that fell silent goes on.
	silentUntil time.Time
	// received and started have the requests that have reached this worker, and that it has begun.
	received, started map[string]time.Time
}

// startWorker listens, and keeps the worker's entry in the store.
func startWorker(e *environment, s *store, name, backend, zone string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{e: e, store: s, name: name, backend: backend, zone: zone, address: listener.Addr().String(), work: work, received: map[string]time.Time{}, started: map[string]time.Time{}}
	w.begin(listener)
	return w, nil
}

// begin starts an incarnation.
func (w *worker) begin(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.id = fmt.Sprintf("%s-%d", w.name, w.incarnation)
	w.conns = map[net.Conn]bool{}
	w.slots, w.queue = make(chan struct{}, workerSlots), make(chan struct{}, workerSlots+workerQueue)
	id := w.id
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serve(id, out, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.conns[c] = state != http.StateClosed && state != http.StateHijacked
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.heartbeats(id)
	w.e.logf("worker %s of %s listens", id, w.backend)
}

func (w *worker) isCurrent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id == id
}

// heartbeats writes the entry of an incarnation, and has it removed some time after the last one.
func (w *worker) heartbeats(id string) {
	for sequence := 1; w.isCurrent(id); sequence++ {
		w.store.put("servers", id, map[string]any{
			"backend": w.backend, "address": w.address, "zone_name": w.zone, "generation_id": "v1",
			"capacity_slots": workerSlots, "lifecycle": "available", "cold_remaining_ms": 0, "sequence": sequence,
		})
		time.Sleep(heartbeat)
	}
	time.Sleep(entryTTL - heartbeat)
	w.store.remove("servers", id)
}

// crash ends the incarnation as the end of its process does: connections are reset, and nothing listens. The worker is back
// later.
func (w *worker) crash(id string) {
	w.mu.Lock()
	if w.id != id {
		w.mu.Unlock()
		return
	}
	w.id = ""
	server := w.server
	for c, open := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok && open {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(w.downFor)
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			w.e.logf("worker %s cannot listen again: %v", w.name, err)
			return
		}
		w.begin(listener)
	}()
}

func (w *worker) note(times map[string]time.Time, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	times[id] = time.Now()
}

// at returns when something happened to a request, or the zero time.
func (w *worker) at(times map[string]time.Time, id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return times[id]
}

// setHeader has all answers carry a header, or none if the value is empty.
func (w *worker) setHeader(name, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.headerName, w.headerValue = name, value
}

func (w *worker) firstNamed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.namedAt
}

// receivedAt returns when the requests arrived.
func (w *worker) receivedAt() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.received))
}

// nameHeader adds the header to an answer.
func (w *worker) nameHeader(out http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.headerValue == "" {
		return
	}
	out.Header().Set(w.headerName, w.headerValue)
	if w.namedAt.IsZero() {
		w.namedAt = time.Now()
	}
}

// fallSilent makes the worker do nothing for a time, after which it goes on.
func (w *worker) fallSilent(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(duration)
}

// awaitVoice waits until the worker is not silent.
func (w *worker) awaitVoice() {
	w.mu.Lock()
	until := w.silentUntil
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (w *worker) serve(self string, out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != self {
		out.Header().Set("X-Instance-Id", self)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	switch {
	case r.URL.Path == "/healthz":
		out.Header().Set("X-Instance-Id", self)
		return
	case id == "":
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.note(w.received, id)
	w.awaitVoice()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.nameHeader(out)
	out.Header().Set("X-Attempt-Id", id)
	if !w.enter(r.Context()) {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	w.note(w.started, id)
	if w.crashes != nil && w.crashes(r) {
		w.e.logf("worker %s begins to run %s and crashes", self, id)
		w.crash(self)
		panic(http.ErrAbortHandler)
	}
	if w.stream != nil && strings.HasPrefix(r.URL.Path, streamPath) {
		w.stream(self, out, r)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("X-Response-Signature", "sig."+self+"."+id)
	_, _ = fmt.Fprintf(out, "%s %s %d", r.Method, r.URL.RequestURI(), size)
}

// enter waits for a slot. It returns false if the queue is full.
func (w *worker) enter(ctx context.Context) bool {
	select {
	case w.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		<-w.queue
		return false
	}
}

func (w *worker) leave() {
	<-w.slots
	<-w.queue
}
