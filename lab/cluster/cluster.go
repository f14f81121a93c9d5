// Package cluster runs entry instances and stand-ins as real processes, each
// behind a fault-injecting proxy, for integration tests.
//
// Every process has a loopback IP of its own, so that a proxy can tell who
// connects to it.
package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/internal/operatorapi"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// Keys of the test clusters.
const (
	OperatorKey = "test-operator-key-00"
	peerKey     = "test-peer-key-000000"
)

// WaitBound is how long a condition may take to come about.
const WaitBound = 40 * time.Second

const pollInterval = 20 * time.Millisecond

// Process is one process and the proxy before it.
type Process struct {
	Name  string
	Proxy *faultproxy.Proxy
	// Source is the IP that the process's own connections leave from; it is
	// only valid for entry instances.
	Source  netip.Addr
	Address string
	args    []string
	binary  string
	command *exec.Cmd
	log     *os.File
	running bool
}

// Entry is one entry instance.
type Entry struct {
	*Process
	DataCentre string
	Callers    string
	Operator   string
}

// T is what a cluster needs of a test; the load tool brings its own.
type T interface {
	require.TestingT
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
	Cleanup(func())
	TempDir() string
	Context() context.Context
}

// Cluster is a set of processes on loopback.
type Cluster struct {
	t         T
	dir       string
	binaries  Binaries
	Platform  *Process
	Entries   []*Entry
	Endpoints map[string]*Process
	instances map[string]fleet.Instance
	// Control has a line of its own to the platform, without faults.
	Control *platform.Client
	nextIP  byte
	// Tuning replaces the quick settings that tests run with.
	Tuning string
	// requests numbers the submissions.
	requests int
}

// Binaries are the programs that clusters run.
type Binaries struct {
	Daemon  string
	StandIn string
}

// Build builds the programs into a folder. It is called once, from TestMain.
func Build(dir string, race bool) (Binaries, error) {
	b := Binaries{filepath.Join(dir, "ridgehinged"), filepath.Join(dir, "standin")}
	targets := map[string]string{
		b.Daemon:  "github.com/ridgehinge/ridgehinge/cmd/ridgehinged",
		b.StandIn: "github.com/ridgehinge/ridgehinge/lab/cmd/standin",
	}
	for out, target := range targets {
		args := []string{"build", "-o", out}
		if race && out == b.Daemon {
			args = append(args, "-race")
		}
		text, err := exec.Command("go", append(args, target)...).CombinedOutput()
		if err != nil {
			return b, fmt.Errorf("build %s: %w\n%s", target, err, text)
		}
	}
	return b, nil
}

// New starts a platform stand-in.
func New(t T, b Binaries) *Cluster {
	t.Helper()
	c := &Cluster{
		t:         t,
		dir:       t.TempDir(),
		binaries:  b,
		Tuning:    tuning,
		Endpoints: map[string]*Process{},
		instances: map[string]fleet.Instance{},
	}
	t.Cleanup(c.stop)
	address := c.freeAddress("127.0.0.1")
	c.Platform = c.start("platform", address, b.StandIn, "platform", "-listen", address)
	c.Control = platform.New(platform.Options{Address: address, Timeout: 2 * time.Second})
	c.Eventually("the platform answers", func() bool {
		_, _, err := c.Control.Instances(t.Context(), "", 0)
		return err == nil
	})
	return c
}

func (c *Cluster) freeAddress(ip string) string {
	listener, err := net.Listen("tcp", ip+":0")
	require.NoError(c.t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// start runs a process with a proxy before its address.
func (c *Cluster) start(name, address, binary string, args ...string) *Process {
	p := c.prepare(name, address, binary, args...)
	c.run(p)
	return p
}

// prepare sets the proxy of a process up without starting the process.
func (c *Cluster) prepare(name, address, binary string, args ...string) *Process {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	require.NoError(c.t, err)
	proxy, err := faultproxy.Listen("127.0.0.1:0", address)
	require.NoError(c.t, err)
	return &Process{Name: name, Proxy: proxy, Address: address, binary: binary, args: args, log: log}
}

func (c *Cluster) run(p *Process) {
	p.command = exec.Command(p.binary, p.args...)
	p.command.Stdout = p.log
	p.command.Stderr = p.log
	require.NoError(c.t, p.command.Start())
	p.running = true
}

// PID returns the process's number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends a process at once.
func (c *Cluster) Kill(p *Process) {
	if !p.running {
		return
	}
	p.running = false
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// Restart starts a process again after Kill or Terminate.
func (c *Cluster) Restart(p *Process) { c.run(p) }

// Freeze stops a process as if it had been forgotten; Thaw lets it go on.
func (c *Cluster) Freeze(p *Process) {
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGSTOP))
}

// Thaw lets a frozen process go on.
func (c *Cluster) Thaw(p *Process) {
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGCONT))
}

