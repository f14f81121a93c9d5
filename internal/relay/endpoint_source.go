package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
)

// endpointSource gets a stream from an endpoint.
type endpointSource struct {
	c       *call
	t       target
	active  *activeRequest
	request upstream.Request
	// needsPermit is set if the permit of the endpoint's rate limit has not been acquired yet.
	needsPermit bool
	// silenceLimit is for how long the endpoint may be silent on all requests.
	silenceLimit time.Duration
	response     *upstream.Response
	// judged is set once the request has got a response or failed, mayRetry if only a permit was missing.
	judged, mayRetry bool
	// whole is what readWhole has read: its limit in bytes and one more if the response is larger.
	whole []byte
	limit int64
}

// newEndpointSource counts the request as one in progress at the endpoint until finish is called.
func (c *call) newEndpointSource(t target, isRetry bool) *endpointSource {
	return &endpointSource{c: c, t: t, active: c.beginActive(t), request: c.outgoing(t, isRetry), silenceLimit: c.stallAfter(t.predicted)}
}

func (s *endpointSource) open(ctx context.Context, begin func() error) error {
	if s.needsPermit && !s.c.options.Throttle.Acquire(ctx, s.t.Endpoint) {
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, errNoPermit)
	}
	q := s.request
	q.BeforeSend = func() error {
		if err := s.c.checkBeforeSend(s.t); err != nil {
			return err
		}
		return begin()
	}
	var err error
	s.response, err = s.c.options.Upstream.Send(ctx, q, s.c.isOwnResponse)
	return err
}

func (s *endpointSource) body() io.Reader { return s.response }

func (s *endpointSource) readWhole(limit int64) error {
	var err error
	s.limit = limit
	s.whole, err = readUpTo(s.response, limit)
	return err
}

func (s *endpointSource) close() {
	if s.response != nil {
		s.response.Close()
	}
}

func (s *endpointSource) subject() slog.Attr { return slog.String("endpoint", string(s.t.ID)) }

func (s *endpointSource) judge(a *streamAttempt, err error) (responseKind, result) {
	a.counted, s.judged = true, true
	s.mayRetry = errors.Is(err, errNoPermit)
	if errors.Is(err, upstream.ErrNotSent) {
		s.c.handleNotSent(s.t, a.charge, err)
		return noResponse, resultNotRun
	}
	s.c.countAttempt()
	if err != nil {
		s.c.handleNoAnswer(a.ctx, s.t, s.active, err)
		return noResponse, resultIncomplete
	}
	if ok, failure := s.c.checkResponse(s.t, s.active, s.response); !ok {
		return noResponse, failure
	}
	if isEventStream(s.response.Status, s.response.Header) {
		return streamResponse, resultIncomplete
	}
	s.c.limitFailure(s.response)
	return wholeResponse, resultIncomplete
}

func (s *endpointSource) relayWhole(a *streamAttempt, err error, isLast bool) result {
	if !isLast {
		s.keepFailure(err)
		return resultFailed
	}
	r := s.c.relayWhole(a.ctx, s.t, s.active, s.response, s.whole, s.limit, err)
	s.close()
	return r
}

// keepFailure keeps a response for the case that all other attempts fail.
func (s *endpointSource) keepFailure(err error) {
	status := s.response.Status
	s.active.recordOutcome(err != nil || status >= http.StatusInternalServerError, time.Now())
	s.c.logAttempt(s.t, "no stream", errors.Join(fmt.Errorf("status %d", status), err))
	if err == nil && int64(len(s.whole)) <= s.limit && !impliesNotRun(status) {
		s.c.endpointFailure = &bufferedResponse{status, s.c.options.Wire.CallerHeader(s.response.Header), s.whole}
	}
}

func (s *endpointSource) checksEvents() bool { return false }

func (s *endpointSource) recordEvent(now time.Time) {
	s.active.recordEvent(now)
	s.recordOffset(now)
	s.c.recordProgress(s.active, now)
}

