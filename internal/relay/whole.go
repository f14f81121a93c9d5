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

// maxWhole bounds an answer that is read whole before it is passed on, in
// bytes; a larger one is passed on as it comes.
const maxWhole = 256 << 10

// copyBuffer is the size of the parts of a large answer, in bytes.
const copyBuffer = 16 << 10

// wholeAnswer is an endpoint's answer, read whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// drain reads the rest of a small answer, so that its connection is kept.
func drain(response *upstream.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response, copyBuffer))
}

// passWhole reads an answer and passes it on once it is whole: until then
// the request may still go elsewhere.
func (c *call) passWhole(ctx context.Context, t target, f *flight, response *upstream.Response) result {
	body, err := io.ReadAll(io.LimitReader(response, maxWhole))
	f.event(time.Now())
	if err != nil {
		c.recordFailure(ctx, t, f)
		c.logAttempt(t, "a broken answer", errors.Join(err, context.Cause(ctx)))
		return c.orEnded(ctx, resultBroken)
	}
	answer := &wholeAnswer{response.Status, c.options.Wire.Answer(response.Header), body}
	if len(body) == maxWhole {
		return c.passLarge(answer, response)
	}
	c.servedBy(f, response, response.Status >= http.StatusInternalServerError)
	if response.Status < http.StatusInternalServerError && !isPromise(response.Status) {
		c.pass(answer)
		return resultDone
	}
	c.logAttempt(t, "the endpoint failed", errors.New("status "+strconv.Itoa(response.Status)))
	if isPromise(response.Status) {
		// The status would promise that it has not run, which it has.
		return resultBroken
	}
	c.failure = answer
	return resultFailed
}

// servedBy counts an answer that came whole. One that is no failure clears the request.
func (c *call) servedBy(f *flight, response *upstream.Response, failed bool) {
	now := time.Now()
	f.note(failed, now)
	if !failed {
		c.clear(response, now)
	}
}

// clear notes that the request does not end the endpoints that run it, if its answer told
// its own end: one that ends with its connection ends like that also when the endpoint does.
func (c *call) clear(response *upstream.Response, now time.Time) {
	if response.Marked {
		c.options.Quarantine.RecordSuccess(c.content, now)
	}
}

// isPromise reports whether a status promises that a request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// pass gives the caller an endpoint's whole answer.
func (c *call) pass(a *wholeAnswer) {
	c.outcome = outcomeServed
	if a.status >= http.StatusBadRequest {
		c.outcome = outcomeFailed
	}
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.class.FirstToken.RecordDuration(time.Since(c.start))
	c.begin(a.status, a.header)
	if c.out.Write(a.body) != nil {
		c.outcome = outcomeGone
	}
	c.out.End()
}

// passLarge passes on what was read of a large answer, and the rest as it
// comes.
func (c *call) passLarge(a *wholeAnswer, response *upstream.Response) result {
	if response.Length >= 0 {
		a.header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	c.begin(a.status, a.header)
	part := a.body
	buffer := make([]byte, copyBuffer)
	for {
		if len(part) > 0 && c.out.Write(part) != nil {
			c.outcome = outcomeGone
			c.out.Abort()
			return resultDone
		}
		n, err := response.Read(buffer)
		part = buffer[:n]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			c.outcome = outcomeServed
			c.clear(response, time.Now())
			if n > 0 {
				_ = c.out.Write(part)
			}
			c.out.End()
			return resultDone
		default:
			c.outcome = outcomeBroken
			c.out.Abort()
			return resultDone
		}
	}
}
