package faultproxy

import (
	"io"
	"net"
	"net/netip"
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

// Guards against faults that are not injected because an earlier fault of the same or another
// source was cleared, or is still in force.
func TestFaultOf_CombinesFaultsOfSource(t *testing.T) {
	source, other := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	delay, stall := Fault{Delay: time.Second}, Fault{StallUpstream: true}
	for _, test := range []struct {
		name string
		set  func(p *Proxy)
		want Fault
	}{
		{"none", func(*Proxy) {}, Fault{}},
		{"cleared, then of any source", func(p *Proxy) {
			p.SetFault(source, stall)
			p.SetFault(source, Fault{})
			p.SetFault(AnySource, delay)
		}, delay},
		{"own and of any source", func(p *Proxy) {
			p.SetFault(AnySource, delay)
			p.SetFault(source, stall)
		}, Fault{Delay: time.Second, StallUpstream: true}},
		{"another source's", func(p *Proxy) { p.SetFault(other, stall) }, Fault{}},
		{"replaced", func(p *Proxy) {
			p.SetFault(source, stall)
			p.SetFault(source, delay)
		}, delay},
		{"overlapping, the first removed", func(p *Proxy) {
			remove := p.AddFault(source, stall)
			p.AddFault(source, delay)
			remove()
		}, delay},
		{"removed twice", func(p *Proxy) {
			remove := p.AddFault(source, stall)
			remove()
			p.AddFault(source, stall)
			remove()
		}, stall},
		{"all cleared", func(p *Proxy) {
			p.AddFault(AnySource, delay)
			p.SetFault(source, stall)
			p.ClearFaults()
		}, Fault{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, err := Listen("127.0.0.1:0", "127.0.0.1:0")
			require.NoError(t, err)
			defer p.Close()
			test.set(p)
			require.Equal(t, test.want, p.faultOf(source))
		})
	}
}
