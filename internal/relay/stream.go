package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/upstream"
)

// passStream passes whole events on as they come. When the stream breaks, the
// next try goes on after the last whole event, inside the same answer.
func (c *call) passStream(ctx context.Context, t target, f *flight, response *upstream.Response) result {
	reader := newEventReader(response)
	for {
		e, err := reader.next()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && c.events > 0:
			c.outcome = outcomeServed
			c.servedBy(f, response, false)
			c.out.End()
			return resultDone
		default:
			c.recordFailure(ctx, t, f)
			c.logAttempt(t, "a broken stream", errors.Join(err, context.Cause(ctx)))
			return c.orEnded(ctx, resultBroken)
		}
		now := time.Now()
		f.event(now)
		if !follows(e.id, c.lastEvent) {
			c.logAttempt(t, "a broken stream", errEventOrder)
			return resultBroken
		}
		if !c.passEvent(t, e, response.Header, now) {
			c.outcome = outcomeGone
			c.out.Abort()
			return resultDone
		}
	}
}

// passEvent passes one event on; false means that the caller has gone.
func (c *call) passEvent(t target, e event, header http.Header, now time.Time) bool {
	if !c.begun {
		answer := c.options.Wire.Answer(header)
		delete(answer, "Content-Length")
		c.class.FirstToken.RecordDuration(now.Sub(c.start))
		if c.sends == 1 {
			c.noteInTime(now.Sub(c.start) <= c.route.Objective, now)
		}
		c.log.Debug("first event", "request", c.attrs.ID, "model", c.attrs.Model, "endpoint", string(t.ID), "predicted", t.predicted.First,
			"running", t.predicted.Running, "unread", t.predicted.Unread, "prompt", c.attrs.PromptTokens, "took", now.Sub(c.start))
		c.begin(http.StatusOK, answer)
	}
	if c.out.Write(e.raw) != nil {
		return false
	}
	c.events++
	if e.id != "" {
		c.lastEvent = e.id
	}
	return true
}
