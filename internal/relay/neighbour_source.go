package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/forward"
	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// neighbourStallAfter is how long a neighbour may send nothing of a stream before another one gets it too. The
// neighbour itself sends it to another endpoint earlier.
const neighbourStallAfter = requestStallAfter + 300*time.Millisecond

// neighbourSource gets a response from a neighbour that runs the request.
type neighbourSource struct {
	c       *call
	n       forward.Neighbour
	request *forwardpb.Request
	done    func()
	// sent is nil until the request was sent, response until its head was received.
	sent     ForwardedCall
	stop     func() bool
	response *forward.Response
	// lastReceived is when something was received last, initially when the attempt began.
	lastReceived time.Time
}

// newNeighbourSource counts the request as one that the neighbour runs until finish is called. pending is the
// number of attempts in progress that are not counted yet.
func (c *call) newNeighbourSource(n forward.Neighbour, pending int) *neighbourSource {
	c.neighboursTried = append(c.neighboursTried, n.Address)
	return &neighbourSource{c: c, n: n, request: c.forwardRequest(pending), done: c.chooser.Begin(n.Address), lastReceived: time.Now()}
}

func (s *neighbourSource) open(ctx context.Context, begin func() error) error {
	if err := begin(); err != nil {
		return err
	}
	var err error
	if s.sent, err = s.c.options.Forwarding.Send(ctx, s.n.Address, s.request); err != nil {
		s.sent = nil
		return err
	}
	s.stop = context.AfterFunc(ctx, s.sent.Close)
	s.response, err = forward.ReadResponse(s.sent)
	return err
}

func (s *neighbourSource) body() io.Reader { return s.response }

func (s *neighbourSource) readWhole(limit int64) error { return s.response.Buffer(limit) }

func (s *neighbourSource) close() {
	if s.sent != nil {
		s.stop()
		s.sent.Close()
	}
}

func (s *neighbourSource) subject() slog.Attr { return slog.String("neighbour", s.n.Address) }

func (s *neighbourSource) judge(a *streamAttempt, err error) (responseKind, result) {
	a.counted = true
	s.lastReceived = time.Now()
	c := s.c
	declined := &forward.DeclinedError{}
	switch {
	case s.sent == nil:
		c.chooser.Avoid(s.n.Address, time.Now())
		c.logForwarding(s.n, "not sent", err)
		s.refund(a)
		return noResponse, resultNotRun
	case errors.As(err, &declined):
		c.chooser.AvoidDeclining(s.n.Address, declined, time.Now())
		c.logForwarding(s.n, "declined", err)
		s.refund(a)
		return noResponse, resultNotRun
	}
	// From here on the neighbour may have run it.
	c.mayHaveRun = true
	if err != nil {
		c.attempts++
		s.recordBreak(a, err)
		return noResponse, resultIncomplete
	}
	c.attempts = max(c.attempts, s.response.Attempts)
	c.options.Metrics.Inc("requests_forwarded", map[string]string{"local": strconv.FormatBool(s.n.Local)})
	if err := c.position().CheckHead(s.response.Status, s.response.Header); err != nil {
		c.logForwarding(s.n, "no continuation", err)
		return noResponse, resultFailed
	}
	if c.isStream() && isEventStream(s.response.Status, s.response.Header) {
		return streamResponse, resultIncomplete
	}
	return wholeResponse, resultIncomplete
}

// refund returns the charge of an attempt that the neighbour has not run.
func (s *neighbourSource) refund(a *streamAttempt) {
	s.c.options.Budget.Refund(s.c.service, a.charge, time.Now())
}

// relayWhole relays a response that is no stream of events. It was buffered up to a limit, so that the request can still
// be retried if the rest does not arrive.
func (s *neighbourSource) relayWhole(a *streamAttempt, err error, isLast bool) result {
	c := s.c
	if err != nil {
		s.recordBreak(a, err)
		return resultIncomplete
	}
	if !isLast {
		c.logForwarding(s.n, "no stream", fmt.Errorf("status %d", s.response.Status))
		return resultFailed
	}
	c.outcome = outcomeOf(s.response.Status)
	if impliesNotRun(s.response.Status) {
		c.outcome = outcomeRejected
	}
	s.beginResponse()
	readErr, writeErr := s.response.CopyTo(c.out.Write)
	switch {
	case writeErr != nil:
		c.outcome = outcomeCallerGone
		c.out.Abort()
	case readErr != nil:
		c.logForwarding(s.n, "cut off", errors.Join(readErr, context.Cause(a.ctx)))
		c.outcome = outcomeIncomplete
		c.out.Abort()
	default:
		c.out.End()
	}
	return resultDone
}

// checksEvents is true: the neighbour has asked its endpoints for what seemed to be missing.
func (s *neighbourSource) checksEvents() bool { return true }

func (s *neighbourSource) recordEvent(time.Time) {}

func (s *neighbourSource) relay(_ *streamAttempt, e event, _ time.Time) bool {
	relayed := s.c.writeEvent(e, s.beginResponse)
	s.lastReceived = time.Now()
	return relayed
}

// beginResponse begins the caller's response with the head of the neighbour's, which concerns only the
// connection to the neighbour where it names one.
func (s *neighbourSource) beginResponse() {
	s.response.Header.Del("Connection")
	s.c.class.FirstToken.RecordDuration(time.Since(s.c.start))
	s.c.beginFramed(s.response.Status, s.response.Header, !s.response.Unmarked)
}

// isMarked is false if the neighbour could not find out either whether its response is whole. One without its last event is
// an error.
func (s *neighbourSource) isMarked() bool { return !s.response.EndedUnmarked }

// hasCrashed is false: a neighbour that crashes does not end its response.
func (s *neighbourSource) hasCrashed() bool { return false }

func (s *neighbourSource) recordUnmarkedEnd() { s.c.endedBy = target{} }

// excludeIfOthers does nothing: no neighbour gets a request twice.
func (s *neighbourSource) excludeIfOthers() {}

func (s *neighbourSource) relayEnd(*streamAttempt) { s.c.endStream(s.beginResponse) }

func (s *neighbourSource) recordBreak(a *streamAttempt, err error) {
	aborted := &forward.AbortedError{}
	if errors.As(err, &aborted) {
		s.c.attempts = max(s.c.attempts, aborted.Attempts)
	} else {
		s.c.chooser.Avoid(s.n.Address, time.Now())
	}
	s.c.logForwarding(s.n, "cut off", errors.Join(err, context.Cause(a.ctx)))
}

func (s *neighbourSource) recordInvalid(err error) { s.c.logForwarding(s.n, "cut off", err) }

func (s *neighbourSource) isSilent(now time.Time) bool {
	return now.Sub(s.lastReceived) > neighbourStallAfter
}

func (s *neighbourSource) recordSilence(now time.Time) { s.c.chooser.Avoid(s.n.Address, now) }

func (s *neighbourSource) logGivenUp(reason error) { s.c.logForwarding(s.n, "given up", reason) }

func (s *neighbourSource) finish(bool) { s.done() }
