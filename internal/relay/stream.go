package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/continuation"
)

// callerHeldUp is the time for which a caller must have held up a stream so that the endpoint's end
// of the stream is not taken for a failure of the endpoint.
const callerHeldUp = time.Second

// streamRelay relays complete events as they arrive. If a stream that can be resumed is interrupted, the next attempt
// goes on after the last complete event, within the same response.
//
// An attempt whose source is silent goes on until another one has the next event: an endpoint that looks free may
// reject the stream, fail or be silent too. The first attempt with an event is kept, the others are given up.
//
// All decisions are made by the goroutine of the call. The goroutine of each attempt only sends the request and
// reads the response.
type streamRelay struct {
	*call
	ctx     context.Context
	steps   chan step
	running []*streamAttempt
	// prepared is signalled once another attempt may be started; preparing is set until then.
	prepared  chan struct{}
	preparing bool
	// deniedAt is when the retry budget last denied an attempt.
	deniedAt time.Time
	// result is that of the attempts that have ended.
	result result
}

// relayFrom relays a response from a source, a stream that can be resumed also from others while that one is silent.
func (c *call) relayFrom(ctx context.Context, s streamSource, charge Charge) result {
	r := &streamRelay{call: c, ctx: ctx, steps: make(chan step), prepared: make(chan struct{}, 1), result: resultNotRun}
	defer r.close()
	r.start(s, charge)
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for len(r.running) > 0 {
		select {
		case <-ctx.Done():
			r.close()
			c.finishOver(ctx)
			return resultDone
		case s := <-r.steps:
			s.attempt.waiting = true
			if !slices.Contains(r.running, s.attempt) {
				s.attempt.stop(nil)
				continue
			}
			if r.handle(s) == resultDone {
				return resultDone
			}
		case now := <-ticker.C:
			r.checkSilence(now)
		case <-r.prepared:
			r.preparing = false
			r.startAnother(time.Now())
		}
	}
	return r.result
}

func (r *streamRelay) start(s streamSource, charge Charge) {
	a := &streamAttempt{streamSource: s, next: make(chan readCommand, 1), position: r.position(), charge: charge}
	a.ctx, a.cancel = context.WithCancelCause(r.ctx)
	r.running = append(r.running, a)
	go a.run(r.steps)
}

// handle handles a step of an attempt. The result is resultDone once the request is finished.
func (r *streamRelay) handle(s step) result {
	a := s.attempt
	switch s.kind {
	case stepHead:
		return r.handleHead(a, s.err)
	case stepWhole:
		return r.end(a, a.relayWhole(a, s.err, len(r.running) == 1))
	default:
		return r.handleEvent(a, s.event, s.err)
	}
}

func (r *streamRelay) handleHead(a *streamAttempt, err error) result {
	kind, failure := a.judge(a, err)
	switch kind {
	case streamResponse:
		a.command(readCommand{})
	case wholeResponse:
		a.command(readCommand{whole: true, limit: r.reserveBuffer(-1)})
	default:
		return r.end(a, failure)
	}
	return resultIncomplete
}

// handleEvent relays an event, or handles the end of a response.
func (r *streamRelay) handleEvent(a *streamAttempt, e event, err error) result {
	if errors.Is(err, io.EOF) {
		return r.handleEnd(a)
	}
	if errors.Is(err, errPartialEvent) && !a.isMarked() {
		r.streams.RecordCut(r.service)
	}
	if err != nil {
		a.recordBreak(a, err)
		return r.end(a, resultIncomplete)
	}
	now := time.Now()
	a.recordEvent(now)
	if e.isEmpty {
		return r.readOn(a)
	}
	ready, err := a.hold(e, r.lastEvent, r.sequence.IsUnnumbered())
	if err != nil {
		return r.reject(a, err)
	}
	for _, e := range ready {
		if ended, isOver := r.relayNext(a, e, now); isOver {
			return ended
		}
	}
	return r.readOn(a)
}

// readOn lets an attempt go on that has shown that it is alive.
func (r *streamRelay) readOn(a *streamAttempt) result {
	a.silent = false
	a.command(readCommand{})
	return resultIncomplete
}

// relayNext relays an event if it is the next one. isOver is set if the attempt has ended, with the result.
func (r *streamRelay) relayNext(a *streamAttempt, e event, now time.Time) (ended result, isOver bool) {
	if continuation.Skips(e.id, r.lastEvent) {
		r.logSkip(a, e.id)
	}
	if err := r.sequence.Accept(continuation.Next{ID: e.id, Last: r.lastEvent, Position: a.position, Received: a.received, Checked: a.checksEvents()}); err != nil {
		return r.reject(a, err), true
	}
	if r.endedUnmarked {
		r.streams.RecordCut(r.service)
	}
	if !r.write(a, e, now) {
		return resultDone, true
	}
	return resultIncomplete, false
}

