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

// SIGHUP must reload the settings and not terminate the process, even if the new
// settings are invalid.
func TestServe_ReloadsOnHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.ini")
	addresses := freeAddresses(t, 5)
	text := fmt.Sprintf("[interface]\nkind = platform\n[node]\nname = n\ndata_centre = north\ndata_centres = north\n"+
		"[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[peers]\nkey = 0123456789abcdef\n[store]\naddress = %s\n"+
		"[timing]\nstop_notice = 10ms\n", addresses...)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan subcommands.ExitStatus, 1)
	go func() { done <- (&serveCommand{path: path}).servePlatform(ctx) }()
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
	cancel()
	require.Equal(t, subcommands.ExitSuccess, <-done)
}
