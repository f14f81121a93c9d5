package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/upstream"
)

// maxBuffered bounds an answer that is read whole before it is passed on, in
// bytes; a larger one is passed on as it comes.
const maxBuffered = 256 << 10

// copyBufferSize is the size of the parts of a large answer, in bytes.
const copyBufferSize = 16 << 10

// bufferedResponse is an endpoint's answer, read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// drain reads the rest of a small answer, so that its connection is kept.
func drain(response *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, copyBufferSize))
}

// relayBuffered reads an answer and passes it on once it is whole: until then
// the request may still go elsewhere.
func (c *call) relayBuffered(ctx context.Context, t target, active *activeRequest, response *upstream.Response) result {
	body, err := io.ReadAll(io.LimitReader(response, maxBuffered))
	active.recordEvent(time.Now())
	if err != nil {
		c.recordFailure(ctx, t, active)
		c.logAttempt(t, "a broken answer", errors.Join(err, context.Cause(ctx)))
		return c.finishIfDone(ctx, resultIncomplete)
	}
	answer := &bufferedResponse{response.Status, c.options.Wire.Answer(response.Header), body}
	if len(body) == maxBuffered {
		return c.relayUnbuffered(answer, response)
	}
	c.recordComplete(active, response, response.Status >= http.StatusInternalServerError)
	if response.Status < http.StatusInternalServerError && !impliesNotRun(response.Status) {
		c.sendBuffered(answer)
		return resultDone
	}
	c.logAttempt(t, "the endpoint failed", errors.New("status "+strconv.Itoa(response.Status)))
	if impliesNotRun(response.Status) {
		// The status would promise that it has not run, which it has.
		return resultIncomplete
	}
	c.endpointFailure = answer
	return resultFailed
}

// recordComplete counts an answer that came whole. One that is no failure clears the request.
func (c *call) recordComplete(active *activeRequest, response *upstream.Response, failed bool) {
	now := time.Now()
	active.recordOutcome(failed, now)
	if !failed {
		c.recordSuccess(response, now)
	}
}

// recordSuccess notes that the request does not end the endpoints that run it, if its answer told
// its own end: one that ends with its connection ends like that also when the endpoint does.
func (c *call) recordSuccess(response *upstream.Response, now time.Time) {
	if response.Marked {
		c.options.Quarantine.RecordSuccess(c.fingerprint, now)
	}
}

// impliesNotRun reports whether a status promises that a request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendBuffered gives the caller an endpoint's whole answer.
func (c *call) sendBuffered(a *bufferedResponse) {
	c.outcome = outcomeServed
	if a.status >= http.StatusBadRequest {
		c.outcome = outcomeFailed
	}
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.beginResponse(a.status, a.header)
	if c.out.Write(a.body) != nil {
		c.outcome = outcomeClientGone
	}
	c.out.End()
}

// relayUnbuffered passes on what was read of a large answer, and the rest as it
// comes.
func (c *call) relayUnbuffered(a *bufferedResponse, response *upstream.Response) result {
	if response.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.beginResponse(a.status, a.header)
	part := a.body
	buffer := make([]byte, copyBufferSize)
	for {
		if len(part) > 0 && c.out.Write(part) != nil {
			c.outcome = outcomeClientGone
			c.out.Abort()
			return resultDone
		}
		n, err := response.Read(buffer)
		part = buffer[:n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			c.outcome = outcomeServed
			c.recordSuccess(response, time.Now())
			if n > 0 {
				_ = c.out.Write(part)
			}
			c.out.End()
			return resultDone
		default:
			c.outcome = outcomeIncomplete
			c.out.Abort()
			return resultDone
		}
	}
}
