package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

const waitTimeout = 30 * time.Second

func freeAddresses(t *testing.T, n int) []any {
	t.Helper()
	var out []any
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		out = append(out, listener.Addr().String())
	}
	return out
}

// startEntry starts an entry instance without a store until the returned function is called, which
// stops it and waits for its end.
func startEntry(t *testing.T, timing string) (path string, addresses []any, stop func() subcommands.ExitStatus) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "entry.ini")
	addresses = freeAddresses(t, 5)
	text := fmt.Sprintf("[interface]\nkind = platform\n[node]\nname = n\ndata_centre = north\ndata_centres = north\n"+
		"[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[peers]\nkey = 0123456789abcdef\n[store]\naddress = %s\n"+
		"[timing]\n%s", append(addresses, timing)...)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan subcommands.ExitStatus, 1)
	go func() { done <- (&serveCommand{path: path}).servePlatform(ctx) }()
	return path, addresses, func() subcommands.ExitStatus {
		cancel()
		return <-done
	}
}

// SIGHUP must reload the settings and not terminate the process, even if the new
// settings are invalid.
func TestServe_ReloadsOnHangup(t *testing.T) {
	path, addresses, stop := startEntry(t, "stop_notice = 10ms\n")
	responds := func() bool {
		response, err := http.Get(fmt.Sprintf("http://%s/metrics", addresses[3]))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	require.Eventually(t, responds, waitTimeout, 10*time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.NoError(t, os.WriteFile(path, []byte("[interface]\nkind = platform\n"), 0o600))
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	require.True(t, responds())
	require.Equal(t, subcommands.ExitSuccess, stop())
}

// The platform kills a process at the end of its grace period, which stop_bound is set to. A process
// that starts to close then, because a connection was in use until the bound, is killed each time.
func TestServe_EndsWithinStopBound(t *testing.T) {
	const bound = 2 * time.Second
	_, addresses, stop := startEntry(t, fmt.Sprintf("stop_notice = 10ms\nstop_bound = %s\n", bound))
	var caller net.Conn
	require.Eventually(t, func() bool {
		var err error
		caller, err = net.Dial("tcp", addresses[0].(string))
		return err == nil
	}, waitTimeout, 10*time.Millisecond)
	defer caller.Close()
	_, err := fmt.Fprint(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	require.Equal(t, subcommands.ExitSuccess, stop())
	require.Less(t, time.Since(began), bound)
	require.Greater(t, time.Since(began), bound/2, "requests in flight get most of the time")
}
