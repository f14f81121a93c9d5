package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// resumption is an answer to the resumption of a stream after its third event that does not go on with it.
type resumption struct {
	name string
	run  script
}

// answerWith sends a signed response with a status, a content type and a body with a length.
func answerWith(status int, contentType, body string) script {
	if contentType != "" {
		contentType = "Content-Type: " + contentType + "\r\n"
	}
	return func(c net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", responseHead(r, status), contentType, len(body), body)
	}
}

// unframedEvents sends a stream of events that ends with its connection.
func unframedEvents(body string) script {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, 200)+"Content-Type: text/event-stream\r\n\r\n"+body)
		_ = c.Close()
	}
}

// noContinuations returns answers of all kinds that are not the rest of a stream.
func noContinuations() []resumption {
	const eventStream, jsonType = "text/event-stream", "application/json"
	failure := `{"error":"no such letter"}` + "\n"
	var out []resumption
	for _, status := range []int{201, 202, 203, 205, 206, 300, 301, 302, 303, 307, 308, 400, 401, 403, 404, 409, 410, 413, 422, 425, 431, 451, 500, 503} {
		out = append(out,
			resumption{fmt.Sprint(status, ", a failure"), answerWith(status, jsonType, failure)},
			resumption{fmt.Sprint(status, ", events"), answerWith(status, eventStream, eventsText(4, 5))})
	}
	for _, contentType := range []string{jsonType, "text/html; charset=utf-8", "text/plain", "application/octet-stream", ""} {
		out = append(out,
			resumption{"200, events as " + contentType, answerWith(200, contentType, eventsText(4, 5))},
			resumption{"200, a failure as " + contentType, answerWith(200, contentType, failure)},
			resumption{"200, nothing as " + contentType, answerWith(200, contentType, "")})
	}
	noID := "data: piece\n\n"
	return append(out,
		resumption{"204", func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, responseHead(r, 204)+"\r\n") }},
		resumption{"no length and no event", unframedEvents("")},
		resumption{"no length and blank lines", unframedEvents("\n\n\n")},
		resumption{"no length and a part of an event", unframedEvents("id: 4\ndata: pie")},
		resumption{"from the beginning", answerWith(200, eventStream, eventsText(1, 5))},
		resumption{"the last event again", answerWith(200, eventStream, eventsText(3, 5))},
		resumption{"an event without an id", answerWith(200, eventStream, noID+eventsText(4, 5))},
		resumption{"a failure as an event stream", answerWith(200, eventStream, failure)},
	)
}

// Guards against a caller that gets another answer as a part of its stream, or as its end: one to a
// resumption that does not go on with the stream.
func TestResume_RelaysOnlyContinuations(t *testing.T) {
	for _, answer := range noContinuations() {
		t.Run(answer.name, func(t *testing.T) {
			t.Parallel()
			testResumption(t, answer.run, serveInOrder)
		})
	}
}

// The same for a node without links, whose neighbours get the answers.
func TestResume_RelaysOnlyContinuationsOfNeighbours(t *testing.T) {
	// Each of these takes seconds, in which a neighbour waits for another endpoint.
	tested := []string{"302, a failure", "410, a failure", "410, events", "500, a failure", "200, events as application/json",
		"200, a failure as ", "200, nothing as text/plain", "no length and no event", "from the beginning", "an event without an id"}
	for _, answer := range noContinuations() {
		if !slices.Contains(tested, answer.name) {
			continue
		}
		t.Run(answer.name, func(t *testing.T) {
			t.Parallel()
			testResumption(t, answer.run, serveByNeighbours)
		})
	}
}

// testResumption checks what the caller gets if the second attempt is answered with no continuation.
func testResumption(t *testing.T, second script, serve func(*testing.T, ...script) *recorder) {
	testResumptionOf(t, events(1, 3, breakStream), second, serve)
}

// testResumptionOf is testResumption with a first attempt that breaks off after its third event.
func testResumptionOf(t *testing.T, first, second script, serve func(*testing.T, ...script) *recorder) {
	out := serve(t, first, second, closeConn)
	require.Equal(t, eventsText(1, 3), out.body.String())
	require.True(t, out.aborted)
	require.False(t, out.ended)

	out = serve(t, first, second, events(4, 5, endStream))
	require.Equal(t, eventsText(1, 5), out.body.String(), "another endpoint goes on")
	require.True(t, out.ended)
	require.False(t, out.aborted)
}

