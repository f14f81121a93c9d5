package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// AddEndpoint starts a model engine or plain service as a process and lists it
// on the platform.
func (c *Cluster) AddEndpoint(in fleet.Instance, args ...string) *Process {
	address := c.freeAddress("127.0.0.1")
	all := append([]string{"endpoint", "-listen", address, "-id", string(in.ID)}, args...)
	if !in.ChecksFences {
		all = append(all, "-checks-fences=false")
	}
	p := c.startWithProxy(string(in.ID), address, c.binaries.StandIn, all...)
	in.Address = p.Proxy.Address()
	c.Endpoints[string(in.ID)] = p
	c.Eventually("endpoint "+p.Name+" is up", func() bool {
		report, err := TryReport(p)
		return err == nil && report.Instance == in.ID
	})
	c.PutInstance(in)
	return p
}

// HostEndpoint serves an endpoint inside this process, without a proxy, for
// measurements with hundreds of endpoints.
func (c *Cluster) HostEndpoint(in fleet.Instance, o enginestandin.Options) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	server := &http.Server{Handler: enginestandin.New(o).Handler()}
	c.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	in.Address = listener.Addr().String()
	c.PutInstance(in)
}

// AddEngines starts count model engines in one fabric domain.
func (c *Cluster) AddEngines(dc, domain string, count int, args ...string) []*Process {
	var out []*Process
	for i := range count {
		out = append(out, c.AddEndpoint(fleet.Instance{
			ID:           fleet.InstanceID(fmt.Sprintf("%s-%d", domain, i+1)),
			DataCentre:   fleet.DataCentre(dc),
			Domain:       domain,
			Kind:         fleet.KindEngine,
			Accelerators: 4,
			ChecksFences: true,
		}, args...))
	}
	return out
}

// Instance returns the instance that was last passed to PutInstance.
func (c *Cluster) Instance(id string) fleet.Instance { return c.instances[id] }

// PutInstance adds or updates an instance in the platform's list.
func (c *Cluster) PutInstance(in fleet.Instance) {
	c.instances[string(in.ID)] = in
	c.post(c.Platform.Address, "/standin/instance", in)
}

// SetPlatformFaults sets the faults that the platform stand-in simulates.
func (c *Cluster) SetPlatformFaults(f platformstandin.Faults) {
	c.post(c.Platform.Address, "/standin/faults", f)
}

func (c *Cluster) post(address, path string, body any) {
	text, err := json.Marshal(body)
	require.NoError(c.t, err)
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	require.Equal(c.t, http.StatusOK, response.StatusCode)
}
