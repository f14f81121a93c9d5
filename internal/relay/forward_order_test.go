package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/peers/forwardpb"
)

// streamLength is the number of events of the streams below.
const streamLength = 6

// namedRun streams the events after the one that the request names. Each names its run.
func namedRun(name string, pause time.Duration) script {
	return func(c net.Conn, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		_, _ = io.WriteString(c, responseHead(r, 200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for id := last + 1; id <= streamLength; id++ {
			time.Sleep(pause)
			text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, name)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		}
		endStream(c)
	}
}

var namedEvent = regexp.MustCompile(`id: (\d+)\ndata: piece (\d+) of (\w+)\n\n`)

// requireInOrder checks that a stream has the events from the first one without a gap or repetition, that no run is
// gone back to, and that the whole stream alone ends as complete.
func requireInOrder(t *testing.T, out *recorder) (runs []string) {
	t.Helper()
	body, next := out.body.String(), 1
	for body != "" {
		at := namedEvent.FindStringSubmatchIndex(body)
		require.NotNil(t, at, "%q", out.body.String())
		require.Zero(t, at[0], "%q", out.body.String())
		require.Equal(t, strconv.Itoa(next), body[at[2]:at[3]], "%q", out.body.String())
		require.Equal(t, strconv.Itoa(next), body[at[4]:at[5]], "%q", out.body.String())
		if run := body[at[6]:at[7]]; len(runs) == 0 || runs[len(runs)-1] != run {
			require.NotContains(t, runs, run, "%q", out.body.String())
			runs = append(runs, run)
		}
		body = body[at[1]:]
		next++
	}
	require.NotEqual(t, out.ended, out.aborted)
	require.False(t, out.ended && next <= streamLength, "a part ends as complete: %q", out.body.String())
	return runs
}

// pausedCall delivers nothing for a while after some events, as a connection to a node that is paused.
type pausedCall struct {
	ForwardedCall
	after  int
	resume <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Read implements ForwardedCall.
func (p *pausedCall) Read() (*forwardpb.Event, error) {
	if p.after--; p.after < 0 {
		select {
		case <-p.resume:
		case <-p.closed:
			return nil, errConnectionLost
		}
	}
	return p.ForwardedCall.Read()
}

// Close implements ForwardedCall.
func (p *pausedCall) Close() {
	p.once.Do(func() { close(p.closed) })
	p.ForwardedCall.Close()
}

// Guards against a forwarded stream that lacks an event, has one twice or looks complete without its last, when the node
// that runs it is killed before, between or after its events.
func TestForwardedStream_NeighbourKilled(t *testing.T) {
	for cut := 1; cut <= streamLength+2; cut++ {
		for _, others := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("after %d, %d others", cut, others), func(t *testing.T) {
				t.Parallel()
				fx := newFixture(t, nil, nil)
				fx.allowAttempts(4)
				var neighbours []*neighbour
				for i := range others + 1 {
					n, _ := newNeighbour(t, namedRun(fmt.Sprint("run", i), time.Millisecond))
					n.fx.allowAttempts(4)
					neighbours = append(neighbours, n)
				}
				neighbours[0].cutAfter = cut
				if others == 2 {
					neighbours[1].cutAfter = 1
				}
				fx.loseLinks(neighbours...)
				out := fx.serve(request(hostStream))
				runs := requireInOrder(t, out)
				if others > 0 {
					require.True(t, out.ended, "the others could serve the rest: %v", runs)
				}
			})
		}
	}
}

// Guards against the same when the node is paused: another one gets the stream, while the first run goes on and its
// events arrive before, among or after those of the second.
func TestForwardedStream_NeighbourPaused(t *testing.T) {
	for _, paused := range []int{0, 1, 3, streamLength} {
		for _, wakes := range []time.Duration{neighbourStallAfter - 50*time.Millisecond, neighbourStallAfter + 20*time.Millisecond,
			neighbourStallAfter + 100*time.Millisecond, neighbourStallAfter + 300*time.Millisecond, time.Hour} {
			t.Run(fmt.Sprintf("after %d for %v", paused, wakes), func(t *testing.T) {
				t.Parallel()
				first, _ := newNeighbour(t, namedRun("first", time.Millisecond))
				second, _ := newNeighbour(t, namedRun("second", 30*time.Millisecond))
				fx := newFixture(t, nil, nil)
				for _, each := range []*fixture{fx, first.fx, second.fx} {
					each.allowAttempts(4)
				}
				fx.loseLinks(first, second)
				resume := make(chan struct{})
				time.AfterFunc(wakes, func() { close(resume) })
				send := fx.relay.options.Forwarding.Send
				fx.relay.options.Forwarding.Send = func(ctx context.Context, address string, q *forwardpb.Request) (ForwardedCall, error) {
					call, err := send(ctx, address, q)
					if address != "0" || err != nil {
						return call, err
					}
					return &pausedCall{ForwardedCall: call, after: paused, resume: resume, closed: make(chan struct{})}, nil
				}
				out := fx.serve(request(hostStream))
				requireInOrder(t, out)
				require.True(t, out.ended)
			})
		}
	}
}

// Guards against a forwarded stream that a node that begins to stop cuts off.
func TestForwardedStream_NeighbourStops(t *testing.T) {
	for name, stop := range map[string]func(*Relay){"drains": (*Relay).Drain, "closes connections": (*Relay).CloseConnections} {
		t.Run(name, func(t *testing.T) {
			first, _ := newNeighbour(t, namedRun("first", 50*time.Millisecond))
			second, _ := newNeighbour(t, namedRun("second", time.Millisecond))
			fx := newFixture(t, nil, nil)
			fx.loseLinks(first, second)
			time.AfterFunc(125*time.Millisecond, func() { stop(first.fx.relay) })
			out := fx.serve(request(hostStream))
			require.Equal(t, []string{"first"}, requireInOrder(t, out))
			require.True(t, out.ended)
		})
	}
}
