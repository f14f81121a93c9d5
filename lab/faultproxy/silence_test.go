package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Open connections fall silent without a reset, and new ones work.
func TestOpenConnectionsFallSilent(t *testing.T) {
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
	echo := func(conn net.Conn, patience time.Duration) error {
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	old, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	defer old.Close()
	require.NoError(t, echo(old, 10*time.Second))
	proxy.Silence(Any)
	var timeout net.Error
	require.ErrorAs(t, echo(old, 100*time.Millisecond), &timeout)
	require.True(t, timeout.Timeout())
	proxy.Heal()
	require.ErrorAs(t, echo(old, 100*time.Millisecond), &timeout, "for good")
	fresh, err := net.Dial("tcp", proxy.Address())
	require.NoError(t, err)
	defer fresh.Close()
	require.NoError(t, echo(fresh, 10*time.Second))
}
