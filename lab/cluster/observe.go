package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Client returns a client of the entry instance's operator API.
func (e *Entry) Client() *operatorapi.Client {
	return operatorapi.NewClient(e.OperatorAddress, OperatorKey)
}

// Status returns the status of an entry instance, or false if the request
// failed.
func (e *Entry) Status() (control.Status, bool) {
	s, err := e.Client().Status()
	return s, err == nil
}

// Submit submits a template based on a revision through an entry instance. It
// retries with the same request id until the template is accepted.
func (c *Cluster) Submit(e *Entry, text string, base configuration.Revision) configuration.Revision {
	c.t.Helper()
	c.submissions++
	requestID := fmt.Sprintf("request-%d", c.submissions)
	var accepted confstore.Accepted
	c.Eventually("the template is accepted", func() bool {
		var err error
		accepted, err = e.Client().Submit("test.ini", []byte(text), base, requestID)
		return err == nil
	})
	return accepted.Revision
}

// ServingGroups returns the groups of a template that an entry instance may route
// requests to.
func (e *Entry) ServingGroups(template string) []control.GroupStatus {
	s, ok := e.Status()
	if !ok {
		return nil
	}
	var out []control.GroupStatus
	for _, g := range s.GroupList {
		if g.Template == template && g.Serving {
			out = append(out, g)
		}
	}
	return out
}

// WaitServing waits until each running entry instance of a data centre lists
// exactly this number of serving groups for a template.
func (c *Cluster) WaitServing(dc, template string, groups int) {
	c.t.Helper()
	c.Eventually(fmt.Sprintf("%d groups of %s serve in %s", groups, template, dc), func() bool {
		for _, e := range c.Entries {
			if e.DataCentre == dc && e.running && len(e.ServingGroups(template)) != groups {
				return false
			}
		}
		return true
	})
}

// Runs returns how many executions were started for an idempotency key or attempt
// id, over all running endpoints.
func (c *Cluster) Runs(key string) int {
	total := 0
	for _, p := range c.Endpoints {
		if !p.running {
			continue
		}
		response, err := http.Get("http://" + p.Address + "/standin/runs?mark=" + key)
		require.NoError(c.t, err)
		var n int
		_, err = fmt.Fscan(response.Body, &n)
		require.NoError(c.t, err)
		require.NoError(c.t, response.Body.Close())
		total += n
	}
	return total
}

// Report returns an endpoint's report, bypassing its proxy.
func (c *Cluster) Report(p *Process) fleet.Report {
	report, err := TryReport(p)
	require.NoError(c.t, err)
	return report
}

// TryReport is Report for an endpoint that may be unreachable.
func TryReport(p *Process) (fleet.Report, error) {
	var report fleet.Report
	response, err := http.Get("http://" + p.Address + engine.PathStatus)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// SendStrayOrder sends an endpoint an order to load weights that no controller issued,
// bypassing its proxy.
func (c *Cluster) SendStrayOrder(p *Process, group string, generation uint64) {
	c.post(p.Address, engine.PathOrders, engine.Order{
		Kind:        engine.OrderLoad,
		Group:       fleet.GroupID(group),
		Weights:     "stray",
		Fence:       fleet.Fence{Epoch: 1, Generation: generation},
		Incarnation: c.Report(p).Incarnation,
	})
}

// StartDraining makes an endpoint report that it is draining.
func (c *Cluster) StartDraining(p *Process) { c.post(p.Address, "/standin/leave", struct{}{}) }

// Partition partitions entry instances from processes: connections stay open, but no
// data passes in either direction.
func Partition(from []*Entry, to ...*Process) {
	setFaults(from, to, faultproxy.Fault{StallUpstream: true, StallDownstream: true})
}

// Heal removes the faults set by Partition.
func Heal(from []*Entry, to ...*Process) { setFaults(from, to, faultproxy.Fault{}) }

func setFaults(from []*Entry, to []*Process, f faultproxy.Fault) {
	for _, p := range to {
		for _, e := range from {
			p.Proxy.SetFault(e.Source, f)
		}
	}
}

// EntriesIn returns the entry instances of a data centre.
func (c *Cluster) EntriesIn(dc string) []*Entry {
	var out []*Entry
	for _, e := range c.Entries {
		if e.DataCentre == dc {
			out = append(out, e)
		}
	}
	return out
}

// OtherEntries returns the other entry instances of the same data centre.
func (c *Cluster) OtherEntries(one *Entry) []*Entry {
	return slices.DeleteFunc(c.EntriesIn(one.DataCentre), func(e *Entry) bool { return e == one })
}

// Processes returns the process of each entry instance.
func Processes(list []*Entry) []*Process {
	var out []*Process
	for _, e := range list {
		out = append(out, e.Process)
	}
	return out
}

// Controller waits until a data centre has a controller and returns it.
func (c *Cluster) Controller(dc string) *Entry {
	c.t.Helper()
	var holder *Entry
	c.Eventually("a controller is known in "+dc, func() bool {
		for _, e := range c.EntriesIn(dc) {
			s, ok := e.Status()
			if !ok {
				continue
			}
			for _, other := range c.EntriesIn(dc) {
				if other.Name == s.Controller {
					holder = other
					return true
				}
			}
		}
		return false
	})
	return holder
}

// Groups reads the groups of a data centre from the store and checks that no
// instance is a member of two of them.
func (c *Cluster) Groups(dc string) []fleet.Group {
	c.t.Helper()
	rows, err := c.PlatformClient.Scan(c.t.Context(), "dc/"+dc+"/g/")
	require.NoError(c.t, err)
	owner := map[fleet.InstanceID]fleet.GroupID{}
	var out []fleet.Group
	for _, row := range rows {
		var g fleet.Group
		require.NoError(c.t, json.Unmarshal(row.Value, &g))
		if g.Deleted {
			continue
		}
		for _, m := range g.Members {
			require.Empty(c.t, owner[m.Instance], "instance %s is in two groups", m.Instance)
			owner[m.Instance] = g.ID
		}
		out = append(out, g)
	}
	return out
}
