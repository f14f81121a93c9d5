// Package enginestandin is a stand-in for one endpoint, a model engine or a plain service, for
// `ridgehinged dev` and for tests.
//
// A model engine has slots, a latency per token, a bounded prefix cache, priorities and fenced
// orders, and reports its load with a lag. Its response depends on the prompt alone, so that
// tests can compare complete responses.
package enginestandin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Options of a Server.
type Options struct {
	Instance    fleet.InstanceID
	Incarnation uint64
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Prefill is the latency of the first token without a cached prefix.
	Prefill time.Duration
	// TokenTime is the latency of each further token and of a plain service's response.
	TokenTime time.Duration
	// LoadTime is the time to load weights.
	LoadTime time.Duration
	// ReportLag is the delay after which a change of load appears in reports.
	ReportLag time.Duration
	// ChecksFences makes the endpoint reject orders with a lower fence and requests for
	// another group or generation.
	ChecksFences bool
	// Tokens is the default response length.
	Tokens int
}

// DefaultOptions returns the options of a small and fast engine.
func DefaultOptions(id fleet.InstanceID, incarnation uint64) Options {
	return Options{
		Instance:     id,
		Incarnation:  incarnation,
		Slots:        16,
		Prefill:      20 * time.Millisecond,
		TokenTime:    5 * time.Millisecond,
		LoadTime:     200 * time.Millisecond,
		ReportLag:    500 * time.Millisecond,
		ChecksFences: true,
		Tokens:       16,
	}
}

// maxPrefixes is the size of the prefix cache.
const maxPrefixes = 64

// Server is one endpoint.
type Server struct {
	options Options

	mu         sync.Mutex
	report     fleet.Report
	fence      fleet.Fence
	load       int
	slots      *slots
	cached     map[uint64]bool
	cacheOrder []uint64
	// runs counts started requests by attempt ID and by idempotency key.
	runs      map[string]int
	cancels   map[string]chan struct{}
	loadTimer *time.Timer
}

// New returns an idle endpoint.
func New(options Options) *Server {
	return &Server{
		options: options,
		report: fleet.Report{
			Instance:    options.Instance,
			Incarnation: options.Incarnation,
			Version:     1,
			Slots:       options.Slots,
		},
		slots:   newSlots(options.Slots),
		cached:  map[uint64]bool{},
		runs:    map[string]int{},
		cancels: map[string]chan struct{}{},
	}
}

// Handler returns the endpoint's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathStatus, s.handleStatus)
	mux.HandleFunc("POST "+engine.PathOrders, s.handleOrder)
	mux.HandleFunc("POST "+engine.PathChat, s.handleChat)
	mux.HandleFunc("POST "+engine.PathCancel, s.handleCancel)
	mux.HandleFunc("POST /standin/leave", s.handleLeave)
	mux.HandleFunc("GET /standin/runs", s.handleRuns)
	mux.HandleFunc("/", s.handlePlain)
	return mux
}

// change updates the report and increments its version if f modifies it.
func (s *Server) change(f func(*fleet.Report)) {
	before := s.report
	f(&s.report)
	if s.report != before {
		s.report.Version++
	}
}

// Runs returns the number of started requests with an attempt ID or idempotency key.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Report returns the endpoint's current report.
func (s *Server) Report() fleet.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	report := s.Report()
	tag := fmt.Sprintf(`"%x-%d"`, report.Incarnation, report.Version)
	w.Header()["Date"] = nil
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (s *Server) handleLeave(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(func(r *fleet.Report) { r.Draining = true })
}

func (s *Server) handleRuns(w http.ResponseWriter, r *http.Request) {
	fmt.Fprint(w, s.Runs(r.URL.Query().Get("mark")))
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wrong := o.Incarnation != s.options.Incarnation
	if wrong || s.options.ChecksFences && o.Fence.Less(s.fence) {
		http.Error(w, "stale fence or incarnation", http.StatusConflict)
		return
	}
	s.fence = o.Fence
	s.applyOrder(o)
}

func (s *Server) applyOrder(o engine.Order) {
	switch o.Kind {
	case engine.OrderRelease:
		s.stopLoadTimer()
		s.change(func(r *fleet.Report) {
			r.Phase = fleet.PhaseIdle
			r.Group = ""
			r.Generation = 0
		})
	case engine.OrderLoad, engine.OrderPreload:
		same := s.report.Group == o.Group && s.report.Generation == o.Fence.Generation
		if o.Kind == engine.OrderLoad && same && s.report.Phase != fleet.PhaseIdle {
			return
		}
		s.startLoad(o)
	}
}

func (s *Server) stopLoadTimer() {
	if s.loadTimer != nil {
		s.loadTimer.Stop()
	}
}

// startLoad starts loading the weights; it completes without delay if they are loaded already.
func (s *Server) startLoad(o engine.Order) {
	s.stopLoadTimer()
	wait := s.options.LoadTime
	if s.report.Weights == o.Weights {
		wait = 0
	}
	s.change(func(r *fleet.Report) {
		r.Phase = fleet.PhaseLoading
		r.Group = o.Group
		r.Generation = o.Fence.Generation
		if o.Group == "" {
			r.Generation = 0
		}
	})
	fence := o.Fence
	s.loadTimer = time.AfterFunc(wait, func() { s.finishLoad(o, fence) })
}

