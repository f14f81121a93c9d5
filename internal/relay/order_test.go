package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/continuation"
)

// streamEnd describes what a caller gets of a stream of five events.
type streamEnd struct {
	name    string
	scripts []script
	// body is what the caller gets, complete whether it ends as complete.
	body     string
	complete bool
}

// nothingLeft answers a resumption after the last event.
func nothingLeft(c net.Conn, r *http.Request) { events(1, 0, endStream)(c, r) }

// Guards against a stream that ends as complete although its endpoint only closed the connection between two events.
func TestStream_UnmarkedEndIsConfirmed(t *testing.T) {
	part := eventsText(1, 3)
	for _, test := range []streamEnd{
		{"the rest follows", []script{unframedEvents(part), events(4, 5, endStream)}, eventsText(1, 5), true},
		{"nothing follows", []script{unframedEvents(part), nothingLeft}, part, true},
		{"nothing follows, with a length", []script{unframedEvents(part), answerWith(200, "text/event-stream", "")}, part, true},
		{"nothing follows, unmarked", []script{unframedEvents(part), unframedEvents("")}, part, true},
		{"one event, the rest follows", []script{unframedEvents(eventsText(1, 1)), events(2, 5, endStream)}, eventsText(1, 5), true},
		{"the rest is unmarked", []script{unframedEvents(part), unframedEvents(eventsText(4, 5))}, eventsText(1, 5), false},
		{"the rest is unmarked, nothing follows", []script{unframedEvents(part), unframedEvents(eventsText(4, 5)), nothingLeft}, eventsText(1, 5), true},
		{"a broken stream's rest is unmarked", []script{events(1, 3, breakStream), unframedEvents(eventsText(4, 4)), events(5, 5, endStream)}, eventsText(1, 5), true},
		{"nobody else responds", []script{unframedEvents(part), closeConn}, part, false},
		{"a failure follows", []script{unframedEvents(part), answerWith(410, "application/json", "gone")}, part, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			requireEnd(t, test, serveInOrder(t, test.scripts...))
		})
	}
}

func requireEnd(t *testing.T, test streamEnd, out *recorder) {
	t.Helper()
	require.Equal(t, test.body, out.body.String())
	require.Equal(t, test.complete, out.ended)
	require.Equal(t, !test.complete, out.aborted)
}

// Guards against the same at a node without links, whose neighbour runs the stream.
func TestStream_UnmarkedEndIsConfirmedByNeighbours(t *testing.T) {
	for _, test := range []streamEnd{
		{"the rest follows", []script{unframedEvents(eventsText(1, 3)), events(4, 5, endStream)}, eventsText(1, 5), true},
		{"nothing follows", []script{unframedEvents(eventsText(1, 3)), nothingLeft}, eventsText(1, 3), true},
		{"nobody else responds", []script{unframedEvents(eventsText(1, 3)), closeConn}, eventsText(1, 3), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			requireEnd(t, test, serveByNeighbours(t, test.scripts...))
		})
	}
}

// trustEnds makes a node trust the unmarked ends of streams.
func (fx *fixture) trustEnds() {
	for range 100 {
		fx.relay.streams.RecordConfirmed("llm")
	}
}

// Guards against whole streams that are cut off because nobody can be asked what follows, and against streams that end as
// whole then although there is evidence of a cut.
func TestStream_UnmarkedEndWithoutRetryBudget(t *testing.T) {
	whole := unframedEvents(eventsText(1, 3))
	refuse := func(e *endpoint) script {
		return func(c net.Conn, r *http.Request) {
			e.close()
			whole(c, r)
		}
	}
	for _, test := range []struct {
		name     string
		prepare  func(*fixture, *endpoint)
		complete bool
	}{
		{"nothing speaks against it", func(*fixture, *endpoint) {}, true},
		{"nothing speaks for it", func(fx *fixture, _ *endpoint) { fx.relay.streams = continuation.NewObservations() }, false},
		{"the endpoint has crashed", func(_ *fixture, e *endpoint) { e.scripts = []script{refuse(e)} }, false},
		{"another stream was cut", func(fx *fixture, e *endpoint) {
			e.scripts = []script{unframedEvents(eventsText(1, 2) + "id: 3"), whole}
			fx.serve(request(hostStream))
		}, false},
		{"the route allows one attempt", func(fx *fixture, _ *endpoint) {
			fx.allowAttempts(1)
			fx.relay.options.Budget = agedBudget(0.2, 1000, 1)
		}, true},
		{"all attempts are used up", func(fx *fixture, e *endpoint) {
			e.scripts = []script{events(1, 0, breakStream), whole}
			fx.relay.options.Budget = agedBudget(0.2, 1000, 1)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, whole)
			fx := newFixture(t, nil, []*endpoint{e, e})
			fx.relay.options.Budget = agedBudget(0, 0, 1)
			fx.trustEnds()
			test.prepare(fx, e)
			out := fx.serve(request(hostStream))
			requireEnd(t, streamEnd{body: eventsText(1, 3), complete: test.complete}, out)
			require.True(t, out.unmarked)
		})
	}
}

