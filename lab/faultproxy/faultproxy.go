// Package faultproxy is a TCP proxy that injects faults, for tests.
//
// Faults are set by the source IP of a connection, so one proxy in front of
// each process is enough to partition any pair of processes.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/link"
)

// Fault is the fault of all connections from one source.
type Fault struct {
	// Refuse closes open connections, and new ones right after they are
	// accepted.
	Refuse bool
	// StallUpstream and StallDownstream stall the data to and from the target until the
	// fault is cleared, as a network partition does to TCP.
	StallUpstream   bool
	StallDownstream bool
	// Delay is added before each write, in both directions.
	Delay time.Duration
}

// combine returns the fault that has the effects of both.
func (f Fault) combine(other Fault) Fault {
	return Fault{
		Refuse:          f.Refuse || other.Refuse,
		StallUpstream:   f.StallUpstream || other.StallUpstream,
		StallDownstream: f.StallDownstream || other.StallDownstream,
		Delay:           max(f.Delay, other.Delay),
	}
}

// AnySource is the source whose faults apply to all sources, in addition to their own.
var AnySource = netip.Addr{}

// injectedFault is a fault of a source that has not been cleared.
type injectedFault struct {
	source netip.Addr
	fault  Fault
}

// Proxy forwards connections to one target.
type Proxy struct {
	address string
	target  string

	mu sync.Mutex
	// listener is nil while the proxy is down.
	listener net.Listener
	faults   map[*injectedFault]struct{}
	conns    map[net.Conn]netip.Addr
	// stalled connections never carry data again.
	stalled map[net.Conn]bool
	closed  bool
	wg      sync.WaitGroup
}

// Listen starts a proxy on an address.
func Listen(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address:  listener.Addr().String(),
		listener: listener,
		target:   target,
		faults:   map[*injectedFault]struct{}{},
		conns:    map[net.Conn]netip.Addr{},
		stalled:  map[net.Conn]bool{},
	}
	p.wg.Go(func() { p.accept(listener) })
	return p, nil
}

// Address returns the listen address.
func (p *Proxy) Address() string { return p.address }

// SetDown stops or restarts the listener. While it is down, new connections are
// refused; those that were open are reset.
func (p *Proxy) SetDown(down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || down == (p.listener == nil) {
		return nil
	}
	if down {
		for conn := range p.conns {
			link.Reset(conn)
		}
		err := p.listener.Close()
		p.listener = nil
		return err
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	p.wg.Go(func() { p.accept(listener) })
	return nil
}

// SetFault replaces all faults of one source; the zero Fault clears them.
func (p *Proxy) SetFault(source netip.Addr, f Fault) {
	p.mu.Lock()
	for injected := range p.faults {
		if injected.source == source {
			delete(p.faults, injected)
		}
	}
	p.mu.Unlock()
	if f != (Fault{}) {
		p.AddFault(source, f)
	}
}

// AddFault adds a fault to those of one source, and returns a function that removes it. Faults of a
// source that overlap have the effects of all of them.
func (p *Proxy) AddFault(source netip.Addr, f Fault) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	injected := &injectedFault{source, f}
	p.faults[injected] = struct{}{}
	for conn, from := range p.conns {
		if f.Refuse && (source == AnySource || from == source) {
			link.Reset(conn)
		}
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.faults, injected)
	}
}

// StallOpenConnections stalls the connections of a source that are open now, permanently and
// without closing them. New connections work.
func (p *Proxy) StallOpenConnections(source netip.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, from := range p.conns {
		if source == AnySource || from == source {
			p.stalled[conn] = true
		}
	}
}

// ClearFaults clears all faults. Connections stalled by StallOpenConnections stay so.
func (p *Proxy) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.faults)
}

// Close stops the listener, closes all connections and waits for their
// goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	for conn := range p.conns {
		_ = conn.Close()
	}
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// faultOf returns the combined fault of a source.
func (p *Proxy) faultOf(source netip.Addr) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum Fault
	for injected := range p.faults {
		if injected.source == source || injected.source == AnySource {
			sum = sum.combine(injected.fault)
		}
	}
	return sum
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

func (p *Proxy) serve(downstream net.Conn) {
	defer downstream.Close()
	source := netip.MustParseAddrPort(downstream.RemoteAddr().String()).Addr()
	if p.faultOf(source).Refuse {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !p.track(source, downstream, upstream) {
		return
	}
	defer p.untrack(downstream, upstream)
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(upstream, downstream, source, func(f Fault) bool { return f.StallUpstream }) })
	pipes.Go(func() { p.pipe(downstream, upstream, source, func(f Fault) bool { return f.StallDownstream }) })
	pipes.Wait()
}

func (p *Proxy) track(source netip.Addr, conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = source
	}
	return true
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		delete(p.stalled, conn)
	}
}

// stallPollInterval is the interval at which a stalled direction checks
// whether it may resume.
const stallPollInterval = 5 * time.Millisecond

// pipe copies one direction until an error or EOF and then closes both
// connections, which ends the other direction.
func (p *Proxy) pipe(to, from net.Conn, source netip.Addr, stalls func(Fault) bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.applyFault(from, source, stalls)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			link.Reset(to)
		}
		if err != nil {
			return
		}
	}
}

// applyFault blocks for the delay and then for as long as the direction is
// stalled.
func (p *Proxy) applyFault(from net.Conn, source netip.Addr, stalls func(Fault) bool) {
	f := p.faultOf(source)
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	for (stalls(f) || p.isStalled(from)) && p.isTracked(from) {
		time.Sleep(stallPollInterval)
		f = p.faultOf(source)
	}
}

func (p *Proxy) isStalled(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalled[conn]
}

// isTracked reports whether a connection is in use and the proxy is not closed.
func (p *Proxy) isTracked(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[conn]
	return ok && !p.closed
}