// recordOffset adds the time to the first event of a first attempt to the samples of its pool.
func (s *endpointSource) recordOffset(now time.Time) {
	if s.c.responseStarted || s.c.attempts != 1 || s.t.head == nil || !isIdle(s.t.predicted, s.t.head.Slots) {
		return
	}
	pool := directory.Pool{Service: s.c.service, Model: s.c.attrs.Model}
	s.c.options.Balancer.recordOffset(pool, s.t.predicted, now.Sub(s.active.sentAt), now)
}

func (s *endpointSource) relay(a *streamAttempt, e event, now time.Time) bool {
	relayed := false
	a.heldUp += s.active.write(func() { relayed = s.c.writeEvent(e, func() { s.begin(now) }) })
	return relayed
}

// begin begins the caller's response with the first event.
func (s *endpointSource) begin(now time.Time) {
	c := s.c
	c.class.FirstToken.RecordDuration(now.Sub(c.start))
	c.recordStart(now)
	if c.attempts == 1 {
		c.recordInTime(now.Sub(c.start) <= c.route.Objective, now)
	}
	p := s.t.predicted
	c.log.Debug("first event", "request", c.attrs.ID, "model", c.attrs.Model, "endpoint", string(s.t.ID), "predicted", p.First, "offset", p.Offset,
		"running", p.Running, "unread", p.Unread, "prompt", c.attrs.PromptTokens, "took", now.Sub(c.start))
	s.beginResponse()
}

// beginResponse sends the caller the head of the endpoint's response.
func (s *endpointSource) beginResponse() {
	header := s.c.options.Wire.CallerHeader(s.response.Header)
	delete(header, "Content-Length")
	s.c.beginFramed(http.StatusOK, header, s.response.Delimited)
}

func (s *endpointSource) isMarked() bool { return s.response.Delimited }

// crashProbeTimeout bounds the dial after the unmarked end of a response, in which only a refusal counts.
const crashProbeTimeout = 300 * time.Millisecond

func (s *endpointSource) hasCrashed() bool { return s.c.refusesDial(s.t) }

func (s *endpointSource) recordUnmarkedEnd() {
	s.c.endedBy = s.t
	s.excludeIfOthers()
}

func (s *endpointSource) excludeIfOthers() { s.c.unconfirmed = append(s.c.unconfirmed, s.t.ID) }

func (s *endpointSource) relayEnd(a *streamAttempt) {
	if a.received > 0 {
		s.c.recordComplete(s.active, s.response)
	} else {
		// An endpoint that had nothing left to send does not show that the request crashes none.
		s.active.recordOutcome(false, time.Now())
	}
	s.c.endStream(s.beginResponse)
}

func (s *endpointSource) recordBreak(a *streamAttempt, err error) {
	if a.heldUp > callerHeldUp {
		// The endpoint may have given the stream up because nobody read it.
		s.c.logAttempt(s.t, "a stream broken off while its caller read slowly", errors.Join(err, context.Cause(a.ctx)))
		return
	}
	s.c.recordFailure(a.ctx, s.t, s.active)
	s.c.logAttempt(s.t, "a broken stream", errors.Join(err, context.Cause(a.ctx)))
}

func (s *endpointSource) recordInvalid(err error) {
	s.active.recordOutcome(true, time.Now())
	s.c.logAttempt(s.t, "a broken stream", err)
}

func (s *endpointSource) isSilent(now time.Time) bool {
	if s.active.endpointSilence(now) > s.silenceLimit {
		s.c.options.Balancer.Suspect(s.t.ID, now)
		return true
	}
	return s.active.requestSilence(now) > max(s.silenceLimit, requestStallAfter)
}

func (s *endpointSource) recordSilence(now time.Time) { s.c.recordTrouble(s.t, s.active, now) }

func (s *endpointSource) logGivenUp(reason error) { s.c.logAttempt(s.t, "given up", reason) }

func (s *endpointSource) finish(exclude bool) {
	if !s.judged {
		s.c.recordSilence(s.t, s.active)
	}
	s.active.end()
	if exclude && !s.mayRetry {
		s.c.failed = append(s.c.failed, s.t.ID)
	}
}