// Guards against the same at a node without links, whose neighbour has no retry left.
func TestStream_UnmarkedEndOfNeighbourWithoutRetryBudget(t *testing.T) {
	n := &neighbour{fx: newFixture(t, nil, []*endpoint{newEndpoint(t, unframedEvents(eventsText(1, 3)))})}
	n.fx.relay.options.Budget = agedBudget(0, 0, 1)
	n.fx.trustEnds()
	fx := newFixture(t, nil, nil)
	fx.trustEnds()
	fx.loseLinks(n)
	out := fx.serve(request(hostStream))
	requireEnd(t, streamEnd{body: eventsText(1, 3), complete: true}, out)
	require.True(t, out.unmarked)
}

// Guards against a stream that may not be resumed and ends with a mark that its endpoint did not give, or as whole although
// its endpoint has crashed.
func TestStream_UnmarkedEndIsPassedOnIfNotResumable(t *testing.T) {
	crashed := func(e *endpoint) script {
		return func(c net.Conn, r *http.Request) {
			e.close()
			unframedEvents(eventsText(1, 3))(c, r)
		}
	}
	for _, crashes := range []bool{false, true} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("crashes %v, forwarded %v", crashes, forwarded), func(t *testing.T) {
				e := newEndpoint(t, unframedEvents(eventsText(1, 3)))
				if crashes {
					e.scripts = []script{crashed(e)}
				}
				fx := newFixture(t, nil, []*endpoint{e})
				if forwarded {
					n := &neighbour{fx: fx}
					fx = newFixture(t, nil, nil)
					fx.loseLinks(n)
				}
				out := fx.serve(request(hostSingle))
				requireEnd(t, streamEnd{body: eventsText(1, 3), complete: !crashes}, out)
				require.True(t, out.unmarked)
			})
		}
	}
}

// Guards against a stream that lacks an event, or begins late, and looks complete.
func TestStream_SkippedEventIsAskedFor(t *testing.T) {
	skipped := eventsText(1, 2) + eventsText(4, 5)
	stream := func(body string) script { return answerWith(200, "text/event-stream", body) }
	for _, test := range []streamEnd{
		{"an event is missing", []script{stream(skipped), events(3, 5, endStream)}, eventsText(1, 5), true},
		{"begins late", []script{stream(eventsText(3, 5)), events(1, 5, endStream)}, eventsText(1, 5), true},
		{"out of order", []script{stream(eventsText(1, 2) + eventsText(4, 4) + eventsText(3, 3) + eventsText(5, 5)), events(3, 5, endStream)}, eventsText(1, 5), true},
		{"the resumption begins late", []script{events(1, 2, breakStream), stream(eventsText(4, 5)), events(3, 5, endStream)}, eventsText(1, 5), true},
		{"nobody else responds", []script{stream(skipped), closeConn}, eventsText(1, 2), false},
		{"two agree that no id is missing", []script{stream(skipped), stream(eventsText(4, 5))}, skipped, true},
		{"numbered in steps", []script{stream(eventText(10) + eventText(20)), stream(eventText(10) + eventText(20))}, eventText(10) + eventText(20), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			requireEnd(t, test, serveInOrder(t, test.scripts...))
		})
	}
}

// Guards against the same at a node without links.
func TestStream_SkippedEventIsAskedForAtNeighbours(t *testing.T) {
	skipped := answerWith(200, "text/event-stream", eventsText(1, 2)+eventsText(4, 5))
	requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, serveByNeighbours(t, skipped, events(3, 5, endStream)))
	requireEnd(t, streamEnd{body: eventsText(1, 2)}, serveByNeighbours(t, skipped, closeConn))
}

