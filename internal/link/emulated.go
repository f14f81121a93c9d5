package link

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Faults of Emulated links, as its file names them.
const (
	// FaultHang lets nothing through in either direction, and resets nothing.
	FaultHang = "hang"
	// FaultReset resets open connections and refuses new ones.
	FaultReset = "reset"
	// FaultRefuse refuses new connections; open ones live on.
	FaultRefuse = "refuse"
)

// faultPollInterval is the time between two reads of the file.
const faultPollInterval = 10 * time.Millisecond

// Emulated emulates lost links for tests, which cannot partition a machine: a file names the present
// fault of all connections that it dials. A file that is missing or names no fault means none.
type Emulated struct {
	file   string
	bounds Bounds

	mu     sync.Mutex
	fault  string
	since  time.Time
	readAt time.Time
}

// NewEmulated returns emulated links with the given bounds.
func NewEmulated(file string, bounds Bounds) *Emulated {
	return &Emulated{file: file, bounds: bounds}
}

// current returns the present fault and when it began.
func (e *Emulated) current() (fault string, since time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.readAt) < faultPollInterval {
		return e.fault, e.since
	}
	e.readAt = now
	text, _ := os.ReadFile(e.file) // A missing file means no fault.
	if fault := strings.TrimSpace(string(text)); fault != e.fault {
		e.fault, e.since = fault, now
	}
	return e.fault, e.since
}

// DialContext dials an address under the present fault.
func (e *Emulated) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch fault, _ := e.current(); fault {
	case FaultHang:
		ctx, cancel := context.WithTimeout(ctx, e.bounds.DialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case FaultReset, FaultRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	raw, err := e.bounds.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newEmulatedConn(raw, e)
}

// emulatedConn is a connection under the faults of emulated links.
type emulatedConn struct {
	*net.TCPConn
	links  *Emulated
	closed chan struct{}
	once   sync.Once

	mu           sync.Mutex
	readDeadline time.Time
}

func newEmulatedConn(raw net.Conn, e *Emulated) (net.Conn, error) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.New("emulated links need TCP connections")
	}
	c := &emulatedConn{TCPConn: tcp, links: e, closed: make(chan struct{})}
	go c.watch()
	return c, nil
}

// watch resets the connection once the fault asks for it, or once nothing has come through for the
// bound on silence.
func (c *emulatedConn) watch() {
	ticker := time.NewTicker(faultPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-ticker.C:
			fault, since := c.links.current()
			if fault == FaultReset || fault == FaultHang && now.Sub(since) > c.links.bounds.SilenceTimeout {
				_ = c.TCPConn.SetDeadline(time.Unix(1, 0))
				Reset(c)
				return
			}
		}
	}
}

// Read implements net.Conn. What arrives while the link hangs is held up until the fault ends.
func (c *emulatedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for n > 0 {
		if fault, _ := c.links.current(); fault != FaultHang {
			break
		}
		select {
		case <-c.closed:
			return 0, syscall.ECONNRESET
		case <-time.After(faultPollInterval):
		}
		if c.deadlinePassed() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, c.resetError(err)
}

// Write implements net.Conn. What is written while the link hangs is lost, as if the connection were
// reset before the link returns.
func (c *emulatedConn) Write(p []byte) (int, error) {
	if fault, _ := c.links.current(); fault == FaultHang {
		return len(p), nil
	}
	n, err := c.TCPConn.Write(p)
	return n, c.resetError(err)
}

// resetError returns the error of a connection that was reset under its user.
func (c *emulatedConn) resetError(err error) error {
	if err == nil {
		return nil
	}
	if fault, _ := c.links.current(); fault == FaultReset {
		return syscall.ECONNRESET
	}
	return err
}

// Close implements net.Conn.
func (c *emulatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// SetDeadline implements net.Conn.
func (c *emulatedConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.TCPConn.SetDeadline(t)
}

func (c *emulatedConn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && time.Now().After(c.readDeadline)
}
