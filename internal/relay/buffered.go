package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/httpserver"
	"github.com/ridgehinge/ridgehinge/internal/upstream"
)

const (
	// maxBuffered is the size in bytes up to which a response is buffered before it is relayed; a
	// larger one is relayed as it arrives.
	maxBuffered = 256 << 10
	// minBuffered replaces maxBuffered while Options.MaxBuffered is used up.
	minBuffered = 16 << 10
)

// copyBufferSize is the size of the buffer for large responses, in bytes.
const copyBufferSize = 16 << 10

// bufferedResponse is an endpoint's complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxDrainTime is how long a request waits for the rest of a response that is not used.
const maxDrainTime = 100 * time.Millisecond

// drain reads the rest of a small response, so that its connection can be reused. One that does not end soon is
// closed.
func drain(response *upstream.Response) {
	response.LimitTime(maxDrainTime)
	_ = response.Discard(copyBufferSize)
}

const (
	// maxFailureBytes and maxFailureTime bound what is read of a failure after which the request is retried.
	maxFailureBytes = 4 << 20
	maxFailureTime  = 500 * time.Millisecond
)

// limitFailure bounds the time in which a response is read that requires another attempt.
func (c *call) limitFailure(response *upstream.Response) {
	if !c.isFinal(response.Status) {
		response.LimitTime(maxFailureTime)
	}
}

// relayBuffered reads a response and relays it once it is complete: until then the request can
// still be retried elsewhere. A response that is too large to buffer is relayed as it arrives, unless
// its status requires another attempt.
func (c *call) relayBuffered(ctx context.Context, t target, active *activeRequest, response *upstream.Response) result {
	c.limitFailure(response)
	limit := c.reserveBuffer(response.Length)
	body, err := readUpTo(response, limit)
	return c.relayWhole(ctx, t, active, response, body, limit, err)
}

// readUpTo reads a response to its end, or one byte more than the limit.
func readUpTo(response *upstream.Response, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response, limit+1))
}

// relayWhole relays a response of which readUpTo has read the given part.
func (c *call) relayWhole(ctx context.Context, t target, active *activeRequest, response *upstream.Response, body []byte, limit int64, err error) result {
	active.recordEvent(time.Now())
	answer := &bufferedResponse{response.Status, c.options.Wire.CallerHeader(response.Header), body}
	tooLarge := int64(len(body)) > limit
	if err == nil && !tooLarge {
		err = c.checkUnmarkedEnd(t, response)
	}
	if err == nil && response.Status == http.StatusOK {
		c.recordStart(time.Now())
	}
	if err == nil && tooLarge && c.isFinal(response.Status) {
		return c.relayUnbuffered(ctx, t, active, answer, response)
	}
	if err == nil && tooLarge {
		// Its end shows whether the endpoint survived the request.
		answer = nil
		err = response.Discard(maxFailureBytes)
	}
	if errors.Is(err, upstream.ErrTooLarge) || upstream.TimedOut(err) && !c.isOver(ctx) {
		active.recordOutcome(true, time.Now())
		c.logAttempt(t, "a failure without end", errors.Join(fmt.Errorf("status %d", response.Status), err))
		return resultIncomplete
	}
	if err != nil {
		c.recordFailure(ctx, t, active)
		c.logAttempt(t, "a broken answer", errors.Join(err, context.Cause(ctx)))
		return c.finishIfDone(ctx, resultIncomplete)
	}
	c.recordComplete(active, response)
	if !isFailure(response.Status) {
		c.sendBuffered(answer)
		return resultDone
	}
	c.logAttempt(t, "the endpoint failed", errors.New("status "+strconv.Itoa(response.Status)))
	if impliesNotRun(response.Status) {
		// The status would imply that the request has not run, but it has.
		return resultIncomplete
	}
	if answer != nil {
		c.endpointFailure = answer
	}
	return resultFailed
}

// errCrashedAtEnd means that an endpoint closed a connection because it crashed.
var errCrashedAtEnd = errors.New("the endpoint has crashed at the unmarked end of its response")

// checkUnmarkedEnd returns an error if a response ended with its connection only and its endpoint has crashed.
func (c *call) checkUnmarkedEnd(t target, response *upstream.Response) error {
	if !response.Delimited && c.refusesDial(t) {
		return errCrashedAtEnd
	}
	return nil
}

// isFinal reports whether a response with the given status is relayed without another attempt.
func (c *call) isFinal(status int) bool {
	if impliesNotRun(status) {
		return false
	}
	return !isFailure(status) || !c.route.Repeatable() || c.attemptsUsed()
}

