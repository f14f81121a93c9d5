package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ Table, Part, Key string }

// storeRow is the wire format of a row.
type storeRow struct {
	Table   string `json:"lookup"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"schema_version"`
	Expired bool   `json:"expired,omitempty"`
}

func (r storeRow) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store.
type store struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]storeRow
	version uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]storeRow{}, changed: make(chan struct{})}
}

// listen serves the store on a free loopback port and returns its address.
func (s *store) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// put writes a row without conditions, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Data: data}}, nil)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key}})
}

// apply writes and removes rows under one version; the caller holds the lock.
func (s *store) apply(writes, removals []storeRow) {
	s.version++
	for _, r := range writes {
		r.Version, r.Expired = s.version, false
		s.rows[r.key()] = r
	}
	for _, r := range removals {
		if known, ok := s.rows[r.key()]; ok && !known.Expired {
			s.rows[r.key()] = storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Expired: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type storePage struct {
	Rows      []storeRow `json:"rows"`
	Truncated bool       `json:"truncated"`
	Version   uint64     `json:"schema_version"`
	Now       int64      `json:"timestamp_ms"`
}

func (s *store) respond(w http.ResponseWriter, status int, page storePage) {
	if page.Rows == nil {
		page.Rows = []storeRow{}
	}
	page.Now = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("max_items")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	page := storePage{Version: s.version}
	for key, row := range s.rows {
		if row.Expired || key.Table != q.Get("lookup") || key.Part != q.Get("part") || key.Key < q.Get("source") {
			continue
		}
		if until := q.Get("target_version"); until != "" && key.Key >= until {
			continue
		}
		page.Rows = append(page.Rows, row)
	}
	s.mu.Unlock()
	slices.SortFunc(page.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Rows) > limit {
		page.Rows, page.Truncated = page.Rows[:limit], true
	}
	s.respond(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_timeout_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, changed := s.changesSince(q.Get("lookup"), since)
		if len(page.Rows) > 0 {
			s.respond(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.respond(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesSince(table string, since uint64) (storePage, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storePage{Version: s.version}
	for key, row := range s.rows {
		if key.Table == table && row.Version > since {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b storeRow) int { return int(a.Version) - int(b.Version) })
	return page, s.changed
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []storeRow `json:"expected_revision"`
		Writes     []storeRow `json:"write"`
		Removals   []storeRow `json:"removals"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var page storePage
	met := true
	for _, c := range t.Conditions {
		current := s.rows[c.key()]
		version := current.Version
		if current.Expired {
			version = 0
		}
		met = met && version == c.Version
		page.Rows = append(page.Rows, storeRow{Table: c.Table, Part: c.Part, Key: c.Key, Data: current.Data, Version: version})
	}
	if met {
		s.apply(t.Writes, t.Removals)
		page.Rows = nil
	}
	page.Version = s.version
	s.mu.Unlock()
	status := http.StatusOK
	if !met {
		status = http.StatusPreconditionFailed
	}
	s.respond(w, status, page)
}