func (s *Server) finishLoad(o engine.Order, fence fleet.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence != fence || s.report.Phase != fleet.PhaseLoading {
		return
	}
	s.change(func(r *fleet.Report) {
		r.Weights = o.Weights
		r.Phase = fleet.PhaseReady
		if o.Group == "" {
			r.Phase = fleet.PhaseIdle
		}
	})
}

// addLoad changes the load and updates the report after ReportLag.
func (s *Server) addLoad(n int) {
	s.mu.Lock()
	s.load += n
	s.mu.Unlock()
	time.AfterFunc(s.options.ReportLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.change(func(r *fleet.Report) { r.Load = s.load })
	})
}

// matchesFence reports whether a request names the group and generation that the endpoint is
// ready in. It is always true without ChecksFences.
func (s *Server) matchesFence(r *http.Request) bool {
	if !s.options.ChecksFences {
		return true
	}
	generation, _ := strconv.ParseUint(r.Header.Get(engine.HeaderGeneration), 10, 64)
	report := s.Report()
	return report.Phase == fleet.PhaseReady &&
		string(report.Group) == r.Header.Get(engine.HeaderGroup) &&
		report.Generation == generation
}

func notStarted(w http.ResponseWriter, text string) {
	w.Header().Set(engine.HeaderNotStarted, "true")
	http.Error(w, text, http.StatusServiceUnavailable)
}

// ChatRequest holds the fields of a chat request that the stand-in uses.
type ChatRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Prompt returns the messages joined into one text.
func (q ChatRequest) Prompt() string {
	prompt := ""
	for _, m := range q.Messages {
		prompt += m.Role + ":" + m.Content + "\n"
	}
	return prompt
}

// words is the vocabulary of responses.
var words = []string{"the", "transfer", "box", "arrived", "on", "time", "grind", "and", "balance", "is", "safe", "today"}

// Answer returns the text of the response to a prompt with the given number of tokens.
func Answer(prompt string, tokens int) string {
	text := ""
	for i := range tokens {
		text += Token(prompt, i)
	}
	return text
}

// Token returns the token at index i of the response to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", prompt, i)
	return words[h.Sum64()%uint64(len(words))] + " "
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	var q ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.matchesFence(r) {
		notStarted(w, "wrong group or generation")
		return
	}
	attempt := r.Header.Get(engine.HeaderAttempt)
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	cancelled := s.register(attempt)
	defer s.unregister(attempt)
	s.addLoad(1)
	defer s.addLoad(-1)
	if !s.slots.acquire(r.Context().Done(), cancelled, priority) {
		return
	}
	defer s.slots.release()
	s.count(attempt)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.count(key)
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = s.options.Tokens
	}
	from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
	s.stream(w, r, q, attempt, from, cancelled)
}

func (s *Server) register(attempt string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := make(chan struct{})
	s.cancels[attempt] = cancelled
	return cancelled
}

func (s *Server) unregister(attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, attempt)
}

func (s *Server) count(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

func (s *Server) handleCancel(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := r.URL.Query().Get("attempt")
	if cancelled, ok := s.cancels[attempt]; ok {
		close(cancelled)
		delete(s.cancels, attempt)
	}
}

// prefill returns the latency of the first token and caches the prefix.
func (s *Server) prefill(prompt string) time.Duration {
	h := fnv.New64a()
	fmt.Fprint(h, prompt[:min(len(prompt), 64)])
	key := h.Sum64()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached[key] {
		return s.options.Prefill / 4
	}
	s.cached[key] = true
	s.cacheOrder = append(s.cacheOrder, key)
	if len(s.cacheOrder) > maxPrefixes {
		delete(s.cached, s.cacheOrder[0])
		s.cacheOrder = s.cacheOrder[1:]
	}
	return s.options.Prefill
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, q ChatRequest, attempt string, from int, cancelled chan struct{}) {
	prompt := q.Prompt()
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	wait := s.prefill(prompt)
	next := time.Now()
	for i := from; i < q.MaxTokens; i++ {
		next = next.Add(wait)
		if !sleepUntil(r.Context().Done(), cancelled, next) {
			return
		}
		wait = s.options.TokenTime
		text, _ := json.Marshal(Token(prompt, i))
		writeChunk(w, attempt, q.Model, i, text, nil)
		flusher.Flush()
	}
	finish := "stop"
	writeChunk(w, attempt, q.Model, q.MaxTokens, nil, &finish)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w http.ResponseWriter, attempt, model string, token int, text json.RawMessage, finish *string) {
	chunk := engine.Chunk{
		ID:      attempt,
		Object:  "chat.completion.chunk",
		Model:   model,
		Token:   token,
		Choices: []engine.ChunkChoice{{Delta: engine.Delta{Content: text}, FinishReason: finish}},
	}
	data, _ := json.Marshal(chunk)
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func sleepUntil(done <-chan struct{}, cancelled chan struct{}, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
	case <-cancelled:
	}
	return false
}

// handlePlain serves all other paths as a plain service. It counts runs by idempotency key or
// else by attempt ID.
func (s *Server) handlePlain(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get(engine.HeaderAttempt)
	}
	s.count(key)
	time.Sleep(s.options.TokenTime)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"service":%q,"path":%q,"method":%q}`+"\n", s.options.Instance, r.URL.Path, r.Method)
}
