package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectSlowly returns a connection for which the caller's kernel buffers only so many bytes.
func connectSlowly(t *testing.T, address string, buffer int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(buffer))
	return c
}

// Guards against buffering without bound for callers that read a kilobyte a second: a response must
// be produced no faster than it is read, and what is held stays below the total.
func TestWrite_WaitsForSlowCallers(t *testing.T) {
	const (
		callers  = 40
		chunk    = 32 << 10
		chunks   = 256
		maxTotal = 1 << 20
	)
	var produced atomic.Int64
	address := freeAddress(t)
	s, err := Serve(Options{Address: address, MaxBody: 1 << 20, MaxRequests: 2 * callers, MaxPending: maxTotal,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			part := make([]byte, chunk)
			for range chunks {
				if _, err := w.Write(part); err != nil {
					return
				}
				w.(http.Flusher).Flush()
				produced.Add(chunk)
			}
		})})
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	stop := make(chan struct{})
	var reading sync.WaitGroup
	defer reading.Wait()
	defer close(stop)
	for range callers {
		c := connectSlowly(t, address, 4<<10)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		reading.Go(func() {
			buffer := make([]byte, 1<<10)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					if _, err := c.Read(buffer); err != nil {
						return
					}
				}
			}
		})
	}
	require.Eventually(t, func() bool { return s.writes.pending.Load() >= maxTotal }, waitTimeout, time.Millisecond, "the total is used up")
	highest := int64(0)
	for range 200 {
		highest = max(highest, s.writes.pending.Load())
		time.Sleep(5 * time.Millisecond)
	}
	// Writers that found room at the same moment may each use it.
	require.LessOrEqual(t, highest, int64(maxTotal+callers*maxPendingPerConn))
	require.Less(t, produced.Load(), int64(callers*chunks*chunk), "no response is produced ahead of its caller")
	t.Logf("%d KB held at most, %d KB produced of %d", highest>>10, produced.Load()>>10, callers*chunks*chunk>>10)

	// Another caller is served meanwhile.
	quick, quickReader := connect(t, address)
	_, err = io.WriteString(quick, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(quickReader, nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, chunks*chunk, n)
}

// Guards against losing the end of a response that its caller has not read yet: when the caller
// asked for the connection to be closed, and when the process stops.
func TestClose_DeliversPendingResponse(t *testing.T) {
	part := bytes.Repeat([]byte("0123456789abcdef"), 256)
	for _, closes := range []bool{true, false} {
		t.Run(fmt.Sprint("connection close: ", closes), func(t *testing.T) {
			var server atomic.Pointer[Server]
			written := make(chan int, 1)
			s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				// Fill what the kernel buffers, and a little more.
				n := 0
				for server.Load().writes.pending.Load() == 0 {
					_, _ = w.Write(part)
					w.(http.Flusher).Flush()
					n += len(part)
				}
				written <- n
			})
			server.Store(s)
			c := connectSlowly(t, address, 4<<10)
			header := ""
			if closes {
				header = "Connection: close\r\n"
			}
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
			require.NoError(t, err)
			want := <-written
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, 1, s.CloseIdle())
			require.NoError(t, c.(*net.TCPConn).SetReadBuffer(1<<20))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			got, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.EqualValues(t, want, got)
		})
	}
}

// The end of a response is written after its handler has returned. A stopping process must not
// close the connection in between.
func TestCloseIdle_WaitsForEndOfResponse(t *testing.T) {
	for range 50 {
		release := make(chan struct{})
		s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "event")
			w.(http.Flusher).Flush()
			<-release
		})
		c, reader := connect(t, address)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		go func() {
			close(release)
			for s.CloseIdle() > 0 {
			}
		}()
		got, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "event", string(got))
	}
}

// Guards against a response that was aborted, or whose caller has left, and goes on to take the place of a handler and
// of pending bytes until writeStallTimeout.
func TestWrites_ClosedConnectionIsReleased(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("caller leaves ", leaves), func(t *testing.T) {
			tracker := NewTracker()
			t.Cleanup(tracker.Close)
			server, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, out, done := tracker.Begin(w)
				defer done()
				out.Begin(http.StatusOK, http.Header{})
				for out.Write([]byte("part")) == nil && leaves {
					time.Sleep(time.Millisecond)
				}
				out.Abort()
			})
			for range 5 {
				c, reader := connect(t, address)
				_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				require.NoError(t, err)
				_, err = http.ReadResponse(reader, nil)
				require.NoError(t, err)
				if leaves {
					require.NoError(t, c.Close())
				}
			}
			require.Eventually(t, func() bool {
				server.mu.Lock()
				defer server.mu.Unlock()
				return len(server.conns) == 0 && server.writes.pending.Load() == 0
			}, writeStallTimeout/3, time.Millisecond)
		})
	}
}
