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

// recoveryCommand injects faults and measures the recovery times with the default
// settings.
type recoveryCommand struct{ rounds int }

func (*recoveryCommand) Name() string     { return "recovery" }
func (*recoveryCommand) Synopsis() string { return "time to recover from each kind of fault" }
func (*recoveryCommand) Usage() string    { return "recovery [-rounds N]\n" }

func (c *recoveryCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.rounds, "rounds", 3, "number of repetitions of each fault")
}

// recoveryTestbed is two data centres of three entry instances and nine engines.
type recoveryTestbed struct {
	*cluster.Cluster
	near, far []*cluster.Entry
	revision  configuration.Revision
}

const (
	recoveryGroups   = 2
	recoveryLoadTime = "500ms"
)

func newRecoveryTestbed(t *standaloneT) *recoveryTestbed {
	binaries, err := cluster.Build(t.TempDir(), false)
	if err != nil {
		t.Fatalf("%v", err)
	}
	b := &recoveryTestbed{Cluster: cluster.New(t, binaries)}
	b.Tuning = "[log]\nlevel = warn\n"
	for _, dc := range []string{"near", "far"} {
		b.AddEngines(dc, dc, recoveryGroups*4+1, "-load-time", recoveryLoadTime)
		for i := range 3 {
			b.AddEntry(fmt.Sprintf("entry-%s-%d", dc, i), dc)
		}
	}
	b.near, b.far = b.EntriesIn("near"), b.EntriesIn("far")
	b.revision = b.Submit(b.near[0], b.template(0), 0)
	b.WaitServing("near", "load", recoveryGroups)
	b.WaitServing("far", "load", recoveryGroups)
	return b
}

// template returns a template whose deadline depends on n, so that each is a
// change.
func (b *recoveryTestbed) template(n int) string {
	text := strings.Replace(fmt.Sprintf(loadTemplate, recoveryGroups), "deadline = 5m", fmt.Sprintf("deadline = %ds", 300+n), 1)
	return strings.Replace(text, "model = load", "model = load\nweight_downtime = 1000\nweight_stranded = 0.001", 1)
}

// timeUntil waits for a condition and returns the time it took.
func (b *recoveryTestbed) timeUntil(what string, condition func() bool) time.Duration {
	start := time.Now()
	b.Eventually(what, condition)
	return time.Since(start)
}

// allServing reports whether each entry instance lists exactly this number of
// serving groups, none of them with an excluded generation.
func allServing(entries []*cluster.Entry, groups int, excluded ...uint64) bool {
	for _, e := range entries {
		serving := e.ServingGroups("load")
		if len(serving) != groups {
			return false
		}
		for _, g := range serving {
			if slices.Contains(excluded, g.Generation) {
				return false
			}
		}
	}
	return true
}

// waitSpare waits until an endpoint reports weights but no group.
func (b *recoveryTestbed) waitSpare(p *cluster.Process) {
	b.Eventually("the member is a warm spare", func() bool {
		report, err := cluster.TryReport(p)
		return err == nil && report.Group == "" && report.Weights != ""
	})
}

func (b *recoveryTestbed) pickMember(dc string, rank int) (*cluster.Process, fleet.Group) {
	g := b.Groups(dc)[0]
	return b.Endpoints[string(g.Members[rank].Instance)], g
}

// measureMemberFault injects a fault into a member. It returns the time until no
// entry instance routes to the group, and the time until the group is repaired.
func (b *recoveryTestbed) measureMemberFault(inject, undo func(*cluster.Process)) []time.Duration {
	p, g := b.pickMember("near", 1)
	start := time.Now()
	inject(p)
	outOfService := b.timeUntil("the group is out of service", func() bool {
		return allServing(b.near, recoveryGroups-1) || allServing(b.near, recoveryGroups, g.Generation)
	})
	b.timeUntil("the group is repaired", func() bool { return allServing(b.near, recoveryGroups, g.Generation) })
	repaired := time.Since(start)
	undo(p)
	b.waitSpare(p)
	return []time.Duration{outOfService, repaired}
}

