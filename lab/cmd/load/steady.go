package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/standin/enginestandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// steadyCommand measures the CPU time, memory and control traffic of the entry
// instances of one data centre, by default without requests.
type steadyCommand struct {
	nodes, endpoints, seconds, callers int
}

func (*steadyCommand) Name() string     { return "steady" }
func (*steadyCommand) Synopsis() string { return "control-plane overhead of an idle data centre" }
func (*steadyCommand) Usage() string    { return "steady [-nodes N] [-endpoints N] [-seconds N]\n" }

func (c *steadyCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.nodes, "nodes", 9, "entry instances")
	f.IntVar(&c.endpoints, "endpoints", 50, "model engines")
	f.IntVar(&c.seconds, "seconds", 15, "duration in seconds")
	f.IntVar(&c.callers, "callers", 0, "callers per entry instance; the CPU time then includes their requests")
}

const (
	steadyReplicaSize = 8
	steadyDomainSize  = 64
	// steadySettings keeps the default intervals, unlike the settings for tests.
	steadySettings = "[log]\nlevel = warn\n[limits]\nmax_requests = 64\n[placement]\nload_budget = 10000\n"
)

func (c *steadyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &standaloneT{}
	return t.run(func() {
		binaries, err := cluster.Build(t.TempDir(), false)
		if err != nil {
			t.Fatalf("%v", err)
		}
		cl := cluster.New(t, binaries)
		cl.Tuning = steadySettings
		c.addEndpoints(cl)
		for i := range c.nodes {
			cl.AddEntry(fmt.Sprintf("n%02d", i), "dc")
		}
		groups := c.endpoints / steadyReplicaSize
		template := strings.Replace(fmt.Sprintf(loadTemplate, groups), "replica_size = 4", fmt.Sprintf("replica_size = %d", steadyReplicaSize), 1)
		start := time.Now()
		cl.Submit(cl.Entries[0], template, 0)
		c.waitServing(t, cl, groups)
		formed := time.Since(start)
		c.measure(cl, formed)
	})
}

const settleAfterForming = 20 * time.Second

// formTimeout is long because groups are formed one transaction at a time.
const formTimeout = 4 * time.Minute

func (c *steadyCommand) waitServing(t *standaloneT, cl *cluster.Cluster, groups int) {
	deadline := time.Now().Add(formTimeout)
	for _, e := range cl.Entries {
		for len(e.ServingGroups("load")) < groups {
			if time.Now().After(deadline) {
				t.Fatalf("%s serves %d of %d groups after %s", e.Name, len(e.ServingGroups("load")), groups, formTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *steadyCommand) addEndpoints(cl *cluster.Cluster) {
	for i := range c.endpoints {
		id := fleet.InstanceID(fmt.Sprintf("engine-%05d", i))
		o := enginestandin.DefaultOptions(id, uint64(i+1))
		o.LoadTime = time.Millisecond
		cl.HostEndpoint(fleet.Instance{
			ID: id, DataCentre: "dc", Domain: fmt.Sprintf("rack-%d", i/steadyDomainSize),
			Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true,
		}, o)
	}
}

// usage is the cumulative resource usage of one node.
type usage struct {
	cpu   float64
	bytes map[string]float64
}

func readUsage(e *cluster.Entry) usage {
	return usage{cpuSeconds(e.PID()), controlBytes(e)}
}

// controlBytes reads the control traffic counters from the metrics page and sums
// them by link and direction.
func controlBytes(e *cluster.Entry) map[string]float64 {
	out := map[string]float64{}
	response, err := http.Get("http://" + e.CallerAddress + "/metrics")
	if err != nil {
		return out
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.HasPrefix(line, "ridgehinge_control_bytes{") {
			continue
		}
		name, value, _ := strings.Cut(line, "} ")
		n, _ := strconv.ParseFloat(value, 64)
		direction := "read"
		if strings.Contains(name, `direction="written"`) {
			direction = "written"
		}
		link := "peers"
		for _, other := range []string{"platform", "endpoints"} {
			if strings.Contains(name, `link="`+other+`"`) {
				link = other
			}
		}
		out[link+" "+direction] += n
	}
	return out
}

// startCallers runs the callers of all entry instances until stop is called.
func (c *steadyCommand) startCallers(cl *cluster.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, e := range cl.Entries {
		for range c.callers {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					e.Send(cluster.Chat(workspaceKey, fmt.Sprint(n), 20))
				}
			})
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// measure prints the mean and maximum usage over all nodes.
func (c *steadyCommand) measure(cl *cluster.Cluster, formed time.Duration) {
	// Wait until the effects of forming the groups have reached all nodes.
	time.Sleep(settleAfterForming)
	for _, e := range cl.Entries {
		controlBytes(e)
	}
	// Reading the metrics page updates the control_bytes gauges; the new values
	// appear on the page after the reporting interval.
	time.Sleep(settleTime)
	before := map[string]usage{}
	for _, e := range cl.Entries {
		before[e.Name] = readUsage(e)
	}
	start := time.Now()
	stop := c.startCallers(cl)
	time.Sleep(time.Duration(c.seconds) * time.Second)
	stop()
	seconds := time.Since(start).Seconds()
	mean, highest := map[string]float64{}, map[string]float64{}
	record := func(name string, value float64) {
		mean[name] += value / float64(len(cl.Entries))
		highest[name] = max(highest[name], value)
	}
	for _, e := range cl.Entries {
		controlBytes(e)
	}
	time.Sleep(settleTime)
	for _, e := range cl.Entries {
		after := readUsage(e)
		record("% of a core", 100*(after.cpu-before[e.Name].cpu)/(seconds+settleTime.Seconds()))
		record("resident MB", float64(residentKB(e.PID()))/1024)
		sent := 0.0
		for link, n := range after.bytes {
			rate := (n - before[e.Name].bytes[link]) / (seconds + settleTime.Seconds())
			record("B/s "+link, rate)
			if strings.HasSuffix(link, "written") {
				sent += rate
			}
		}
		record("B/s sent in all", sent)
	}
	fmt.Printf("%d nodes, %d endpoints, groups formed in %.1f s\n", c.nodes, c.endpoints, formed.Seconds())
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, name := range []string{
		"% of a core", "resident MB", "B/s sent in all", "B/s peers written", "B/s endpoints written",
		"B/s platform written", "B/s peers read", "B/s endpoints read", "B/s platform read",
	} {
		fmt.Fprintf(w, "%s\tmean %.1f\tmost %.1f\n", name, mean[name], highest[name])
	}
	_ = w.Flush()
}
