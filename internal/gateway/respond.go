package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
)

// Headers towards callers.
const (
	HeaderRequestID  = "Ridgehinge-Request-Id"
	HeaderOutcome    = "Ridgehinge-Outcome"
	HeaderTimeout    = "Ridgehinge-Timeout-Ms"
	HeaderDeadline   = "Ridgehinge-Deadline"
	HeaderPriority   = "Ridgehinge-Priority"
	HeaderRepeatable = "Ridgehinge-Repeatable"
	HeaderKey        = "Idempotency-Key"
	// HeaderRetryOf names the refused request that a request returns from.
	HeaderRetryOf = "Ridgehinge-Retry-Of"
)

// Outcome says whether a request that got an error has run.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun: no endpoint started the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan: an endpoint ran it.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown: it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeServed is for metrics: the caller has the whole answer.
	OutcomeServed Outcome = "served"
	// OutcomeClientGone is for metrics: the client disconnected.
	OutcomeClientGone Outcome = "gone"
)

// failure is an error answer.
type failure struct {
	status     int
	kind       string
	message    string
	outcome    Outcome
	retryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message      string  `json:"message"`
	Type         string  `json:"type"`
	Outcome      Outcome `json:"outcome"`
	RequestID    string  `json:"request_id"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
}

func (f failure) body(id string) []byte {
	detail := errorDetail{
		Message:      f.message,
		Type:         f.kind,
		Outcome:      f.outcome,
		RequestID:    id,
		RetryAfterMS: f.retryAfter.Milliseconds(),
	}
	text, err := json.Marshal(errorBody{detail})
	if err != nil {
		return []byte(`{"error":{"type":"internal","outcome":"unknown"}}`)
	}
	return append(text, '\n')
}

// Responder is where an answer goes: a caller's connection, or a peer that
// forwarded the request.
type Responder interface {
	// Begin sends the status and header; it is called once, and first.
	Begin(status int, header http.Header)
	// Write sends a part of the body at once.
	Write(p []byte) error
	// End says that the answer is whole.
	End()
	// Abort ends an incomplete response so that the other side can tell that it is incomplete.
	Abort()
}

// fail answers with an error. Before the first byte of an answer it is an
// HTTP error; in a stream that has begun it is an error event, after which
// the stream ends without its end mark.
func (c *call) fail(f failure) {
	if f.outcome == OutcomeNotRun {
		invariant.Check(!c.mayHaveRun, invariant.NotRun, "request %s is called not run after attempt %d", c.id, c.attempts)
	}
	c.outcome = f.outcome
	note := c.log.Info
	if f.outcome == OutcomeNotRun {
		// Refusals come in floods just when there is most to do.
		note = c.log.Debug
	}
	note("answered with an error", "status", f.status, "outcome", string(f.outcome), "reason", f.message)
	body := f.body(c.id)
	if c.begun {
		_ = c.out.Write([]byte("event: error\ndata: "))
		_ = c.out.Write(append(body, '\n'))
		c.out.End()
		return
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequestID, c.id)
	header.Set(HeaderOutcome, string(f.outcome))
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	c.begun = true
	c.out.Begin(f.status, header)
	_ = c.out.Write(body)
	c.out.End()
}