// reject ends an attempt whose event is not the next one.
func (r *streamRelay) reject(a *streamAttempt, err error) result {
	a.recordInvalid(err)
	if errors.Is(err, continuation.ErrSkip) {
		a.excludeIfOthers()
		r.remove(a, nil, false)
		return r.endIfOver(resultIncomplete)
	}
	return r.end(a, resultIncomplete)
}

// write relays an event, and returns whether the caller is still there.
func (r *streamRelay) write(a *streamAttempt, e event, now time.Time) bool {
	r.keepOnly(a)
	a.received++
	if a.relay(a, e, now) {
		return true
	}
	r.outcome = outcomeCallerGone
	r.out.Abort()
	return false
}

// handleEnd handles the end of a response.
func (r *streamRelay) handleEnd(a *streamAttempt) result {
	if a.held != nil && !a.isMarked() {
		a.recordBreak(a, io.ErrUnexpectedEOF)
		return r.end(a, resultIncomplete)
	}
	if a.held != nil && !r.write(a, event{raw: a.held}, time.Now()) {
		return resultDone
	}
	switch a.position.EndAfter(a.received, a.isMarked()) {
	case continuation.Incomplete:
		a.recordBreak(a, io.ErrUnexpectedEOF)
		return r.end(a, resultIncomplete)
	case continuation.Unmarked:
		return r.handleUnmarkedEnd(a)
	}
	if !a.isMarked() && a.hasCrashed() {
		a.recordBreak(a, errCrashedAtEnd)
		return r.end(a, resultIncomplete)
	}
	r.complete(a)
	return resultDone
}

// handleUnmarkedEnd has another attempt find out what follows. A stream that nothing can confirm ends as its endpoint ended
// it, unless that has crashed.
func (r *streamRelay) handleUnmarkedEnd(a *streamAttempt) result {
	if !r.canConfirm() && !a.hasCrashed() {
		r.complete(a)
		return resultDone
	}
	r.logEnd(a)
	// Without an event the response does not show that the stream ends here.
	r.endedUnmarked = r.endedUnmarked || a.received > 0
	a.recordUnmarkedEnd()
	r.remove(a, nil, false)
	return r.endIfOver(resultIncomplete)
}

// complete ends the caller's response, with a mark if there is one or another endpoint has confirmed the end.
func (r *streamRelay) complete(a *streamAttempt) {
	r.keepOnly(a)
	r.logEnd(a)
	if r.endedUnmarked {
		r.streams.RecordConfirmed(r.service)
	}
	if a.isMarked() {
		r.sequence.RecordWhole()
	}
	a.relayEnd(a)
}

// logEnd records what marked the end of a stream. One that ends with its connection only may have been cut off between
// two events.
func (r *streamRelay) logEnd(a *streamAttempt) {
	r.options.Metrics.Inc("stream_ends", map[string]string{"marked": strconv.FormatBool(a.isMarked())})
	if !a.isMarked() {
		r.log.Info("a stream has ended with its connection only", "request", r.attrs.ID, a.subject(), "received", a.received, "last", r.lastEvent, "sends", r.attempts)
	}
}

// logSkip records that ids are left out before an event.
func (r *streamRelay) logSkip(a *streamAttempt, id string) {
	r.options.Metrics.Inc("stream_skips", nil)
	r.log.Info("the ids of a stream skip", "request", r.attrs.ID, a.subject(), "received", a.received, "last", r.lastEvent, "id", id, "sends", r.attempts)
}

// end removes an attempt that has ended, and returns its result, or resultDone if the request is over.
func (r *streamRelay) end(a *streamAttempt, ended result) result {
	r.remove(a, nil, true)
	return r.endIfOver(ended)
}

// endIfOver keeps the result of an attempt that was removed, and returns resultDone if the request is over.
func (r *streamRelay) endIfOver(ended result) result {
	if ended != resultNotRun {
		r.result = ended
	}
	if ended != resultDone && r.isOver(r.ctx) {
		// Those that are left may have run the request.
		r.close()
		r.finishOver(r.ctx)
		return resultDone
	}
	return ended
}

// keepOnly gives up all other attempts. One that was silent is not tried again, one that was begun meanwhile may be.
func (r *streamRelay) keepOnly(a *streamAttempt) {
	for _, other := range slices.Clone(r.running) {
		if other == a {
			continue
		}
		reason := errWithdrawn
		if other.silent {
			reason = errStalled
		}
		other.logGivenUp(reason)
		r.remove(other, reason, other.silent)
	}
}

func (r *streamRelay) remove(a *streamAttempt, cause error, exclude bool) {
	r.running = slices.DeleteFunc(r.running, func(other *streamAttempt) bool { return other == a })
	r.countSent(a)
	a.finish(exclude)
	a.stop(cause)
}

