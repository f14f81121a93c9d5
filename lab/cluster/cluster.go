// Package cluster runs entry instances and stand-ins as real processes, each
// behind a fault-injecting proxy, for integration tests.
//
// Every process has a loopback IP of its own, so that a proxy can tell who
// connects to it.
package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/dev"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
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
	address, err := dev.FreeAddress(ip)
	require.NoError(c.t, err)
	return address
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
		c.checkLog(p)
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
	if c.t.Failed() && len(text) > 0 {
		c.t.Logf("the end of %s's log:\n%s", p.Name, text[max(0, len(text)-6000):])
	}
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
