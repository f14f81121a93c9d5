package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against StallOpenConnections closing connections, affecting new ones, or being
// undone by ClearFaults.
func TestProxy_StallsOnlyOpenConnections(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	proxy, err := Listen("127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	defer proxy.Close()
	echo := func(conn net.Conn, wait time.Duration) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	existing, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	defer existing.Close()
	require.NoError(t, echo(existing, 10*time.Second))
	proxy.StallOpenConnections(AnySource)
	var timeout net.Error
	require.ErrorAs(t, echo(existing, 100*time.Millisecond), &timeout)
	require.True(t, timeout.Timeout())
	proxy.ClearFaults()
	require.ErrorAs(t, echo(existing, 100*time.Millisecond), &timeout, "Heal must not resume a stalled connection")
	fresh, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	defer fresh.Close()
	require.NoError(t, echo(fresh, 10*time.Second))
}
