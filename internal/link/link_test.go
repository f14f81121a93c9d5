package link

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// option reads a socket option of TCP.
func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	value := 0
	require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
	require.NoError(t, err)
	return value
}

// A connection that falls silent without a reset ends within the bound, whether bytes
// are under way on it or not, and on both ends. With keep-alive probes off a long poll
// of the store on such a connection waited seven seconds, and missed what was written
// meanwhile.
func TestSilentConnectionsEnd(t *testing.T) {
	b := New(nil)
	listener, err := b.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := b.Dialer().Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, 1, option(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
			idle := option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
			interval := option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
			count := option(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			require.LessOrEqual(t, time.Duration(idle+interval*count)*time.Second, DefaultSilence)
			require.Equal(t, int(DefaultSilence.Milliseconds()), option(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
		})
	}
}

func TestWithoutABoundNothingIsProbed(t *testing.T) {
	require.False(t, Bounds{}.keepAlive().Enable)
}

// After a call that had no answer the next one takes a new connection, not another old
// one that may be as silent.
func TestNoOldConnectionIsUsedAfterAFailure(t *testing.T) {
	var silent atomic.Bool
	var opened atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if silent.Load() && r.Header.Get("Old") != "" {
				<-r.Context().Done()
				return
			}
			// Both connections are open before either is idle.
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := &http.Client{Transport: Doubtful(&http.Transport{DialContext: New(nil).Dialer().DialContext, MaxIdleConnsPerHost: 4})}
	call := func(old string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		require.NoError(t, err)
		request.Header.Set("Old", old)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	both := make(chan error, 2)
	for range 2 {
		go func() { both <- call("") }()
	}
	require.NoError(t, <-both)
	require.NoError(t, <-both)
	before := opened.Load()
	silent.Store(true)
	require.Error(t, call("yes"))
	require.NoError(t, call(""))
	require.Equal(t, before+1, opened.Load(), "the other old connection is not used")
}