// Guards against bytes that are no event and reach the caller as a piece of its stream.
func TestStream_RelaysOnlyEventsWithIDs(t *testing.T) {
	for _, spoilt := range []string{"data: piece\n\n", "garbage\n\n", "event: ping\ndata: x\n\n", "id: 3\nid: 4\ndata: x\n\n"} {
		t.Run(strings.ReplaceAll(spoilt, "\n", "|"), func(t *testing.T) {
			t.Parallel()
			first := answerWith(200, "text/event-stream", eventsText(1, 2)+spoilt+eventsText(3, 5))
			requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, serveInOrder(t, first, events(3, 5, endStream)))
			requireEnd(t, streamEnd{body: eventsText(1, 2)}, serveInOrder(t, first, closeConn))
		})
	}
	garbage := answerWith(200, "text/event-stream", "garbage\n\n"+eventsText(1, 5))
	requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, serveInOrder(t, garbage, events(1, 5, endStream)))
}

// Guards against comments that count as events, or end a stream.
func TestStream_DropsComments(t *testing.T) {
	first := func(c net.Conn, r *http.Request) {
		body := ": begun\n\n" + eventsText(1, 2) + ": alive\n\n" + eventsText(3, 5)
		_, _ = io.WriteString(c, responseHead(r, 200)+"Content-Type: text/event-stream\r\nContent-Length: ")
		_, _ = io.WriteString(c, strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
	requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, serveInOrder(t, first))
}

// Guards against a broken stream that two endpoints complete by closing their connections before any event.
func TestStream_EmptyUnmarkedResponsesCompleteNothing(t *testing.T) {
	for name, end := range map[string]func(net.Conn){"between events": breakStream, "inside an event": breakInsideEvent} {
		t.Run(name, func(t *testing.T) {
			out := serveInOrder(t, events(1, 3, end), unframedEvents(""), unframedEvents(""), events(4, 5, endStream))
			requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, out)
		})
	}
}

// Guards against a refused dial that counts as a crash although this node has lost its links to all endpoints.
func TestServe_UnframedResponseAsLinksAreLost(t *testing.T) {
	for _, host := range []string{hostOnce, hostSingle} {
		t.Run(host, func(t *testing.T) {
			e := newEndpoint(t)
			fx := newFixture(t, []*endpoint{e}, []*endpoint{e})
			fx.loseLinks()
			links := fx.relay.options.Links
			for i := range 9 {
				links.RecordDial(fmt.Sprint("e", i), 0, nil)
			}
			require.False(t, links.Lost())
			e.scripts = []script{func(c net.Conn, r *http.Request) {
				e.close()
				for i := range 9 {
					links.RecordDial(fmt.Sprint("e", i), 0, syscall.ECONNREFUSED)
				}
				unframedEvents(eventsText(1, 3))(c, r)
			}}
			out := fx.serve(request(host))
			require.Equal(t, http.StatusOK, out.status)
			requireEnd(t, streamEnd{body: eventsText(1, 3), complete: true}, out)
		})
	}
}

// Guards against a large answer that gets a mark of its end although its endpoint gave none.
func TestServe_LargeUnframedResponseGetsNoMark(t *testing.T) {
	large := strings.Repeat("x", 2*maxBuffered)
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			fx := newFixture(t, []*endpoint{newEndpoint(t, unframed(large))}, nil)
			if forwarded {
				n := &neighbour{fx: fx}
				fx = newFixture(t, nil, nil)
				fx.loseLinks(n)
			}
			out := fx.serve(request(hostOnce))
			requireEnd(t, streamEnd{body: large, complete: true}, out)
			require.True(t, out.unmarked)
		})
	}
}

// Guards against a surplus response that counts as that to a retry: it has the same request's id, and arrives late on
// the connection of a whole response before.
func TestStream_RetryIgnoresSurplusOfSameRequest(t *testing.T) {
	theirs := strings.ReplaceAll(eventsText(3, 5), "piece", "surplus")
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		first := func(c net.Conn, r *http.Request) {
			answerWith(200, "text/event-stream", eventsText(1, 2)+eventsText(4, 5))(c, r)
			time.AfterFunc(delay, func() { answerWith(200, "text/event-stream", theirs)(c, r) })
		}
		second := func(c net.Conn, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			last, _ := strconv.Atoi(r.Header.Get("Last"))
			events(last+1, 5, endStream)(c, r)
		}
		t.Run(delay.String(), func(t *testing.T) {
			e := newEndpoint(t, first, second)
			out := newFixture(t, nil, []*endpoint{e}).serve(request(hostStream))
			require.Len(t, e.requests(), 2)
			requireEnd(t, streamEnd{body: eventsText(1, 5), complete: true}, out)
		})
	}
}
