package cluster

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Entry is an entry instance.
type Entry struct {
	*Process
	DataCentre string
	// CallerAddress and OperatorAddress are the addresses of the two APIs.
	CallerAddress   string
	OperatorAddress string
}

// testTuning shortens the daemons' intervals and timeouts for tests. They are
// still several scheduling delays long, so that a busy machine causes no failures.
const testTuning = `
[tuning]
poll = 150ms
exchange = 150ms
remote = 300ms
head = 200ms
instances = 300ms
plan = 100ms
publish = 50ms
refresh = 200ms
own_ttl = 900ms
vouch_ttl = 2s
peer_ttl = 1200ms
lease_ttl = 1600ms
unfenced_wait = 1500ms
call_timeout = 700ms

[placement]
lost_grace = 500ms
restart_grace = 3s
settle = 700ms
shrink_after = 1s
load_time = 1s
drain_time = 1s

[stop]
notice = 300ms
bound = 30s

[log]
level = info
fatal_invariants = true
`

// AddEntry starts an entry instance.
func (c *Cluster) AddEntry(name, dc string) *Entry {
	c.lastIP++
	ip := fmt.Sprintf("127.0.1.%d", c.lastIP)
	e := &Entry{
		DataCentre:      dc,
		CallerAddress:   c.freeAddress(ip),
		OperatorAddress: c.freeAddress(ip),
	}
	address := c.freeAddress(ip)
	path := filepath.Join(c.dir, name+".ini")
	e.Process = c.newProcess(name, address, c.binaries.Daemon, "serve", "-settings", path)
	e.Source = netip.MustParseAddr(ip)
	text := fmt.Sprintf("[node]\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\noperator = %s\npeers = %s\npeers_advertised = %s\n"+
		"[keys]\npeers = %s\noperator = %s\n[platform]\naddress = %s\n%s",
		name, dc, e.CallerAddress, e.OperatorAddress, address, e.Proxy.Address(), peerKey, OperatorKey, c.Platform.Proxy.Address(), c.Tuning)
	require.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	c.launch(e.Process)
	c.Entries = append(c.Entries, e)
	c.PutInstance(fleet.Instance{
		ID:         fleet.InstanceID(name),
		DataCentre: fleet.DataCentre(dc),
		Kind:       fleet.KindEntry,
		Address:    e.Proxy.Address(),
	})
	return e
}