// close ends the attempts that are left.
func (r *streamRelay) close() {
	for _, a := range slices.Clone(r.running) {
		r.remove(a, nil, false)
	}
}

// countSent counts an attempt that ends before its response, unless its request has not been sent.
func (r *streamRelay) countSent(a *streamAttempt) {
	if a.counted {
		return
	}
	a.counted = true
	if a.sending.withdraw() {
		r.options.Budget.Refund(r.service, a.charge, time.Now())
		return
	}
	r.countAttempt()
	r.mayHaveRun = true
}

// checkSilence prepares another attempt if all are silent.
func (r *streamRelay) checkSilence(now time.Time) {
	if !r.hasAttemptLeft() {
		return
	}
	for _, a := range r.running {
		wasSilent := a.silent
		a.silent = a.isSilent(now)
		if a.silent && !wasSilent {
			a.recordSilence(now)
		}
	}
	if r.preparing || !r.isSilent() || now.Sub(r.deniedAt) < reserveInterval {
		return
	}
	r.preparing = true
	go r.prepare(r.crashProbe)
}

// isSilent reports whether all attempts are silent.
func (r *streamRelay) isSilent() bool {
	return !slices.ContainsFunc(r.running, func(a *streamAttempt) bool { return !a.silent })
}

// prepare finds out what has to be known before another attempt: whether a silent endpoint has crashed, and
// whether the links are lost.
func (r *streamRelay) prepare(crashProbe <-chan struct{}) {
	r.crashes.AwaitProbe(r.ctx, r.subject, crashProbe)
	r.options.Links.Verify(r.ctx)
	if r.shouldForward() {
		r.options.Forwarding.Search(r.ctx, neighboursMaxAge)
	}
	r.prepared <- struct{}{}
}

// hasAttemptLeft reports whether the route allows another attempt beside those in progress.
func (r *streamRelay) hasAttemptLeft() bool {
	return r.canResume() && r.countedAttempts()+r.uncounted() < r.route.MaxAttempts
}

// uncounted returns the number of attempts that are in progress and not counted yet.
func (r *streamRelay) uncounted() int {
	n := 0
	for _, a := range r.running {
		if !a.counted {
			n++
		}
	}
	return n
}

// startAnother begins another attempt if all are still silent and there is a place for it.
func (r *streamRelay) startAnother(now time.Time) {
	if !r.isSilent() || !r.hasAttemptLeft() || r.remaining() < minRemaining {
		return
	}
	if _, allowed := r.options.Quarantine.Allowed(r.subject, now); !allowed {
		return
	}
	newSource := r.chooseSource(now)
	if newSource == nil {
		return
	}
	charge, granted := r.options.Budget.AcquireRetry(r.service, now)
	if !granted {
		r.logBudget()
		r.deniedAt = now
		return
	}
	r.start(newSource(), charge)
}

// chooseSource returns a function that returns a source which may have room for the stream, or nil if there is none.
func (r *streamRelay) chooseSource(now time.Time) func() streamSource {
	if r.shouldForward() {
		n, ok := r.knownNeighbour(now)
		if !ok {
			return nil
		}
		return func() streamSource { return r.newNeighbourSource(n, r.uncounted()) }
	}
	exclude := slices.Clone(r.failed)
	for _, a := range r.running {
		if s, ok := a.streamSource.(*endpointSource); ok {
			exclude = append(exclude, s.t.ID)
		}
	}
	t, _ := r.pick(now, exclude, true)
	if t.Endpoint == nil {
		return nil
	}
	return func() streamSource {
		s := r.newEndpointSource(t, true)
		s.needsPermit = true
		return s
	}
}

// isEventStream reports whether a response to a request for a stream is one. Some endpoints name no type.
func isEventStream(status int, h http.Header) bool {
	mediaType := continuation.MediaType(h)
	return status == http.StatusOK && (mediaType == continuation.EventStream || mediaType == "")
}

// position returns how far the caller has got.
func (c *call) position() continuation.Position {
	return continuation.Position{Begun: c.responseStarted || c.continues, MediaType: c.mediaType, LastID: c.lastEvent, EndedUnmarked: c.endedUnmarked}
}

// endStream completes the caller's response, after begin if it has no event.
func (c *call) endStream(begin func()) {
	if !c.responseStarted {
		begin()
	}
	c.outcome = outcomeServed
	if c.unmarked && !c.canConfirm() {
		c.out.EndUnmarked()
		return
	}
	c.out.End()
}

// writeEvent sends one event to the caller, after begin if it is the first; it returns false if the
// caller has disconnected.
func (c *call) writeEvent(e event, begin func()) bool {
	if !c.responseStarted {
		begin()
	}
	if c.out.Write(e.raw) != nil {
		return false
	}
	c.events++
	c.endedUnmarked = false
	if e.id != "" {
		c.lastEvent = e.id
	}
	return true
}
