package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment is a part of tostared: its three zones with one machine in each.
var zones = []string{"oviedo", "santander", "lugo"}

const (
	region  = "norte"
	service = "tienda"
	host    = "shop.example"
	tenant  = "roaster"
	apiKey  = "review-key-of-the-roaster"
)

// settingsTemplate is deploy/entry.ini with the bounds of tostared filled in.
const settingsTemplate = `[interface]
kind = platform
[node]
name = edge-%[1]s-1
data_centre = %[1]s
data_centres = %[2]s
regions = %[3]s
first_start = %[9]t
[listen]
callers = %[4]s
ready = %[5]s
peers = %[6]s
metrics = %[7]s
[peers]
key = entry-instances-of-this-deployment
seeds = %[8]s
[store]
address = %[10]s
[limits]
memory_mb = 284
cores = 0.4
[retries]
ratio = 0.2
slack = 134
window = 10s
[log]
level = info
[timing]
stop_bound = 8s
[policy]
overload_control = true
first_offset = true
free_weight = true
affinity = 8
connection_bound = true
caller_weight = 0.9
`

// machine is an entry instance.
type machine struct {
	zone     string
	frontend string
	ready    string
	peers    string
	metrics  string
	command  *exec.Cmd
	done     chan struct{}
}

// environment has all processes and stand-ins of a case.
type environment struct {
	daemon   string
	dir      string
	start    time.Time
	store    *store
	machines []*machine
	workers  []*worker

	mu     sync.Mutex
	file   *os.File
	closed bool
}

func newEnvironment(daemon, recordFile string) (*environment, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	return &environment{daemon: daemon, dir: dir, start: time.Now(), file: file}, nil
}

// record writes a line to the record.
func (e *environment) record(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	_, _ = fmt.Fprintf(e.file, "%8.3f %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// recordWriter writes what the standard library logs to the record, such as bytes that a client got
// while it waited for no answer.
type recordWriter struct{ e *environment }

func (w recordWriter) Write(p []byte) (int, error) {
	w.e.record("log: %.200q", p)
	return len(p), nil
}

// Ports of the entry instances are below those that the kernel gives to outgoing connections.
const (
	firstPort    = 12_000
	lastPort     = 30_000
	portAttempts = 50
)

// listenBelowEphemeral listens on a free port of an IP.
func listenBelowEphemeral(ip string) (net.Listener, error) {
	var err error
	for range portAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return listener, nil
		}
	}
	return nil, err
}

// startAll starts the store, workers with so many slots in turn in the zones, and the entry instances,
// and waits until these are ready.
func (e *environment) startAll(workers, slots int, handle handler, routes []route) error {
	var err error
	if e.store, err = startStore(); err != nil {
		return err
	}
	for i := range workers {
		w, err := startWorker(e, fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], slots, handle)
		if err != nil {
			return err
		}
		e.workers = append(e.workers, w)
	}
	if err := e.store.putConfiguration(1, routes); err != nil {
		return err
	}
	for i, zone := range zones {
		m, err := newMachine(zone, fmt.Sprintf("127.77.%d.1", i+1))
		if err != nil {
			return err
		}
		e.machines = append(e.machines, m)
	}
	for _, m := range e.machines {
		if err := e.launch(m, true); err != nil {
			return err
		}
	}
	return e.awaitReady(20 * time.Second)
}

func newMachine(zone, ip string) (*machine, error) {
	m := &machine{zone: zone}
	for _, address := range []*string{&m.frontend, &m.ready, &m.peers, &m.metrics} {
		listener, err := listenBelowEphemeral(ip)
		if err != nil {
			return nil, err
		}
		// All are held until the last one is found, so that they differ.
		defer listener.Close()
		*address = listener.Addr().String()
	}
	return m, nil
}

// launch starts the process of a machine with the command of the deploy file.
func (e *environment) launch(m *machine, first bool) error {
	var seeds, regions []string
	for _, other := range e.machines {
		seeds = append(seeds, other.peers)
	}
	for _, zone := range zones {
		regions = append(regions, zone+":"+region)
	}
	text := fmt.Sprintf(settingsTemplate, m.zone, strings.Join(zones, ","), strings.Join(regions, ","), m.frontend, m.ready, m.peers, m.metrics,
		strings.Join(seeds, ","), first, e.store.address)
	path := filepath.Join(e.dir, m.zone+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.dir, m.zone+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(e.daemon, "serve", "-settings", path)
	m.command.Stdout, m.command.Stderr = log, log
	// The process ends with the driver, whatever ends that.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.done = done
	go func() {
		_ = m.command.Wait()
		close(done)
	}()
	e.record("started %s at %s", m.zone, m.frontend)
	return nil
}

// isReady asks a machine whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (e *environment) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range e.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(e.machines) {
			e.record("all machines are ready")
			return nil
		}
	}
	for _, m := range e.machines {
		e.record("%s ready: %t, log: %s", m.zone, m.isReady(), e.lastLines(m))
	}
	return errors.New("the machines did not become ready")
}

// lastLines returns the end of a machine's log.
func (e *environment) lastLines(m *machine) string {
	const most = 1000
	text, _ := os.ReadFile(filepath.Join(e.dir, m.zone+".log"))
	return string(text[max(0, len(text)-most):])
}

// close ends all processes and stand-ins.
func (e *environment) close() {
	for _, m := range e.machines {
		if m.command != nil {
			_ = m.command.Process.Kill()
			<-m.done
		}
	}
	for _, w := range e.workers {
		w.stop()
	}
	if e.store != nil {
		e.store.stop()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	}
}
