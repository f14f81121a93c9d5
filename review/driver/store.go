package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"lookup"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"data"`
	Version uint64 `json:"schema_version"`
	Expired bool   `json:"expired,omitempty"`
}

// page is the answer to calls about rows.
type page struct {
	Rows      []row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Version   uint64 `json:"schema_version"`
	Now       int64  `json:"timestamp_ms"`
}

// store is the platform's metadata store.
type store struct {
	address string
	server  *http.Server
	started time.Time

	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	version uint64
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.commit)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes rows in one transaction; an expired row is removed. The caller holds the lock.
func (s *store) put(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		id := [3]string{r.Table, r.Part, r.Key}
		if r.Expired {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes one row as the operator or a worker does.
func (s *store) write(table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put([]row{{Table: table, Key: key, Value: text}})
	return nil
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	p.Now = time.Since(s.started).Milliseconds()
	if p.Rows == nil {
		p.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := page{Version: s.version}
	for _, candidate := range s.rows {
		if candidate.Table == q.Get("lookup") && candidate.Part == q.Get("part") && candidate.Key >= q.Get("source") {
			p.Rows = append(p.Rows, candidate)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_timeout_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		p := page{Version: s.version}
		for _, change := range s.history {
			if change.Table == q.Get("lookup") && change.Version > since {
				p.Rows = append(p.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 || ctx.Err() != nil {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"expected_revision"`
		Writes     []row `json:"write"`
		Removals   []row `json:"removals"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	held := true
	var current []row
	for _, c := range t.Conditions {
		now := s.rows[[3]string{c.Table, c.Part, c.Key}]
		held = held && now.Version == c.Version
		now.Table, now.Part, now.Key = c.Table, c.Part, c.Key
		current = append(current, now)
	}
	if held {
		for i := range t.Removals {
			t.Removals[i].Expired = true
		}
		s.put(append(t.Writes, t.Removals...))
	}
	version := s.version
	s.mu.Unlock()
	if !held {
		s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Version: version})
		return
	}
	s.answer(w, http.StatusOK, page{Version: version})
}

// route is a route of the configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"hostname"`
	Prefix    string `json:"path_prefix"`
	Kind      string `json:"route_type"`
	Timeout   int    `json:"timeout_ms"`
	Target    int    `json:"target_latency_ms"`
	Priority  int    `json:"priority_level"`
	Service   string `json:"backend"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Affinity  bool   `json:"session_affinity"`
	Resumable bool   `json:"stream_resume"`
	GapMillis int    `json:"target_gap_ms,omitempty"`
}

// Deadlines of clients: those of order-page and of tasting-notes.
const (
	shopDeadline   = 4 * time.Second
	streamDeadline = 8 * time.Second
)

// shopRoute returns a route to the shop service with the figures of tostared.
func shopRoute(name, kind string) route {
	return route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Timeout: int(shopDeadline.Milliseconds()), Target: 300, Priority: 2, Service: service, Attempts: 2}
}

// letterRoute returns a route with streams that may be resumed.
func letterRoute() route {
	letter := shopRoute("weekly-letter", "streaming")
	letter.Resumable, letter.Timeout, letter.GapMillis = true, int(streamDeadline.Milliseconds()), 300
	return letter
}

// putConfiguration writes the operator's configuration.
func (s *store) putConfiguration(version uint64, routes []route) error {
	return s.write("op", "config", map[string]any{
		"generation_id": version,
		"routes":        routes,
		"backends":      []any{map[string]any{"name": service, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls_enabled": false}},
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":       []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority_level": 1}},
	})
}
