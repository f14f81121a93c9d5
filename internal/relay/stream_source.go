package relay

import (
	"context"
	"io"
	"log/slog"
	"time"
)

// streamSource is where an attempt gets the stream from: an endpoint, or a neighbour. open, body and readWhole are
// called by the goroutine of the attempt, all others by the goroutine of the call, close by the one that uses the source.
type streamSource interface {
	// open sends the request and reads the head of the response. begin is called before the first byte
	// is sent; its error ends the attempt.
	open(ctx context.Context, begin func() error) error
	body() io.Reader
	// readWhole reads a response that is no stream, up to a limit in bytes.
	readWhole(limit int64) error
	// close ends the request. It may be called more than once.
	close()

	// subject identifies the source in the log.
	subject() slog.Attr
	// judge handles the result of open. If there is no response to read, it returns the result of the attempt.
	judge(a *streamAttempt, err error) (responseKind, result)
	// relayWhole handles the result of readWhole. The response is relayed if it is the last one in progress.
	relayWhole(a *streamAttempt, err error, isLast bool) result
	recordEvent(now time.Time)
	// checksEvents reports whether the source has checked that its events follow each other.
	checksEvents() bool
	// relay relays an event, and returns whether the caller is still there.
	relay(a *streamAttempt, e event, now time.Time) bool
	// isMarked reports whether a length or a last chunk shows that a response that has ended is whole.
	isMarked() bool
	// hasCrashed reports whether the source has certainly crashed by now.
	hasCrashed() bool
	// excludeIfOthers keeps the source from the next attempt, which confirms what it has sent, if there is another one.
	excludeIfOthers()
	// recordUnmarkedEnd records that the connection was closed between two events.
	recordUnmarkedEnd()
	// relayEnd completes the caller's response.
	relayEnd(a *streamAttempt)
	// recordBreak records that the response was cut off, recordInvalid that it is not the rest of the stream.
	recordBreak(a *streamAttempt, err error)
	recordInvalid(err error)
	// isSilent reports whether nothing was received for so long that another attempt is worthwhile, and
	// recordSilence records the beginning of a silence.
	isSilent(now time.Time) bool
	recordSilence(now time.Time)
	// logGivenUp logs why an attempt was given up for another one.
	logGivenUp(reason error)
	// finish is called once. A source that is excluded does not get the request again.
	finish(exclude bool)
}

// responseKind is how a response is read.
type responseKind uint8

const (
	noResponse responseKind = iota
	streamResponse
	wholeResponse
)
