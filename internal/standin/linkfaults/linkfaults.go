// Package linkfaults emulates lost links for tests, which cannot partition a machine.
package linkfaults

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// Faults of links, as their file names them.
const (
	// Hang lets nothing through in either direction, and resets nothing.
	Hang = "hang"
	// Reset resets open connections and refuses new ones.
	Reset = "reset"
	// Refuse refuses new connections; open ones live on.
	Refuse = "refuse"
	// Silent accepts new connections and lets nothing through on any, as a proxy whose other side is gone.
	Silent = "silent"
)

// All has all faults.
var All = []string{Hang, Reset, Refuse, Silent}

// pollInterval is the time between two reads of the file.
const pollInterval = 10 * time.Millisecond

// Links dials connections whose present fault a file names. A file that is missing or names no fault means
// none.
type Links struct {
	file   string
	bounds link.Bounds

	mu     sync.Mutex
	fault  string
	since  time.Time
	readAt time.Time
}

// New returns links with the given bounds.
func New(file string, bounds link.Bounds) *Links {
	return &Links{file: file, bounds: bounds}
}

// FileVariable is the environment variable that names the file to a daemon built with the tag faults.
const FileVariable = "RIDGEHINGE_LINK_FAULTS"

// DialWith returns a function that replaces the dialer of connections with given bounds by one whose fault
// a file names.
func DialWith(file string) func(link.Bounds) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(bounds link.Bounds) func(context.Context, string, string) (net.Conn, error) {
		return New(file, bounds).DialContext
	}
}

// current returns the present fault and when it began.
func (l *Links) current() (fault string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.readAt) < pollInterval {
		return l.fault, l.since
	}
	l.readAt = now
	text, _ := os.ReadFile(l.file) // A missing file means no fault.
	if fault := strings.TrimSpace(string(text)); fault != l.fault {
		l.fault, l.since = fault, now
	}
	return l.fault, l.since
}

// DialContext dials an address under the present fault.
func (l *Links) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch fault, _ := l.current(); fault {
	case Hang:
		ctx, cancel := context.WithTimeout(ctx, l.bounds.DialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case Reset, Refuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	raw, err := l.bounds.Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newFaultyConn(raw, l)
}

// faultyConn is a connection under the faults of links.
type faultyConn struct {
	*net.TCPConn
	links  *Links
	closed chan struct{}
	once   sync.Once

	mu           sync.Mutex
	readDeadline time.Time
	// lostWrites is set once something that was written was lost.
	lostWrites bool
}

func newFaultyConn(raw net.Conn, l *Links) (net.Conn, error) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.New("link faults need TCP connections")
	}
	c := &faultyConn{TCPConn: tcp, links: l, closed: make(chan struct{})}
	go c.watch()
	return c, nil
}

// watch resets the connection once the fault asks for it, once nothing has come through for the bound on
// silence, or once a fault has ended under which something was lost.
func (c *faultyConn) watch() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-ticker.C:
			fault, since := c.links.current()
			isSilentTooLong := fault == Hang && now.Sub(since) > c.links.bounds.SilenceTimeout
			if fault == Reset || isSilentTooLong || !swallows(fault) && c.hasLostWrites() {
				_ = c.TCPConn.SetDeadline(time.Unix(1, 0))
				link.Reset(c)
				return
			}
		}
	}
}

// swallows reports whether a fault lets nothing through on open connections without resetting them.
func swallows(fault string) bool { return fault == Hang || fault == Silent }

func (c *faultyConn) hasLostWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostWrites
}

// Read implements net.Conn. What arrives while the link hangs is held up until the fault ends.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for n > 0 {
		if fault, _ := c.links.current(); !swallows(fault) {
			break
		}
		select {
		case <-c.closed:
			return 0, syscall.ECONNRESET
		case <-time.After(pollInterval):
		}
		if c.deadlinePassed() {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, c.resetError(err)
}

// Write implements net.Conn. What is written while nothing comes through is lost, and the connection is reset
// once the link returns.
func (c *faultyConn) Write(p []byte) (int, error) {
	if fault, _ := c.links.current(); swallows(fault) {
		c.mu.Lock()
		c.lostWrites = true
		c.mu.Unlock()
		return len(p), nil
	}
	n, err := c.TCPConn.Write(p)
	return n, c.resetError(err)
}

// resetError returns the error of a connection that was reset under its user.
func (c *faultyConn) resetError(err error) error {
	if err == nil {
		return nil
	}
	if fault, _ := c.links.current(); fault == Reset {
		return syscall.ECONNRESET
	}
	return err
}

// Close implements net.Conn.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// SetDeadline implements net.Conn.
func (c *faultyConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.TCPConn.SetDeadline(t)
}

func (c *faultyConn) deadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && time.Now().After(c.readDeadline)
}
