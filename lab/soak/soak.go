// Package soak runs entry instances as real processes on loopback against the
// emulated platform, injects faults from outside them at random, and checks the
// promises from what callers and endpoints see.
//
// Faults: connections to the store and to endpoints are delayed, reset, cut, or
// silenced one way or for good, by a proxy before each; processes are paused, killed, asked
// to stop and to reload by signals; the store refuses, falls silent, loses
// answers, carries writes out late and forgets its history; endpoints die, lose
// their rows, leave orders unanswered and carry them out late; endpoints crash, of
// themselves and by requests that come again and again, and start again under their ids;
// machines are suspended; another writer leaves rows among those of the endpoints;
// configurations follow each other; endpoints name limits of what they take, ask for cooldowns
// and leave by their own word; the store comes back from an older copy. Faults come in series
// and overlap.
//
// Before them all entry instances are killed again and again while answers break off, and
// after them the promises are looked at that hold only where nothing is amiss.
package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/dev"
	"github.com/ridgehinge/ridgehinge/internal/standin/advisorylog"
	"github.com/ridgehinge/ridgehinge/internal/standin/crashlog"
	"github.com/ridgehinge/ridgehinge/internal/standin/limitlog"
	"github.com/ridgehinge/ridgehinge/internal/standin/retrylog"
	"github.com/ridgehinge/ridgehinge/lab/faultproxy"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

// Options of one run.
type Options struct {
	Seed uint64
	// Daemon is the program that is run.
	Daemon string
	// Dir takes settings and logs.
	Dir string
	// Entries in each of the two data centres.
	Entries int
	// Workers of the model in each data centre.
	Workers int
	// Callers that send requests all the time.
	Callers int
	// Steps are the faults that are injected, one every StepPause.
	Steps     int
	StepPause time.Duration
}

const (
	// stopBound is the settings' bound of a planned stop, and stopSlack what the
	// process may take beyond it.
	stopBound = 5 * time.Second
	stopSlack = 5 * time.Second
	// calmBound is how long after the last fault every entry instance must
	// serve again, by the newest configuration.
	calmBound = 40 * time.Second
)

// crashBound is what the users allow of a request that ends endpoints, of nodes that have
// had no trouble for its grace.
var crashBound = crashlog.Bound{Ends: 3, Sends: 3, Grace: 3 * time.Second}

// retryBudget is the settings' budget of all entry instances together. Its slack is most of it,
// as at the start of a day: lives that each took their part of it would go far beyond.
var retryBudget = retrylog.Budget{Ratio: 0.05, Slack: 60, Window: 10 * time.Second}

// limitBound is what the users allow an endpoint to get that limits how much it takes.
var limitBound = limitlog.Bound{Factor: 1.5, Slack: 5, Window: 4 * time.Second, Grace: 3 * time.Second}

// advisoryBound is what the users allow an endpoint to get that has asked for a cooldown, or
// has said that it leaves.
var advisoryBound = advisorylog.Bound{Requests: 2, Grace: 500 * time.Millisecond, Drain: 2 * time.Second}

// process is one entry instance.
type process struct {
	name     string
	callers  string
	metrics  string
	settings string
	// suspensions is the file that says for how long its machine was suspended.
	suspensions string
	source      netip.Addr
	log         *os.File

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	paused  bool
	// suspended is for how long its machine was suspended in all.
	suspended time.Duration
}

// Run is one run of the soak.
type Run struct {
	options  Options
	platform *emulator.Platform
	random   *rand.Rand
	// silences draws which connections fall silent; apart, so that the other faults
	// of a seed stay what they were.
	silences *rand.Rand
	// copies draws when endpoints name limits and the store comes back from a copy.
	copies *rand.Rand
	// advisories draws when endpoints shed load and leave.
	advisories *rand.Rand
	entries    []*process
	// proxies stand before the store, the first, and before each endpoint.
	proxies []*faultproxy.Proxy
	version uint64
	// configuring keeps versions in order.
	configuring sync.Mutex

	mu sync.Mutex
	// broken lists the promises that were broken.
	broken []string
	// healed is when the last fault was over, zero until then.
	healed time.Time
	counts map[string]int
}

// Start starts the platform and the entry instances.
func Start(o Options) (*Run, error) {
	r := &Run{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), silences: rand.New(rand.NewPCG(o.Seed, 2)), copies: rand.New(rand.NewPCG(o.Seed, 3)), advisories: rand.New(rand.NewPCG(o.Seed, 4)), version: 1, counts: map[string]int{}}
	var err error
	r.platform, err = emulator.StartPlatform(o.Workers, r)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range 2 * o.Entries {
		p, peers, err := r.addEntry(i, seeds)
		if err != nil {
			r.Close()
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, peers)
		}
		r.entries = append(r.entries, p)
	}
	return r, nil
}

// Reach implements emulator.Network: it puts a proxy before an address of the platform's.
// Ports are below those that the kernel gives to connections of others, so that a proxy
// that is down for a while can listen again.
func (r *Run) Reach(address string) (string, error) {
	listens, err := dev.FreeAddress("127.0.0.1")
	if err != nil {
		return "", err
	}
	proxy, err := faultproxy.Listen(listens, address)
	if err != nil {
		return "", err
	}
	r.proxies = append(r.proxies, proxy)
	return proxy.Address(), nil
}

