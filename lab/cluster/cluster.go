// Package cluster runs entry instances and stand-ins as real processes, each
// behind a fault-injecting proxy, for integration tests.
//
// Each entry instance has its own loopback IP, by which the proxies identify
// the source of a connection.
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

// API keys of the test clusters.
const (
	OperatorKey = "test-operator-key-00"
	peerKey     = "test-peer-key-000000"
)

const eventuallyTimeout = 40 * time.Second

const pollInterval = 20 * time.Millisecond

// Process is a process with a proxy in front of it.
type Process struct {
	Name  string
	Proxy *faultproxy.Proxy
	// Source is the source IP of the process's outgoing connections. It is
	// set for entry instances only.
	Source  netip.Addr
	Address string
	args    []string
	binary  string
	cmd     *exec.Cmd
	log     *os.File
	running bool
}

// T is the part of testing.TB that a cluster uses. The load tool has its own
// implementation.
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
	// PlatformClient bypasses the platform's proxy and so its faults.
	PlatformClient *platform.Client
	lastIP         byte
	// Tuning is the settings text of the daemons after the addresses and
	// keys; New sets short timeouts for tests.
	Tuning string
	// submissions numbers the request ids of Submit.
	submissions int
}

// Binaries are the paths of the executables that a cluster runs.
type Binaries struct {
	Daemon  string
	StandIn string
}

// Build compiles the executables into dir. If race is set, the daemon has the
// race detector enabled.
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

// New returns a cluster of one process, a platform stand-in.
func New(t T, b Binaries) *Cluster {
	t.Helper()
	c := &Cluster{
		t:         t,
		dir:       t.TempDir(),
		binaries:  b,
		Tuning:    testTuning,
		Endpoints: map[string]*Process{},
		instances: map[string]fleet.Instance{},
	}
	t.Cleanup(c.cleanUp)
	address := c.freeAddress("127.0.0.1")
	c.Platform = c.startWithProxy("platform", address, b.StandIn, "platform", "-listen", address)
	c.PlatformClient = platform.New(platform.Options{Address: address, Timeout: 2 * time.Second})
	c.Eventually("the platform responds", func() bool {
		_, _, err := c.PlatformClient.Instances(t.Context(), "", 0)
		return err == nil
	})
	return c
}

func (c *Cluster) freeAddress(ip string) string {
	address, err := dev.FreeAddress(ip)
	require.NoError(c.t, err)
	return address
}

func (c *Cluster) startWithProxy(name, address, binary string, args ...string) *Process {
	p := c.newProcess(name, address, binary, args...)
	c.launch(p)
	return p
}

// newProcess creates a process and its proxy without starting the process.
func (c *Cluster) newProcess(name, address, binary string, args ...string) *Process {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	require.NoError(c.t, err)
	proxy, err := faultproxy.Listen("127.0.0.1:0", address)
	require.NoError(c.t, err)
	return &Process{Name: name, Proxy: proxy, Address: address, binary: binary, args: args, log: log}
}

func (c *Cluster) launch(p *Process) {
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	require.NoError(c.t, p.cmd.Start())
	p.running = true
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL to a running process and waits for its exit.
func (c *Cluster) Kill(p *Process) {
	if !p.running {
		return
	}
	p.running = false
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// Restart starts a process again after Kill or Terminate.
func (c *Cluster) Restart(p *Process) { c.launch(p) }

// Freeze suspends a process with SIGSTOP.
func (c *Cluster) Freeze(p *Process) {
	require.NoError(c.t, p.cmd.Process.Signal(syscall.SIGSTOP))
}

// Thaw resumes a frozen process.
func (c *Cluster) Thaw(p *Process) {
	require.NoError(c.t, p.cmd.Process.Signal(syscall.SIGCONT))
}

// Terminate sends SIGTERM to a process. The channel receives the result of
// Wait when the process has exited.
func (c *Cluster) Terminate(p *Process) <-chan error {
	require.NoError(c.t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.running = false
	done := make(chan error, 1)
	cmd := p.cmd
	go func() { done <- cmd.Wait() }()
	return done
}

func (c *Cluster) cleanUp() {
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

// checkLog fails the test if the process's log reports a violated invariant, a
// data race or a panic. If the test has failed, it prints the end of the log.
func (c *Cluster) checkLog(p *Process) {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return
	}
	for _, marker := range []string{"invariant: violated", "DATA RACE", "panic:"} {
		if i := bytes.Index(text, []byte(marker)); i >= 0 {
			c.t.Errorf("%s: %s", p.Name, text[i:min(len(text), i+3000)])
		}
	}
	if c.t.Failed() && len(text) > 0 {
		c.t.Logf("end of the log of %s:\n%s", p.Name, text[max(0, len(text)-6000):])
	}
}

// Eventually polls a condition and fails the test after a timeout.
func (c *Cluster) Eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %s waiting until %s", eventuallyTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}
