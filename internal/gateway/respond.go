package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/invariant"
)

// Headers of requests and responses.
const (
	HeaderRequestID  = "Ridgehinge-Request-Id"
	HeaderOutcome    = "Ridgehinge-Outcome"
	HeaderTimeout    = "Ridgehinge-Timeout-Ms"
	HeaderDeadline   = "Ridgehinge-Deadline"
	HeaderPriority   = "Ridgehinge-Priority"
	HeaderRepeatable = "Ridgehinge-Repeatable"
	HeaderKey        = "Idempotency-Key"
	// HeaderRetryOf has the id of the rejected request that this one retries.
	HeaderRetryOf = "Ridgehinge-Retry-Of"
)

// Outcome states whether a request ran.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun: no endpoint started the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan: an endpoint ran it.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown: it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeServed is for metrics: the caller has the complete response.
	OutcomeServed Outcome = "served"
	// OutcomeCallerGone is for metrics: the caller disconnected.
	OutcomeCallerGone Outcome = "gone"
)

// errorResponse is an error response to a caller.
type errorResponse struct {
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

func (f errorResponse) body(id string) []byte {
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

// Responder receives a response: a caller's connection, or the peer that
// forwarded the request.
type Responder interface {
	// Begin sends the status and header; it is called first and once.
	Begin(status int, header http.Header)
	// Write sends a part of the body without buffering.
	Write(p []byte) error
	// End marks the response as complete.
	End()
	// Abort ends a response in a way that the receiver can detect as incomplete.
	Abort()
}

// fail responds with an error: an HTTP error before the header has been sent,
// or else an error event, after which the stream ends without [DONE].
func (c *call) fail(f errorResponse) {
	if f.outcome == OutcomeNotRun {
		invariant.Check(!c.mayHaveRun, invariant.NotRun, "request %s is reported as not run after attempt %d", c.id, c.attempts)
	}
	c.outcome = f.outcome
	logAt := c.log.Info
	if f.outcome == OutcomeNotRun {
		// Rejections are most frequent under overload.
		logAt = c.log.Debug
	}
	logAt("responded with an error", "status", f.status, "outcome", string(f.outcome), "reason", f.message)
	body := f.body(c.id)
	if c.headerSent {
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
	c.headerSent = true
	c.out.Begin(f.status, header)
	_ = c.out.Write(body)
	c.out.End()
}
