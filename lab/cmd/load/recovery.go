package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// recoveryCommand brings faults about and measures the time to a steady
// state, with the default settings.
type recoveryCommand struct{ rounds int }

func (*recoveryCommand) Name() string     { return "recovery" }
func (*recoveryCommand) Synopsis() string { return "time to a steady state after each kind of fault" }
func (*recoveryCommand) Usage() string    { return "recovery [-rounds N]\n" }

func (c *recoveryCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.rounds, "rounds", 3, "how often each fault is brought about")
}

// recoveryBed is two data centres of three entry instances and nine engines.
type recoveryBed struct {
	*cluster.Cluster
	near, far []*cluster.Entry
	revision  configuration.Revision
}

const (
	recoveryGroups = 2
	recoveryLoad   = "500ms"
)

func newRecoveryBed(t *session) *recoveryBed {
	binaries, err := cluster.Build(t.TempDir(), false)
	if err != nil {
		t.Fatalf("%v", err)
	}
	b := &recoveryBed{Cluster: cluster.New(t, binaries)}
	b.Tuning = "[log]\nlevel = warn\n"
	for _, dc := range []string{"near", "far"} {
		b.AddEngines(dc, dc, recoveryGroups*4+1, "-load-time", recoveryLoad)
		for i := range 3 {
			b.AddEntry(fmt.Sprintf("entry-%s-%d", dc, i), dc)
		}
	}
	b.near, b.far = b.In("near"), b.In("far")
	b.revision = b.Submit(b.near[0], b.template(0), 0)
	b.WaitServing("near", "load", recoveryGroups)
	b.WaitServing("far", "load", recoveryGroups)
	return b
}

// template returns the template with one value that changes.
func (b *recoveryBed) template(n int) string {
	text := strings.Replace(fmt.Sprintf(loadTemplate, recoveryGroups), "deadline = 5m", fmt.Sprintf("deadline = %ds", 300+n), 1)
	return strings.Replace(text, "model = load", "model = load\nweight_downtime = 1000\nweight_stranded = 0.001", 1)
}

// until measures the time to a condition.
func (b *recoveryBed) until(what string, condition func() bool) time.Duration {
	start := time.Now()
	b.Eventually(what, condition)
	return time.Since(start)
}

// all reports whether every entry instance sees so many groups serve, none of
// them with a generation of the list.
func all(list []*cluster.Entry, groups int, without ...uint64) bool {
	for _, e := range list {
		serving := e.Serving("load")
		if len(serving) != groups {
			return false
		}
		for _, g := range serving {
			if slices.Contains(without, g.Generation) {
				return false
			}
		}
	}
	return true
}

// spare waits until an endpoint is idle and known to be so.
func (b *recoveryBed) spare(p *cluster.Process) {
	b.Eventually("the member is a spare again", func() bool {
		report, err := cluster.TryReport(p)
		return err == nil && report.Group == "" && report.Weights != ""
	})
}

func (b *recoveryBed) victim(dc string, rank int) (*cluster.Process, fleet.Group) {
	g := b.Groups(dc)[0]
	return b.Endpoints[string(g.Members[rank].Instance)], g
}

// loseMember harms a member and measures until nobody sends to the group, and
// until it is repaired.
func (b *recoveryBed) loseMember(harm, undo func(*cluster.Process)) []time.Duration {
	p, g := b.victim("near", 1)
	start := time.Now()
	harm(p)
	down := b.until("the group is out of service", func() bool { return all(b.near, recoveryGroups-1) || all(b.near, recoveryGroups, g.Generation) })
	b.until("the group is repaired", func() bool { return all(b.near, recoveryGroups, g.Generation) })
	whole := time.Since(start)
	undo(p)
	b.spare(p)
	return []time.Duration{down, whole}
}

func (c *recoveryCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &session{}
	return t.run(func() {
		b := newRecoveryBed(t)
		w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
		fmt.Fprintln(w, "fault\tseconds, each round")
		for _, step := range b.steps() {
			var rows [][]time.Duration
			for round := range c.rounds {
				rows = append(rows, step.run(round))
			}
			for i, name := range step.names {
				line := name
				for _, row := range rows {
					line += fmt.Sprintf("\t%.2f", row[i].Seconds())
				}
				fmt.Fprintln(w, line)
			}
		}
		_ = w.Flush()
	})
}

