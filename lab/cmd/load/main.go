// Command load measures the latency, memory and CPU cost of entry instances with
// stand-in endpoints on loopback.
//
//	load pair     added latency to first token and between tokens, at half load
//	load streams  memory by the number of concurrent streams
//	load cpu      CPU time per request and token
//	load steady   control-plane overhead of an idle data centre
//	load recovery time to recover from each kind of fault
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&pairCommand{}, "")
	subcommands.Register(&streamsCommand{}, "")
	subcommands.Register(&cpuCommand{}, "")
	subcommands.Register(&steadyCommand{}, "")
	subcommands.Register(&recoveryCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

const workspaceKey = "load-workspace-key"

const loadTemplate = `
[template]
name = load
model = load
replica_size = 4

[capacity]
time_zone = UTC
groups = 00:00=%d

[workspace load]
key = ` + workspaceKey + `
max_in_flight = 1000000
deadline = 5m
`

// testbed is one entry instance with groups of stand-in engines.
type testbed struct {
	*cluster.Cluster
	entry *cluster.Entry
	// heads are the targets of direct requests.
	heads []groupHead
}

type groupHead struct {
	address string
	group   fleet.Group
}

func newTestbed(t *standaloneT, groups int, args ...string) *testbed {
	binaries, err := cluster.Build(t.TempDir(), false)
	if err != nil {
		t.Fatalf("%v", err)
	}
	c := cluster.New(t, binaries)
	c.AddEngines("dc", "rack", groups*4, args...)
	b := &testbed{Cluster: c, entry: c.AddEntry("entry", "dc")}
	c.Submit(b.entry, fmt.Sprintf(loadTemplate, groups), 0)
	c.WaitServing("dc", "load", groups)
	for _, g := range c.Groups("dc") {
		b.heads = append(b.heads, groupHead{c.Endpoints[string(g.Leader())].Address, g})
	}
	return b
}

// standaloneT implements cluster.T outside of a test.
type standaloneT struct {
	cleanups []func()
	failed   bool
}

type failNowPanic struct{}

// run calls f and then the cleanups, also if f calls FailNow.
func (s *standaloneT) run(f func()) (status subcommands.ExitStatus) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(failNowPanic); !ok {
				panic(r)
			}
		}
		for i := len(s.cleanups) - 1; i >= 0; i-- {
			s.cleanups[i]()
		}
		if s.failed {
			status = subcommands.ExitFailure
		}
	}()
	f()
	return subcommands.ExitSuccess
}

func (s *standaloneT) Helper() {}

func (s *standaloneT) Errorf(format string, args ...any) {
	s.failed = true
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

func (s *standaloneT) FailNow() {
	s.failed = true
	panic(failNowPanic{})
}

func (s *standaloneT) Fatalf(format string, args ...any) {
	s.Errorf(format, args...)
	s.FailNow()
}

func (s *standaloneT) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
func (s *standaloneT) Failed() bool                    { return s.failed }
func (s *standaloneT) Cleanup(f func())                { s.cleanups = append(s.cleanups, f) }
func (s *standaloneT) Context() context.Context        { return context.Background() }

func (s *standaloneT) TempDir() string {
	dir, err := os.MkdirTemp("", "ridgehinge-load")
	if err != nil {
		s.Fatalf("%v", err)
	}
	s.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
