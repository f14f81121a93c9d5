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

// Client returns an operator's client of an entry instance.
func (e *Entry) Client() *operatorapi.Client {
	return operatorapi.NewClient(e.Operator, OperatorKey)
}

// Status returns what an entry instance knows, and false when it gave no
// answer.
func (e *Entry) Status() (control.Status, bool) {
	s, err := e.Client().Status()
	return s, err == nil
}

// Submit submits a template through an entry instance, based on a revision.
// It repeats the submission under one request id until it has an answer.
func (c *Cluster) Submit(e *Entry, text string, base configuration.Revision) configuration.Revision {
	c.t.Helper()
	c.requests++
	requestID := fmt.Sprintf("request-%d", c.requests)
	var accepted confstore.Accepted
	c.Eventually("the template is accepted", func() bool {
		var err error
		accepted, err = e.Client().Submit("test.ini", []byte(text), base, requestID)
		return err == nil
	})
	return accepted.Revision
}

// Serving returns the groups of a template that an entry instance may send
// requests to.
func (e *Entry) Serving(template string) []control.GroupStatus {
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

// WaitServing waits until the entry instances of a data centre all see so
// many groups of a template serve.
func (c *Cluster) WaitServing(dc, template string, groups int) {
	c.t.Helper()
	c.Eventually(fmt.Sprintf("%d groups of %s serve in %s", groups, template, dc), func() bool {
		for _, e := range c.Entries {
			if e.DataCentre == dc && e.running && len(e.Serving(template)) != groups {
				return false
			}
		}
		return true
	})
}

// Runs counts how often requests with a mark have started on any endpoint.
func (c *Cluster) Runs(mark string) int {
	total := 0
	for _, p := range c.Endpoints {
		if !p.running {
			continue
		}
		response, err := http.Get("http://" + p.Address + "/standin/runs?mark=" + mark)
		require.NoError(c.t, err)
		var n int
		_, err = fmt.Fscan(response.Body, &n)
		require.NoError(c.t, err)
		require.NoError(c.t, response.Body.Close())
		total += n
	}
	return total
}

// Report returns what an endpoint says about itself, past its proxy.
func (c *Cluster) Report(p *Process) fleet.Report {
	report, err := TryReport(p)
	require.NoError(c.t, err)
	return report
}

// TryReport is Report for an endpoint that may not be up yet.
func TryReport(p *Process) (fleet.Report, error) {
	var report fleet.Report
	response, err := http.Get("http://" + p.Address + engine.PathStatus)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// Order sends an endpoint an order of nobody's, past its proxy.
func (c *Cluster) Order(p *Process, group string, generation uint64) {
	c.post(p.Address, engine.PathOrders, engine.Order{
		Kind:        engine.OrderLoad,
		Group:       fleet.GroupID(group),
		Weights:     "stray",
		Fence:       fleet.Fence{Epoch: 1, Generation: generation},
		Incarnation: c.Report(p).Incarnation,
	})
}

// Leave makes an endpoint say that it is leaving.
func (c *Cluster) Leave(p *Process) { c.post(p.Address, "/standin/leave", struct{}{}) }

// Cut cuts entry instances off from processes, in both directions, in the
// way that a network does: connections hang.
func Cut(from []*Entry, to ...*Process) {
	setFault(from, to, faultproxy.Fault{HoldUp: true, HoldDown: true})
}

// Heal ends Cut.
func Heal(from []*Entry, to ...*Process) { setFault(from, to, faultproxy.Fault{}) }

func setFault(from []*Entry, to []*Process, f faultproxy.Fault) {
	for _, p := range to {
		for _, e := range from {
			p.Proxy.Set(e.Source, f)
		}
	}
}

// In returns the entry instances of a data centre.
func (c *Cluster) In(dc string) []*Entry {
	var out []*Entry
	for _, e := range c.Entries {
		if e.DataCentre == dc {
			out = append(out, e)
		}
	}
	return out
}

// Others returns the entry instances of the same data centre but one.
func (c *Cluster) Others(one *Entry) []*Entry {
	return slices.DeleteFunc(c.In(one.DataCentre), func(e *Entry) bool { return e == one })
}

// Processes returns the processes of entry instances.
func Processes(list []*Entry) []*Process {
	var out []*Process
	for _, e := range list {
		out = append(out, e.Process)
	}
	return out
}

// Controller returns the entry instance that holds a data centre's lease.
func (c *Cluster) Controller(dc string) *Entry {
	c.t.Helper()
	var holder *Entry
	c.Eventually("a controller is known in "+dc, func() bool {
		for _, e := range c.In(dc) {
			s, ok := e.Status()
			if !ok {
				continue
			}
			for _, other := range c.In(dc) {
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

// Groups reads the groups of a data centre from the table and checks that no
// instance is in two of them.
func (c *Cluster) Groups(dc string) []fleet.Group {
	c.t.Helper()
	rows, err := c.Control.Scan(c.t.Context(), "dc/"+dc+"/g/")
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