type recoveryStep struct {
	names []string
	run   func(round int) []time.Duration
}

func (b *recoveryBed) steps() []recoveryStep {
	return []recoveryStep{
		{[]string{"configuration: accepted to in force at all six"}, b.configure},
		{[]string{"member killed: until nobody sends to the group", "member killed: until repaired with the warm spare"}, func(int) []time.Duration {
			return b.loseMember(b.Kill, b.Restart)
		}},
		{[]string{"member frozen: until nobody sends to the group", "member frozen: until repaired with the warm spare"}, func(int) []time.Duration {
			return b.loseMember(b.Freeze, b.Thaw)
		}},
		{[]string{"controller killed: until another has the lease", "controller and member killed: until repaired"}, b.loseController},
		{[]string{"platform out 10 s: from its return until a change is in force", "platform out 10 s: from its return until a controller acts"}, b.outage},
		{[]string{"data centre cut off 10 s: from the heal until it has the change"}, b.cut},
		{[]string{"all entry instances replaced: until all serve again"}, b.replace},
	}
}

func (b *recoveryBed) submit(e *cluster.Entry, round int) {
	b.revision = b.Submit(e, b.template(int(b.revision)*10+round+1), b.revision)
}

func (b *recoveryBed) inForce(list []*cluster.Entry) func() bool {
	return func() bool {
		for _, e := range list {
			if s, ok := e.Status(); !ok || s.Configuration != b.revision {
				return false
			}
		}
		return true
	}
}

func (b *recoveryBed) configure(round int) []time.Duration {
	b.submit(b.near[round%3], round)
	return []time.Duration{b.until("the change is in force", b.inForce(b.Entries))}
}

func (b *recoveryBed) loseController(int) []time.Duration {
	old := b.Controller("near")
	p, g := b.victim("near", 2)
	b.Kill(old.Process)
	b.Kill(p)
	rest := b.Others(old)
	start := time.Now()
	taken := b.until("another has the lease", func() bool {
		s, ok := rest[0].Status()
		return ok && s.Controller != old.Name
	})
	b.Eventually("the group is repaired", func() bool { return all(rest, recoveryGroups, g.Generation) })
	whole := time.Since(start)
	b.Restart(old.Process)
	b.Restart(p)
	b.Eventually("all serve", func() bool { return all(b.near, recoveryGroups) })
	b.spare(p)
	return []time.Duration{taken, whole}
}

const faultTime = 10 * time.Second

func (b *recoveryBed) outage(round int) []time.Duration {
	p, g := b.victim("near", 1)
	b.SetPlatformFaults(platformstandin.Faults{Down: true})
	time.Sleep(faultTime)
	b.Kill(p)
	b.Eventually("the group is out of service", func() bool { return all(b.near, recoveryGroups-1) })
	b.SetPlatformFaults(platformstandin.Faults{})
	start := time.Now()
	b.submit(b.near[0], round)
	change := b.until("the change is in force", b.inForce(b.Entries))
	b.Eventually("the group is repaired", func() bool { return all(b.near, recoveryGroups, g.Generation) })
	acts := time.Since(start)
	b.Restart(p)
	b.spare(p)
	return []time.Duration{change, acts}
}

func (b *recoveryBed) cut(round int) []time.Duration {
	cluster.Cut(b.far, b.Platform)
	cluster.Cut(b.far, cluster.Processes(b.near)...)
	cluster.Cut(b.near, cluster.Processes(b.far)...)
	b.submit(b.near[0], round)
	time.Sleep(faultTime)
	cluster.Heal(b.far, b.Platform)
	cluster.Heal(b.far, cluster.Processes(b.near)...)
	cluster.Heal(b.near, cluster.Processes(b.far)...)
	return []time.Duration{b.until("the change is in force", b.inForce(b.far))}
}

func (b *recoveryBed) replace(int) []time.Duration {
	for _, e := range b.Entries {
		b.Kill(e.Process)
	}
	for _, e := range b.Entries {
		b.Restart(e.Process)
	}
	return []time.Duration{b.until("all serve", func() bool { return all(b.Entries, recoveryGroups) })}
}