// inOrder returns endpoints of which the first one that gets a request runs the first script, and so on.
func inOrder(t *testing.T, scripts ...script) []*endpoint {
	var count atomic.Int64
	run := func(c net.Conn, r *http.Request) {
		scripts[min(int(count.Add(1)), len(scripts))-1](c, r)
	}
	var out []*endpoint
	for range scripts {
		out = append(out, newEndpoint(t, run))
	}
	return out
}

// allowAttempts sets the attempts of all routes.
func (fx *fixture) allowAttempts(n int) {
	for i := range fx.view.Configuration.Routes {
		fx.view.Configuration.Routes[i].MaxAttempts = n
	}
}

// serveInOrder serves a stream at endpoints that run the scripts in order, one each.
func serveInOrder(t *testing.T, scripts ...script) *recorder {
	fx := newFixture(t, nil, inOrder(t, scripts...))
	// A goroutine that waits for a processor must not look like a silent endpoint, which takes another script.
	fx.relay.options.StallAfter = testTimeout
	fx.allowAttempts(len(scripts))
	return fx.serve(request(hostStream))
}

// serveByNeighbours serves a stream at a node without links. Each of its neighbours has one endpoint.
func serveByNeighbours(t *testing.T, scripts ...script) *recorder {
	fx := newFixture(t, nil, nil)
	fx.allowAttempts(len(scripts))
	var neighbours []*neighbour
	for _, e := range inOrder(t, scripts...) {
		n := &neighbour{fx: newFixture(t, nil, []*endpoint{e})}
		n.fx.allowAttempts(len(scripts))
		neighbours = append(neighbours, n)
	}
	fx.loseLinks(neighbours...)
	return fx.serve(request(hostStream))
}

// Guards against answers to a client's own resumption that are no longer passed on: it has asked for them.
func TestResume_ByClientGetsEndpointsAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		run    script
		status int
		body   string
	}{
		{"the rest", events(4, 5, endStream), 200, eventsText(4, 5)},
		{"a failure", answerWith(410, "application/json", "gone"), 410, "gone"},
		{"nothing is left", answerWith(200, "text/event-stream", ""), 200, ""},
		{"nothing is left, in chunks", events(1, 0, endStream), 200, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, test.run)
			in := request(hostStream)
			in.Header.Set("Last", "3")
			out := newFixture(t, nil, []*endpoint{e}).serve(in)
			require.Equal(t, test.status, out.status)
			require.Equal(t, test.body, out.body.String())
			require.True(t, out.ended)
		})
	}
}

// Guards against a client that resumes its stream and gets a success that is not the rest: it would take the stream for whole.
func TestResume_ByClientGetsNoOtherSuccess(t *testing.T) {
	for name, other := range map[string]script{
		"another type":    answerWith(200, "text/plain", `{"done":true}`),
		"no type":         answerWith(200, "", `{"done":true}`),
		"nothing, a page": answerWith(200, "text/html", ""),
		"a part":          answerWith(206, "text/event-stream", eventsText(4, 5)),
		"no content":      func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, responseHead(r, 204)+"\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			in := request(hostStream)
			in.Header.Set("Last", "3")
			out := newFixture(t, nil, inOrder(t, other, events(4, 5, endStream))).serve(in)
			require.Equal(t, eventsText(4, 5), out.body.String())
			require.True(t, out.ended)
			out = newFixture(t, nil, inOrder(t, other, closeConn)).serve(in)
			require.Equal(t, http.StatusBadGateway, out.status)
		})
	}
}

// Guards against a stream without ids that begins again in the middle of a response.
func TestResume_NotWithoutIDs(t *testing.T) {
	first := func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, 200)+"Content-Type: text/event-stream\r\n\r\ndata: a\n\ndata: b\n\ndata: c")
		_ = c.Close()
	}
	out := serveInOrder(t, first, answerWith(200, "text/event-stream", "data: a\n\ndata: b\n\ndata: c\n\n"))
	require.Equal(t, "data: a\n\ndata: b\n\n", out.body.String())
	require.True(t, out.aborted)
}

// Guards against another answer in a stream whose endpoint named no media type.
func TestResume_WithoutMediaTypeOnlyByStreams(t *testing.T) {
	first := func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, responseHead(r, 200)+"\r\n"+eventsText(1, 3)+"id: 4")
		_ = c.Close()
	}
	for _, contentType := range []string{"application/json", "text/html"} {
		for _, body := range []string{"{}", eventsText(4, 5)} {
			testResumptionOf(t, first, answerWith(200, contentType, body), serveInOrder)
		}
	}
	out := serveInOrder(t, first, answerWith(200, "text/event-stream", eventsText(4, 5)))
	require.Equal(t, eventsText(1, 5), out.body.String())
	require.True(t, out.ended)
}
