// Package platformstandin is an in-memory stand-in for the platform's table and instance list,
// for `ridgehinged dev` and for tests.
//
// It can inject faults: unavailability, latency, responses lost after a commit, and limits on
// writes and reads per second.
package platformstandin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Faults are the injected faults.
type Faults struct {
	// Down fails every call before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers is the number of commits that fail after taking effect.
	LoseAnswers int `json:"lose_answers"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means unlimited.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// Server is the stand-in. Use New to create one.
type Server struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	version   uint64
	instances map[fleet.InstanceID]fleet.Instance
	// listed is the version of the instance list.
	listVersion   uint64
	faults        Faults
	currentSecond int64
	writes        int
	reads         int
	total         Counts
}

// Counts holds the numbers of calls received.
type Counts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
}

// New returns an empty stand-in.
func New() *Server {
	return &Server{rows: map[string]platform.Row{}, instances: map[fleet.InstanceID]fleet.Instance{}, listVersion: 1}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the numbers of calls received.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Rows returns a copy of the rows with a prefix, sorted by key.
func (s *Server) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scan(prefix)
}

// PutInstance adds or replaces an instance in the list.
func (s *Server) PutInstance(in fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[in.ID] = in
	s.listVersion++
}

// RemoveInstance removes an instance from the list.
func (s *Server) RemoveInstance(id fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
	s.listVersion++
}

// Handler returns the stand-in's HTTP interface, including the controls under /standin/ for
// when it runs as a separate process.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathGet, s.read(s.handleGet))
	mux.HandleFunc("POST "+platform.PathScan, s.read(s.handleScan))
	mux.HandleFunc("POST "+platform.PathInstances, s.read(s.handleInstances))
	mux.HandleFunc("POST "+platform.PathCommit, s.handleCommit)
	mux.HandleFunc("POST /standin/faults", s.handleFaults)
	mux.HandleFunc("POST /standin/instance", s.handlePutInstance)
	mux.HandleFunc("POST /standin/rows", s.handleRows)
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// admit applies the faults that precede a call's effect and reports whether to execute the
// call.
func (s *Server) admit(w http.ResponseWriter, write bool) bool {
	s.mu.Lock()
	faults := s.faults
	over := s.overLimit(write)
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	if over {
		http.Error(w, "call rate exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) overLimit(write bool) bool {
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
		s.total.Commits++
		return s.faults.WritesPerSecond > 0 && s.writes > s.faults.WritesPerSecond
	}
	s.reads++
	s.total.Reads++
	return s.faults.ReadsPerSecond > 0 && s.reads > s.faults.ReadsPerSecond
}

func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.admit(w, false) {
			next(w, r)
		}
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	var request platform.GetRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	var response platform.RowsResponse
	for _, key := range request.Keys {
		response.Rows = append(response.Rows, s.row(key))
	}
	s.mu.Unlock()
	encode(w, response)
}

func (s *Server) row(key string) platform.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return platform.Row{Key: key}
}

func (s *Server) handleScan(w http.ResponseWriter, r *http.Request) {
	var request platform.ScanRequest
	if !decode(w, r, &request) {
		return
	}
	encode(w, platform.RowsResponse{Rows: s.Rows(request.Prefix)})
}

func (s *Server) scan(prefix string) []platform.Row {
	rows := []platform.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	var request platform.InstancesRequest
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	response := platform.InstancesResponse{Version: s.listVersion}
	for _, in := range s.instances {
		wanted := request.DataCentre == "" || in.DataCentre == request.DataCentre || in.Kind == fleet.KindEntry
		if request.Version == s.listVersion || !wanted {
			continue
		}
		response.Instances = append(response.Instances, in)
	}
	s.mu.Unlock()
	sort.Slice(response.Instances, func(i, j int) bool {
		return response.Instances[i].ID < response.Instances[j].ID
	})
	encode(w, response)
}

func (s *Server) handleCommit(w http.ResponseWriter, r *http.Request) {
	var request platform.CommitRequest
	if !decode(w, r, &request) || !s.admit(w, true) {
		return
	}
	s.mu.Lock()
	response := s.commit(request)
	lose := response.Committed && s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		http.Error(w, "response lost after commit", http.StatusGatewayTimeout)
		return
	}
	encode(w, response)
}

func (s *Server) commit(request platform.CommitRequest) platform.CommitResponse {
	var response platform.CommitResponse
	for _, c := range request.Conditions {
		if row := s.row(c.Key); row.Version != c.Version {
			response.Failed = append(response.Failed, row)
		}
	}
	if len(response.Failed) > 0 {
		return response
	}
	s.version++
	for _, put := range request.Puts {
		s.rows[put.Key] = platform.Row{Key: put.Key, Version: s.version, Value: put.Value}
	}
	for _, key := range request.Deletes {
		delete(s.rows, key)
	}
	return platform.CommitResponse{Committed: true, Version: s.version}
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
		encode(w, faults)
	}
}

func (s *Server) handlePutInstance(w http.ResponseWriter, r *http.Request) {
	var in fleet.Instance
	if decode(w, r, &in) {
		s.PutInstance(in)
		encode(w, in)
	}
}

func (s *Server) handleRows(w http.ResponseWriter, r *http.Request) {
	var request platform.ScanRequest
	if decode(w, r, &request) {
		encode(w, platform.RowsResponse{Rows: s.Rows(request.Prefix)})
	}
}
