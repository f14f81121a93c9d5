// Package link has the bounds of connections between processes: how long one may say
// nothing before it counts as broken.
//
// A link that is cut says nothing, and an open connection may fall silent for good while
// new ones work. What was sent and is not acknowledged, and an idle connection that does
// not answer the kernel's probes, both end after Silence.
package link

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DefaultSilence is shorter than the two seconds and more after which callers give up a
// stream that says nothing, and far longer than any link delays a packet.
const DefaultSilence = 2 * time.Second

// DefaultDial bounds the opening of a connection.
const DefaultDial = 700 * time.Millisecond

// Bounds of connections. The zero value has no bound of its own; New has the defaults.
type Bounds struct {
	// Source is the address that connections leave from, or nil.
	Source net.Addr
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Silence is how long a connection may say nothing on the kernel's level.
	Silence time.Duration
}

// New returns the default bounds of connections that leave from an address, or from any
// if that is nil.
func New(source net.Addr) Bounds {
	return Bounds{Source: source, Dial: DefaultDial, Silence: DefaultSilence}
}

// Dialer returns a dialer with the bounds.
func (b Bounds) Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         b.Dial,
		LocalAddr:       b.Source,
		KeepAliveConfig: b.keepAlive(),
		Control:         b.control,
	}
}

// Listen listens with the bounds for the connections that are accepted.
func (b Bounds) Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: b.keepAlive(), Control: b.control}
	return config.Listen(context.Background(), network, address)
}

// keepAlive has an idle connection probed at half of the bound, so that it ends at the
// bound. The kernel counts in whole seconds.
func (b Bounds) keepAlive() net.KeepAliveConfig {
	if b.Silence <= 0 {
		return net.KeepAliveConfig{}
	}
	idle := max(time.Second, (b.Silence / 2).Truncate(time.Second))
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     idle,
		Interval: time.Second,
		Count:    max(1, int((b.Silence-idle)/time.Second)),
	}
}

// control bounds how long what was sent may stay unacknowledged: a write into a cut link
// hangs for minutes without it. Sockets that are accepted inherit it.
func (b Bounds) control(_, _ string, raw syscall.RawConn) error {
	if b.Silence <= 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(b.Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Doubtful returns a transport that, after a call that failed, uses no connection that is
// older than the failure: if one has fallen silent, the others of its time most likely
// have too.
func Doubtful(t *http.Transport) http.RoundTripper { return doubtful{t} }

type doubtful struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (d doubtful) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := d.Transport.RoundTrip(request)
	if err != nil {
		d.CloseIdleConnections()
	}
	return response, err
}