// Terminate asks a process to stop; the channel is closed when it has.
func (c *Cluster) Terminate(p *Process) <-chan error {
	require.NoError(c.t, p.command.Process.Signal(syscall.SIGTERM))
	p.running = false
	done := make(chan error, 1)
	command := p.command
	go func() { done <- command.Wait() }()
	return done
}

func (c *Cluster) stop() {
	for _, e := range c.Entries {
		c.Kill(e.Process)
		e.Proxy.Close()
		c.checkLog(e.Process)
	}
	for _, p := range c.Endpoints {
		c.Kill(p)
		p.Proxy.Close()
	}
	if c.Platform != nil {
		c.Kill(c.Platform)
		c.Platform.Proxy.Close()
	}
}

// checkLog fails the test if a daemon met a violated invariant, a data race
// or a panic, and shows the log's end if the test failed for another reason.
func (c *Cluster) checkLog(p *Process) {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return
	}
	for _, sign := range []string{"invariant: violated", "DATA RACE", "panic:"} {
		if i := bytes.Index(text, []byte(sign)); i >= 0 {
			c.t.Errorf("%s: %s", p.Name, text[i:min(len(text), i+3000)])
		}
	}
	if c.t.Failed() {
		c.t.Logf("the end of %s's log:\n%s", p.Name, text[max(0, len(text)-6000):])
	}
}

// AddEndpoint starts a model engine or a plain service.
func (c *Cluster) AddEndpoint(in fleet.Instance, args ...string) *Process {
	address := c.freeAddress("127.0.0.1")
	all := append([]string{"endpoint", "-listen", address, "-id", string(in.ID)}, args...)
	if !in.ChecksFences {
		all = append(all, "-checks-fences=false")
	}
	p := c.start(string(in.ID), address, c.binaries.StandIn, all...)
	in.Address = p.Proxy.Address()
	c.Endpoints[string(in.ID)] = p
	c.PutInstance(in)
	return p
}

// HostEndpoint serves an endpoint inside this process, for measurements with
// more endpoints than a machine should have processes.
func (c *Cluster) HostEndpoint(in fleet.Instance, o enginestandin.Options) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	server := &http.Server{Handler: enginestandin.New(o).Handler()}
	c.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	in.Address = listener.Addr().String()
	c.PutInstance(in)
}

// AddEngines starts model engines in one fabric domain.
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

// Instance returns an instance as the platform lists it.
func (c *Cluster) Instance(id string) fleet.Instance { return c.instances[id] }

// PutInstance changes the platform's instance list.
func (c *Cluster) PutInstance(in fleet.Instance) {
	c.instances[string(in.ID)] = in
	c.post(c.Platform.Address, "/standin/instance", in)
}

// SetPlatformFaults switches the platform's own faults.
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

// tuning makes the daemons quick enough for tests, with room for a busy
// machine: no wait here is shorter than several scheduling delays.
const tuning = `
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
	c.nextIP++
	ip := fmt.Sprintf("127.0.1.%d", c.nextIP)
	e := &Entry{
		DataCentre: dc,
		Callers:    c.freeAddress(ip),
		Operator:   c.freeAddress(ip),
	}
	address := c.freeAddress(ip)
	path := filepath.Join(c.dir, name+".ini")
	e.Process = c.prepare(name, address, c.binaries.Daemon, "serve", "-settings", path)
	e.Source = netip.MustParseAddr(ip)
	text := fmt.Sprintf("[node]\nname = %s\ndata_centre = %s\n[listen]\ncallers = %s\noperator = %s\npeers = %s\npeers_advertised = %s\n"+
		"[keys]\npeers = %s\noperator = %s\n[platform]\naddress = %s\n%s",
		name, dc, e.Callers, e.Operator, address, e.Proxy.Address(), peerKey, OperatorKey, c.Platform.Proxy.Address(), c.Tuning)
	require.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))
	c.run(e.Process)
	c.Entries = append(c.Entries, e)
	c.PutInstance(fleet.Instance{
		ID:         fleet.InstanceID(name),
		DataCentre: fleet.DataCentre(dc),
		Kind:       fleet.KindEntry,
		Address:    e.Proxy.Address(),
	})
	return e
}

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

// Eventually waits for a condition; it fails the test after WaitBound.
func (c *Cluster) Eventually(what string, condition func() bool) {
	c.t.Helper()
	end := time.Now().Add(WaitBound)
	for !condition() {
		if time.Now().After(end) {
			c.t.Fatalf("within %s it did not come about that %s", WaitBound, what)
		}
		time.Sleep(pollInterval)
	}
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
		if g.Gone {
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
