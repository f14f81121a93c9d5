package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamText is a response in chunks with events that name their request.
func streamText(id string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := range 5 {
		event := fmt.Sprintf("id: %d\ndata: of %s\n\n", n+1, id)
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(event), event)
	}
	return out.String() + "0\r\n\r\n"
}

func streamBody(id string) string {
	var out strings.Builder
	for n := range 5 {
		fmt.Fprintf(&out, "id: %d\ndata: of %s\n\n", n+1, id)
	}
	return out.String()
}

// Guards against a stream that gets bytes of another response on a reused connection: an endpoint may send more after a
// whole response, at once or late, in the place of the next one due.
func TestSend_SurplusBeforeAStream(t *testing.T) {
	const late = 20 * time.Millisecond
	unframed := "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + streamBody("other")
	cut := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 400\r\n\r\nid: 1\ndata: of other\n\n"
	for _, surplus := range []struct {
		name, text string
		// served is set if the next request gets its response in spite of the surplus, on the same connection.
		served bool
	}{
		{"a length", responseText("other", streamBody("other")), true},
		{"chunks", streamText("other"), true},
		{"two", responseText("other", "x") + streamText("other"), true},
		{"three", responseText("other", "x") + streamText("other") + streamText("other"), false},
		{"no id", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: b\r\n\r\n", true},
		{"without a body", "HTTP/1.1 204 No Content\r\nId: other\r\n\r\n", true},
		{"a failure", "HTTP/1.1 500 X\r\nId: other\r\nContent-Length: 3\r\n\r\nbad", true},
		{"unframed", unframed, false},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nId: other\r\nContent-Length: 3\r\n\r\nyes", false},
		{"cut body", cut, false},
		{"cut chunks", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nid: 1\n", false},
		{"cut chunks after one", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n", false},
		{"bytes", "id: 6\ndata: of other\n\n", false},
		{"chunk", "3\r\nyes\r\n0\r\n\r\n", false},
		{"cut head", "HTTP/1.1 200 OK\r\nId: oth", false},
		{"empty lines", "\r\n\r\n", false},
	} {
		for _, when := range []string{"at once", "before", "with", "after"} {
			t.Run(surplus.name+" "+when, func(t *testing.T) {
				t.Parallel()
				address := scriptedServer(t, func(c net.Conn, r *http.Request, number int) {
					id := r.Header.Get("Id")
					if number > 0 {
						switch when {
						case "with":
							_, _ = io.WriteString(c, surplus.text+streamText(id))
							return
						case "after":
							_, _ = io.WriteString(c, surplus.text)
							time.Sleep(late)
						}
						_, _ = io.WriteString(c, streamText(id))
						return
					}
					switch when {
					case "at once":
						_, _ = io.WriteString(c, streamText(id)+surplus.text)
					case "before":
						_, _ = io.WriteString(c, streamText(id))
						time.Sleep(late)
						_, _ = io.WriteString(c, surplus.text)
					default:
						_, _ = io.WriteString(c, streamText(id))
					}
				})
				client := testClient()
				t.Cleanup(client.Close)
				for _, id := range []string{"a", "b"} {
					response, err := get(client, address, id)
					inPlace := when == "with" || when == "after"
					if id == "b" && inPlace && !surplus.served {
						if err != nil {
							require.ErrorIs(t, err, ErrUnknown)
							return
						}
					}
					require.NoError(t, err)
					body, err := io.ReadAll(response)
					require.NoError(t, err)
					require.Equal(t, streamBody(id), string(body))
					response.Close()
					time.Sleep(3 * late)
				}
			})
		}
	}
}
