// Package platformstandin plays the platform's table and instance list in
// memory, for `ridgehinged dev` and for tests.
//
// Its faults can be switched: down, slow, an answer lost after the write took
// effect, and a limit on writes and reads a second.
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

// Faults is what is wrong with the stand-in now.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers makes this many commits take effect and then fail.
	LoseAnswers int `json:"lose_answers"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 is no limit.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// Server is the stand-in. Its zero value is not ready; call New.
type Server struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	version   uint64
	instances map[fleet.InstanceID]fleet.Instance
	// listed is the version of the instance list.
	listed uint64
	faults Faults
	second int64
	writes int
	reads  int
	total  Counts
}

// Counts is how many calls the stand-in has served.
type Counts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
}

// New returns an empty stand-in.
func New() *Server {
	return &Server{rows: map[string]platform.Row{}, instances: map[fleet.InstanceID]fleet.Instance{}, listed: 1}
}

// SetFaults switches the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of calls served.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Rows returns a copy of the rows with a prefix, by key.
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
	s.listed++
}

// RemoveInstance takes an instance off the list.
func (s *Server) RemoveInstance(id fleet.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
	s.listed++
}

// Handler returns the stand-in's HTTP interface, with the switches under
// /standin/ for when it runs as a process of its own.
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

// enter applies the faults that come before a call's effect.
func (s *Server) enter(w http.ResponseWriter, write bool) bool {
	s.mu.Lock()
	faults := s.faults
	over := s.overLimit(write)
	s.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if over {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) overLimit(write bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
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
		if s.enter(w, false) {
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
	response := platform.InstancesResponse{Version: s.listed}
	for _, in := range s.instances {
		wanted := request.DataCentre == "" || in.DataCentre == request.DataCentre || in.Kind == fleet.KindEntry
		if request.Version == s.listed || !wanted {
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
	if !decode(w, r, &request) || !s.enter(w, true) {
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
		http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
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