// Refuse implements emulator.Network.
func (r *Run) Refuse(reached string, refuse bool) {
	for _, proxy := range r.proxies {
		if proxy.Address() != reached {
			continue
		}
		if err := proxy.SetDown(refuse); err != nil {
			r.breakPromise("the harness: proxy %s: %v", reached, err)
		}
	}
}

var centres = []string{"north", "south"}

func (r *Run) addEntry(i int, seeds []string) (*process, string, error) {
	ip := fmt.Sprintf("127.0.2.%d", i+1)
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, "", err
	}
	name := fmt.Sprintf("entry-%d", i+1)
	p := &process{name: name, callers: addresses[0], metrics: addresses[3], source: netip.MustParseAddr(ip),
		settings: filepath.Join(r.options.Dir, name+".ini"), suspensions: filepath.Join(r.options.Dir, name+".suspended")}
	text := fmt.Sprintf("[interface]\nkind = platform\n[node]\nname = %s\ndata_centre = %s\ndata_centres = %s\nfirst_start = true\n"+
		"[listen]\ncallers = %s\nready = %s\npeers = %s\nmetrics = %s\n[peers]\nkey = soak-peer-key-0000\nseeds = %s\n"+
		"[store]\naddress = %s\n[retries]\nratio = %v\nslack = %v\nwindow = %s\nnodes = %d\n[timing]\nstop_notice = 500ms\nstop_bound = %s\n[log]\nlevel = info\n[tests]\nsuspension_file = %s\n",
		name, centres[i%len(centres)], strings.Join(centres, ","),
		addresses[0], addresses[1], addresses[2], addresses[3], strings.Join(seeds, ","), r.platform.Store, retryBudget.Ratio, retryBudget.Slack, retryBudget.Window, 2*r.options.Entries, stopBound, p.suspensions)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	if p.log, err = os.Create(filepath.Join(r.options.Dir, name+".log")); err != nil {
		return nil, "", err
	}
	return p, addresses[2], p.start(r.options.Daemon)
}

// freeAddresses returns addresses that nobody listens on.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		address, err := dev.FreeAddress(ip)
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

func (p *process) start(daemon string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	command := exec.Command(daemon, "serve", "-settings", p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.paused = command, done, false
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that the soak started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Broken returns the promises that were broken so far.
func (r *Run) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := append(append([]string{}, r.broken...), r.platform.Fleet.Broken()...)
	if err := r.platform.RetriesBeyond(retryBudget); err != nil {
		broken = append(broken, err.Error())
	}
	if err := r.platform.Crashes.Check(crashBound, r.isCalm); err != nil {
		broken = append(broken, err.Error())
	}
	if err := r.platform.Limits.Check(limitBound, r.isCalm); err != nil {
		broken = append(broken, err.Error())
	}
	if err := r.platform.Advisories.Check(advisoryBound, r.isCalm); err != nil {
		broken = append(broken, err.Error())
	}
	return broken
}

// Counts returns how often each outcome was seen.
func (r *Run) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

func (r *Run) breakPromise(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *Run) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

// Close ends all that the run started.
func (r *Run) Close() {
	for _, p := range r.entries {
		p.signal(syscall.SIGKILL)
		<-p.done
		_ = p.log.Close()
	}
	for _, proxy := range r.proxies {
		proxy.Close()
	}
	r.platform.Close()
}

// CheckLogs looks for violated invariants, panics and data races in the logs.
func (r *Run) CheckLogs() error {
	var errs []error
	for _, p := range r.entries {
		text, err := os.ReadFile(p.log.Name())
		if err != nil {
			return err
		}
		for _, sign := range []string{"invariant: violated", "DATA RACE", "panic:", "fatal error:"} {
			if i := bytes.Index(text, []byte(sign)); i >= 0 {
				errs = append(errs, fmt.Errorf("%s: %s", p.name, text[i:min(len(text), i+2000)]))
			}
		}
	}
	return errors.Join(errs...)
}

// configure puts the next version of the configuration into the store.
func (r *Run) configure() {
	r.configuring.Lock()
	defer r.configuring.Unlock()
	r.version++
	if err := r.platform.Configure(r.version, emulator.Models); err != nil {
		r.breakPromise("configure: %v", err)
	}
}

// drawEndpoint returns the id of any endpoint.
func (r *Run) drawEndpoint(random *rand.Rand) serving.EndpointID {
	centre := centres[random.IntN(len(centres))]
	if random.IntN(3) == 0 {
		return serving.EndpointID("s-" + centre)
	}
	return serving.EndpointID(fmt.Sprintf("m-%s-%d", centre, random.IntN(r.options.Workers)))
}

// drawWorker returns the id of a model worker.
func (r *Run) drawWorker() serving.EndpointID {
	return serving.EndpointID(fmt.Sprintf("m-%s-%d", centres[r.random.IntN(len(centres))], r.random.IntN(r.options.Workers)))
}