func (c *recoveryCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &standaloneT{}
	return t.run(func() {
		b := newRecoveryTestbed(t)
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

func (b *recoveryTestbed) steps() []recoveryStep {
	return []recoveryStep{
		{[]string{"configuration: accepted to in force at all six"}, b.measureConfiguration},
		{[]string{"member killed: until nobody sends to the group", "member killed: until repaired with the warm spare"}, func(int) []time.Duration {
			return b.measureMemberFault(b.Kill, b.Restart)
		}},
		{[]string{"member frozen: until nobody sends to the group", "member frozen: until repaired with the warm spare"}, func(int) []time.Duration {
			return b.measureMemberFault(b.Freeze, b.Thaw)
		}},
		{[]string{"controller killed: until another has the lease", "controller and member killed: until repaired"}, b.measureControllerCrash},
		{[]string{"platform out 10 s: from its return until a change is in force", "platform out 10 s: from its return until a controller acts"}, b.measurePlatformOutage},
		{[]string{"data centre cut off 10 s: from the heal until it has the change"}, b.measurePartition},
		{[]string{"all entry instances replaced: until all serve again"}, b.measureReplacement},
	}
}

func (b *recoveryTestbed) submit(e *cluster.Entry, round int) {
	b.revision = b.Submit(e, b.template(int(b.revision)*10+round+1), b.revision)
}

func (b *recoveryTestbed) configurationApplied(entries []*cluster.Entry) func() bool {
	return func() bool {
		for _, e := range entries {
			if s, ok := e.Status(); !ok || s.Configuration != b.revision {
				return false
			}
		}
		return true
	}
}

func (b *recoveryTestbed) measureConfiguration(round int) []time.Duration {
	b.submit(b.near[round%3], round)
	return []time.Duration{b.timeUntil("the configuration is applied", b.configurationApplied(b.Entries))}
}

func (b *recoveryTestbed) measureControllerCrash(int) []time.Duration {
	old := b.Controller("near")
	p, g := b.pickMember("near", 2)
	b.Kill(old.Process)
	b.Kill(p)
	others := b.OtherEntries(old)
	start := time.Now()
	takeover := b.timeUntil("another entry instance has the lease", func() bool {
		s, ok := others[0].Status()
		return ok && s.Controller != old.Name
	})
	b.Eventually("the group is repaired", func() bool { return allServing(others, recoveryGroups, g.Generation) })
	repaired := time.Since(start)
	b.Restart(old.Process)
	b.Restart(p)
	b.Eventually("all groups are serving", func() bool { return allServing(b.near, recoveryGroups) })
	b.waitSpare(p)
	return []time.Duration{takeover, repaired}
}

const faultDuration = 10 * time.Second

func (b *recoveryTestbed) measurePlatformOutage(round int) []time.Duration {
	p, g := b.pickMember("near", 1)
	b.SetPlatformFaults(platformstandin.Faults{Down: true})
	time.Sleep(faultDuration)
	b.Kill(p)
	b.Eventually("the group is out of service", func() bool { return allServing(b.near, recoveryGroups-1) })
	b.SetPlatformFaults(platformstandin.Faults{})
	start := time.Now()
	b.submit(b.near[0], round)
	change := b.timeUntil("the configuration is applied", b.configurationApplied(b.Entries))
	b.Eventually("the group is repaired", func() bool { return allServing(b.near, recoveryGroups, g.Generation) })
	repaired := time.Since(start)
	b.Restart(p)
	b.waitSpare(p)
	return []time.Duration{change, repaired}
}

func (b *recoveryTestbed) measurePartition(round int) []time.Duration {
	cluster.Partition(b.far, b.Platform)
	cluster.Partition(b.far, cluster.Processes(b.near)...)
	cluster.Partition(b.near, cluster.Processes(b.far)...)
	b.submit(b.near[0], round)
	time.Sleep(faultDuration)
	cluster.Heal(b.far, b.Platform)
	cluster.Heal(b.far, cluster.Processes(b.near)...)
	cluster.Heal(b.near, cluster.Processes(b.far)...)
	return []time.Duration{b.timeUntil("the configuration is applied", b.configurationApplied(b.far))}
}

func (b *recoveryTestbed) measureReplacement(int) []time.Duration {
	for _, e := range b.Entries {
		b.Kill(e.Process)
	}
	for _, e := range b.Entries {
		b.Restart(e.Process)
	}
	return []time.Duration{b.timeUntil("all groups are serving", func() bool { return allServing(b.Entries, recoveryGroups) })}
}
