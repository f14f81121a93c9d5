// Command load measures one entry instance against direct calls to the same
// stand-in engine, all on loopback, bounded in count and time.
//
//	load pair     added time to first token and between tokens, at half load
//	load streams  memory by the number of concurrent streams
//	load cpu      processor time for each request and token
//	load steady   what control costs a data centre at rest, by its size
//	load recovery time to a steady state after each kind of fault
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

// bed is one entry instance before groups of stand-in engines.
type bed struct {
	*cluster.Cluster
	entry *cluster.Entry
	// leaders are the endpoints that requests go to, for direct calls.
	leaders []leader
}

type leader struct {
	address string
	group   fleet.Group
}

func newBed(t *session, groups int, args ...string) *bed {
	binaries, err := cluster.Build(t.TempDir(), false)
	if err != nil {
		t.Fatalf("%v", err)
	}
	c := cluster.New(t, binaries)
	c.AddEngines("dc", "rack", groups*4, args...)
	b := &bed{Cluster: c, entry: c.AddEntry("entry", "dc")}
	c.Submit(b.entry, fmt.Sprintf(loadTemplate, groups), 0)
	c.WaitServing("dc", "load", groups)
	for _, g := range c.Groups("dc") {
		b.leaders = append(b.leaders, leader{c.Endpoints[string(g.Leader())].Address, g})
	}
	return b
}

// session stands in for a test.
type session struct {
	cleanups []func()
	failed   bool
}

type sessionEnd struct{}

// run calls f and cleans up, whether f ends well or by Fatalf.
func (s *session) run(f func()) (status subcommands.ExitStatus) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(sessionEnd); !ok {
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

func (s *session) Helper() {}

func (s *session) Errorf(format string, args ...any) {
	s.failed = true
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

func (s *session) FailNow() {
	s.failed = true
	panic(sessionEnd{})
}

func (s *session) Fatalf(format string, args ...any) {
	s.Errorf(format, args...)
	s.FailNow()
}

func (s *session) Logf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
func (s *session) Failed() bool                    { return s.failed }
func (s *session) Cleanup(f func())                { s.cleanups = append(s.cleanups, f) }
func (s *session) Context() context.Context        { return context.Background() }

func (s *session) TempDir() string {
	dir, err := os.MkdirTemp("", "ridgehinge-load")
	if err != nil {
		s.Fatalf("%v", err)
	}
	s.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
