package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/continuation"
)

// streamAttempt is one attempt at a stream.
type streamAttempt struct {
	streamSource
	ctx    context.Context
	cancel context.CancelCauseFunc
	// next tells the goroutine of the attempt what to do next. While it waits for that, only the goroutine of the call
	// uses the source; waiting is set then.
	next     chan readCommand
	waiting  bool
	position continuation.Position
	// charge is what the attempt has consumed of the retry budget.
	charge  Charge
	sending sendState
	// counted is set once the attempt counts as one of the call.
	counted bool
	// silent is set while nothing is received.
	silent   bool
	received int
	// held is an event without an id, until the next one shows what it is.
	held []byte
	// heldUp is for how long the caller has kept this node from reading on.
	heldUp time.Duration
}

// readCommand tells what is read next: an event, a whole response up to a limit in bytes, or nothing any more.
type readCommand struct {
	whole bool
	limit int64
	stop  bool
}

// step is what an attempt has received.
type step struct {
	attempt *streamAttempt
	kind    stepKind
	event   event
	err     error
}

type stepKind uint8

const (
	stepHead stepKind = iota
	stepEvent
	stepWhole
)

// errWithdrawn means that an attempt is not needed any more.
const errWithdrawn contextCause = "another attempt has gone on"

// sendState decides whether a request is sent or withdrawn.
type sendState struct{ state atomic.Int32 }

const (
	sendPending int32 = iota
	sendBegun
	sendWithdrawn
)

// begin is called before the first byte is sent.
func (s *sendState) begin() error {
	if !s.state.CompareAndSwap(sendPending, sendBegun) && s.state.Load() == sendWithdrawn {
		return errWithdrawn
	}
	return nil
}

// withdraw keeps a request from being sent. It returns false if it may have been sent.
func (s *sendState) withdraw() bool { return s.state.CompareAndSwap(sendPending, sendWithdrawn) }

// run sends the request and reads the response.
func (a *streamAttempt) run(steps chan<- step) {
	defer a.close()
	err := a.open(a.ctx, a.sending.begin)
	if !a.post(steps, step{kind: stepHead, err: err}) || err != nil {
		return
	}
	switch command := <-a.next; {
	case command.stop:
	case !command.whole:
		a.readEvents(steps)
	case a.post(steps, step{kind: stepWhole, err: a.readWhole(command.limit)}):
		// The goroutine of the call reads what is left.
		<-a.next
	}
}

// readEvents reads a stream to its end.
func (a *streamAttempt) readEvents(steps chan<- step) {
	reader := newEventReader(a.body())
	for command := (readCommand{}); !command.stop; command = <-a.next {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			// The connection can be used again if the response is closed before the attempt is cancelled.
			a.close()
		}
		if !a.post(steps, step{kind: stepEvent, event: e, err: err}) || err != nil {
			return
		}
	}
}

// post hands a step to the goroutine of the call. It returns false if the attempt has been given up.
func (a *streamAttempt) post(steps chan<- step, s step) bool {
	s.attempt = a
	select {
	case steps <- s:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// command lets the goroutine of the attempt go on.
func (a *streamAttempt) command(c readCommand) {
	a.waiting = false
	a.next <- c
}

// stop ends the attempt.
func (a *streamAttempt) stop(cause error) {
	if a.waiting {
		a.command(readCommand{stop: true})
	}
	a.cancel(cause)
}

// hold keeps the first event without an id back, and returns the events that may be relayed now. One in the middle of a
// stream with ids is none of its events; one after the last event may end it.
func (a *streamAttempt) hold(e event, last string, isUnnumbered bool) ([]event, error) {
	held := a.held
	a.held = nil
	switch {
	case held == nil && (e.id != "" || isUnnumbered):
		return []event{e}, nil
	case held == nil && a.received == 0 && a.position.Begun:
		return nil, a.position.CheckFirst(e.id)
	case held == nil:
		a.held = bytes.Clone(e.raw)
		return nil, nil
	case e.id != "" || last != "":
		return nil, continuation.ErrNoID
	}
	return []event{{raw: held}, e}, nil
}