// reserveBuffer returns how many bytes of a response of the given length, -1 if unknown, may be
// buffered until the request is finished.
func (c *call) reserveBuffer(length int64) int64 {
	limit := int64(maxBuffered)
	if length >= 0 && length < limit {
		limit = length
	}
	if c.buffered.Add(limit) > c.options.MaxBuffered {
		c.buffered.Add(-limit)
		return min(limit, minBuffered)
	}
	c.reserved += limit
	return limit
}

// recordComplete counts a complete response. One that is no failure clears the request of
// suspected crashes.
func (c *call) recordComplete(active *activeRequest, response *upstream.Response) {
	now := time.Now()
	failed := response.Status >= http.StatusInternalServerError
	active.recordOutcome(failed, now)
	if !failed {
		c.recordSuccess(active, response, now)
	}
}

// survivalDelay is how long after the end of a response without explicit framing its endpoint must still
// send events for the response to count as complete.
const survivalDelay = 300 * time.Millisecond

// recordSuccess reports to the quarantine that the request does not crash endpoints. A response that ends
// with its connection looks complete even if the endpoint crashed; later events show that it did not.
func (c *call) recordSuccess(active *activeRequest, response *upstream.Response, now time.Time) {
	if response.Delimited {
		c.options.Quarantine.RecordSuccess(c.subject, now)
		return
	}
	time.AfterFunc(survivalDelay, func() {
		if c.options.Balancer.LastEvent(active.endpoint).After(now.Add(survivalDelay / 2)) {
			c.options.Quarantine.RecordSuccess(c.subject, now)
		}
	})
}

// impliesNotRun reports whether a status implies that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// isFailure reports whether a response with this status is a failure, after which the request may be
// retried elsewhere.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || impliesNotRun(status)
}

// outcomeOf returns the outcome of a request whose caller gets a complete response with this status.
func outcomeOf(status int) outcome {
	if status >= http.StatusBadRequest {
		return outcomeFailed
	}
	return outcomeServed
}

// sendBuffered sends the caller an endpoint's complete response.
func (c *call) sendBuffered(a *bufferedResponse) {
	c.outcome = outcomeOf(a.status)
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.beginResponse(a.status, a.header)
	c.sendBody(a.body)
}

// sendBody sends the complete body of a response.
func (c *call) sendBody(body []byte) {
	if c.out.Write(body) != nil {
		c.outcome = outcomeCallerGone
		c.out.Abort()
		return
	}
	c.out.End()
}

// relayUnbuffered sends what was read of a large response, and relays the rest as it arrives.
func (c *call) relayUnbuffered(ctx context.Context, t target, active *activeRequest, a *bufferedResponse, response *upstream.Response) result {
	if response.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.beginFramed(a.status, a.header, response.Delimited)
	part := a.body
	buffer := make([]byte, copyBufferSize)
	ended := false
	// heldUp is for how long the caller has kept this node from reading on.
	heldUp := time.Duration(0)
	for {
		var writeErr error
		if len(part) > 0 {
			heldUp += active.write(func() { writeErr = c.out.Write(part) })
		}
		if writeErr != nil {
			c.outcome = outcomeCallerGone
			c.out.Abort()
			return resultDone
		}
		if ended {
			c.outcome = outcomeOf(a.status)
			c.out.End()
			return resultDone
		}
		n, err := response.Read(buffer)
		part = buffer[:n]
		ended = errors.Is(err, io.EOF)
		if ended {
			err = c.checkUnmarkedEnd(t, response)
			ended = err == nil
		}
		if ended {
			c.recordComplete(active, response)
		} else if err != nil {
			c.handleCutOff(ctx, t, active, heldUp, err)
			return resultDone
		}
	}
}

// handleCutOff aborts a response of which the caller has a part. The endpoint may have given it up
// because the caller did not read it.
func (c *call) handleCutOff(ctx context.Context, t target, active *activeRequest, heldUp time.Duration, err error) {
	if heldUp <= callerHeldUp {
		c.recordFailure(ctx, t, active)
	}
	c.logAttempt(t, "a broken answer", errors.Join(err, context.Cause(ctx)))
	c.outcome = outcomeIncomplete
	if errors.Is(context.Cause(ctx), httpserver.ErrCallerGone) {
		c.outcome = outcomeCallerGone
	}
	c.out.Abort()
}
