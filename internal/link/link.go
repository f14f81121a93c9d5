// Package link configures TCP connections between processes so that silent failures
// are detected.
//
// A network partition sends no reset, and an open connection may stay dead while new
// ones work. A connection is closed by the kernel if sent data is not acknowledged, or
// keep-alive probes are not acknowledged, for SilenceTimeout.
package link

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultSilenceTimeout is not longer than callers wait for the next event of a stream, and far
// longer than packets are delayed.
const DefaultSilenceTimeout = 2 * time.Second

// DefaultDialTimeout is the default dial timeout.
const DefaultDialTimeout = 700 * time.Millisecond

// Bounds are the timeouts of connections. The zero value has none; New returns the
// defaults.
type Bounds struct {
	// Source is the local address of outgoing connections, or nil for any.
	Source net.Addr
	// DialTimeout is the dial timeout.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent data or keep-alive probes may stay unacknowledged.
	SilenceTimeout time.Duration
	// Dial, if set, dials in place of Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns the default bounds with a local address for outgoing connections, or nil
// for any.
func New(source net.Addr) Bounds {
	return Bounds{Source: source, DialTimeout: DefaultDialTimeout, SilenceTimeout: DefaultSilenceTimeout}
}

// Dialer returns a dialer with the bounds.
func (b Bounds) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         b.DialTimeout,
		LocalAddr:       b.Source,
		KeepAliveConfig: b.keepAliveConfig(),
		Control:         b.setUserTimeout,
	}
}

// DialFunc returns a function that dials with the bounds.
func (b Bounds) DialFunc() func(ctx context.Context, network, address string) (net.Conn, error) {
	if b.Dial != nil {
		return b.Dial
	}
	return b.Dialer().DialContext
}

// Reset closes a connection so that its peer sees that it was cut: a response without framing that ends
// with its connection would look complete otherwise.
func Reset(conn net.Conn) {
	ResetOnClose(conn, true)
	_ = conn.Close()
}

// ResetOnClose sets whether a close of a connection resets it, also the close of a process that is killed.
func ResetOnClose(conn net.Conn, reset bool) {
	switch conn := conn.(type) {
	case interface{ SetLinger(seconds int) error }:
		seconds := -1
		if reset {
			seconds = 0
		}
		_ = conn.SetLinger(seconds)
	case interface {
		SetLinger(on, seconds int32) error
		IsClosed() (bool, error)
	}:
		// nbio's connections. That of a closed one would set the option of another, which has its descriptor now.
		if closed, _ := conn.IsClosed(); closed {
			return
		}
		on := int32(0)
		if reset {
			on = 1
		}
		_ = conn.SetLinger(on, 0)
	}
}

// Listen returns a listener whose accepted connections have the bounds.
func (b Bounds) Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: b.keepAliveConfig(), Control: b.setUserTimeout}
	return config.Listen(context.Background(), network, address)
}

// keepAliveConfig starts probes of an idle connection after half of SilenceTimeout, so that a dead
// one is closed after SilenceTimeout. The kernel's unit is whole seconds.
func (b Bounds) keepAliveConfig() net.KeepAliveConfig {
	if b.SilenceTimeout <= 0 {
		return net.KeepAliveConfig{}
	}
	idle := max(time.Second, (b.SilenceTimeout / 2).Truncate(time.Second))
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     idle,
		Interval: time.Second,
		Count:    max(1, int((b.SilenceTimeout-idle)/time.Second)),
	}
}

// setUserTimeout bounds how long sent data may stay unacknowledged: without it a write to an
// unreachable peer blocks for minutes. Accepted sockets inherit it.
func (b Bounds) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	if b.SilenceTimeout <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(b.SilenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// maxHeadBytes bounds the head of a response, interim responses included.
const maxHeadBytes = 64 << 10

// Transport returns a transport for calls whose responses may have heads without end.
func Transport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeadBytes, DisableCompression: true}
}

// PoolingTransport is a transport with idle connections.
type PoolingTransport interface {
	http.RoundTripper
	CloseIdleConnections()
}

// ResetOnError returns a transport that closes its idle connections after a failed call: if one
// connection is dead, the other open ones most likely are too.
func ResetOnError(t PoolingTransport) http.RoundTripper { return resetOnError{t} }

type resetOnError struct{ PoolingTransport }

// RoundTrip implements http.RoundTripper.
func (d resetOnError) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := d.PoolingTransport.RoundTrip(request)
	if err != nil {
		d.CloseIdleConnections()
	}
	return response, err
}
