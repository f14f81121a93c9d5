package httpserver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ownBody returns a body that shows at each place to which request it belongs.
func ownBody(id string, size int) []byte {
	part := []byte(id + ";")
	return bytes.Repeat(part, size/len(part)+1)[:size]
}

// handleOwnBody responds with the body of a request's id and size, in writes and with a framing that the request asks for.
func handleOwnBody(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, _ := strconv.Atoi(q.Get("size"))
	write, _ := strconv.Atoi(q.Get("write"))
	head, _ := strconv.Atoi(q.Get("head"))
	body := ownBody(q.Get("id"), size)
	w.Header().Set("Id", q.Get("id"))
	if head > 0 {
		w.Header().Set("Large", strings.Repeat("h", head))
	}
	if q.Get("sized") != "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	unmarked := NewResponder(w, func(error) {})
	if q.Get("unmarked") != "" {
		unmarked.BeginUnmarked(http.StatusOK, w.Header().Clone())
		defer unmarked.End()
	}
	for len(body) > 0 {
		piece := body[:min(len(body), max(write, 1))]
		body = body[len(piece):]
		if q.Get("unmarked") != "" {
			if unmarked.Write(piece) != nil {
				return
			}
			continue
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
		if q.Get("flush") != "" {
			w.(http.Flusher).Flush()
		}
	}
}

// framings are the ways in which handleOwnBody can frame a response.
var framings = []string{"", "&sized=1", "&flush=1", "&head=70000", "&head=30000&flush=1", "&unmarked=1"}

// requireOwnBody requests a body and compares each byte with that of the request. It returns false if they differ.
func requireOwnBody(t *testing.T, client *http.Client, address, id string, size, write int, framing string, slowly bool) bool {
	url := fmt.Sprintf("http://%s/?id=%s&size=%d&write=%d%s", address, id, size, write, framing)
	response, err := client.Get(url)
	if !assert.NoError(t, err, url) {
		return false
	}
	body, err := readSlowly(response.Body, slowly)
	_ = response.Body.Close()
	return assert.NoError(t, err, url) && assert.Equal(t, id, response.Header.Get("Id")) && assert.True(t, bytes.Equal(ownBody(id, size), body), url)
}

// runClients runs clients with connections of their own at the same time.
func runClients(clients int, run func(i int, client *http.Client)) {
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			run(i, client)
		})
	}
	running.Wait()
}

// Guards against callers that get the responses of others, or bytes that are no response, after large ones.
func TestResponses_BelongToTheirRequests(t *testing.T) {
	_, address := startServer(t, handleOwnBody)
	sizes := []int{0, 1, 800, 16 << 10, 64<<10 - 20, 64 << 10, 256<<10 + 1, 300_000, 1 << 20, 4 << 20}
	writes := []int{700, 16 << 10, 64 << 10, 256<<10 + 1, 16 << 20}
	runClients(12, func(i int, client *http.Client) {
		for n := range 60 {
			size, write := sizes[(i+n)%len(sizes)], writes[(i+n/len(sizes))%len(writes)]
			if write < 1<<10 {
				size = min(size, 300_000)
			}
			if !requireOwnBody(t, client, address, fmt.Sprintf("c%d-%d", i, n), size, write, framings[n%len(framings)], n%7 == 0) {
				return
			}
		}
	})
}

// Guards against the same beyond the sizes that the server may have pending for a caller. Each large response is followed by
// a small one on the same connection if its framing allows one.
func TestResponses_LargestBelongToTheirRequests(t *testing.T) {
	_, address := startServer(t, handleOwnBody)
	sizes := []int{16 << 20, 8<<20 + 1}
	writes := []int{64 << 10, 16 << 20}
	runClients(len(framings), func(i int, client *http.Client) {
		for n := range 4 {
			id := fmt.Sprintf("c%d-%d", i, n)
			slowly, size, write := n%2 == 0, sizes[n/2], writes[(i+n/2)%len(writes)]
			if !requireOwnBody(t, client, address, id, size, write, framings[i], slowly) ||
				!requireOwnBody(t, client, address, id+"-next", n, write, "", false) {
				return
			}
		}
	})
}

// readSlowly reads a body, with pauses if it is read slowly.
func readSlowly(r io.Reader, slowly bool) ([]byte, error) {
	if !slowly {
		return io.ReadAll(r)
	}
	var out bytes.Buffer
	for {
		n, err := io.CopyN(&out, r, 200<<10)
		if n == 0 || err != nil {
			if err == io.EOF {
				err = nil
			}
			return out.Bytes(), err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a status that the server does not know and that becomes 200.
func TestBegin_UnknownStatusIsNoSuccess(t *testing.T) {
	for _, status := range []int{299, 460, 499, 520, 599} {
		_, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			out := NewResponder(w, func(error) {})
			out.Begin(status, http.Header{"Content-Length": {"0"}})
			out.End()
		})
		c, reader := connect(t, address)
		_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, status)
	}
}
