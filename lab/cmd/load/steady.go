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

// steadyCommand runs one data centre of real entry instances without traffic
// and measures what control costs each of them.
type steadyCommand struct {
	nodes, endpoints, seconds, callers int
}

func (*steadyCommand) Name() string     { return "steady" }
func (*steadyCommand) Synopsis() string { return "what control costs a data centre at rest" }
func (*steadyCommand) Usage() string    { return "steady [-nodes N] [-endpoints N] [-seconds N]\n" }

func (c *steadyCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.nodes, "nodes", 9, "entry instances")
	f.IntVar(&c.endpoints, "endpoints", 50, "model engines")
	f.IntVar(&c.seconds, "seconds", 15, "how long")
	f.IntVar(&c.callers, "callers", 0, "callers of each entry instance; the processor time then includes their requests")
}

const (
	steadySize   = 8
	steadyDomain = 64
	// quietLog keeps the default times, which the tests' tuning replaces.
	quietLog = "[log]\nlevel = warn\n[limits]\nmax_requests = 64\n[placement]\nload_budget = 10000\n"
)

func (c *steadyCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &session{}
	return t.run(func() {
		binaries, err := cluster.Build(t.TempDir(), false)
		if err != nil {
			t.Fatalf("%v", err)
		}
		bed := cluster.New(t, binaries)
		bed.Tuning = quietLog
		c.addEndpoints(bed)
		for i := range c.nodes {
			bed.AddEntry(fmt.Sprintf("n%02d", i), "dc")
		}
		groups := c.endpoints / steadySize
		template := strings.Replace(fmt.Sprintf(loadTemplate, groups), "replica_size = 4", fmt.Sprintf("replica_size = %d", steadySize), 1)
		start := time.Now()
		bed.Submit(bed.Entries[0], template, 0)
		c.waitServing(t, bed, groups)
		formed := time.Since(start)
		c.measure(bed, formed)
	})
}

const restAfterForming = 20 * time.Second

// formBound is how long the groups may take to form: they are formed one
// transaction at a time.
const formBound = 4 * time.Minute

func (c *steadyCommand) waitServing(t *session, bed *cluster.Cluster, groups int) {
	end := time.Now().Add(formBound)
	for _, e := range bed.Entries {
		for len(e.Serving("load")) < groups {
			if time.Now().After(end) {
				t.Fatalf("%s serves %d of %d groups after %s", e.Name, len(e.Serving("load")), groups, formBound)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (c *steadyCommand) addEndpoints(bed *cluster.Cluster) {
	for i := range c.endpoints {
		id := fleet.InstanceID(fmt.Sprintf("engine-%05d", i))
		o := enginestandin.DefaultOptions(id, uint64(i+1))
		o.LoadTime = time.Millisecond
		bed.HostEndpoint(fleet.Instance{
			ID: id, DataCentre: "dc", Domain: fmt.Sprintf("rack-%d", i/steadyDomain),
			Kind: fleet.KindEngine, Accelerators: 4, ChecksFences: true,
		}, o)
	}
}

// usage is what one node has used so far.
type usage struct {
	cpu   float64
	bytes map[string]float64
}

func used(e *cluster.Entry) usage {
	return usage{cpuSeconds(e.PID()), controlBytes(e)}
}

// controlBytes reads the counters of control bytes from the metrics page.
func controlBytes(e *cluster.Entry) map[string]float64 {
	out := map[string]float64{}
	response, err := http.Get("http://" + e.Callers + "/metrics")
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

// call keeps callers busy until the function that it returns is called.
func (c *steadyCommand) call(bed *cluster.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, e := range bed.Entries {
		for range c.callers {
			all.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					e.Send(cluster.Chat(workspaceKey, fmt.Sprint(n), 20))
				}
			})
		}
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// measure prints the mean and the highest of all nodes.
func (c *steadyCommand) measure(bed *cluster.Cluster, formed time.Duration) {
	// What forming the groups has set going is told to all by then.
	time.Sleep(restAfterForming)
	for _, e := range bed.Entries {
		controlBytes(e)
	}
	// The gauges that a reading has set are on the page a second later.
	time.Sleep(settle)
	before := map[string]usage{}
	for _, e := range bed.Entries {
		before[e.Name] = used(e)
	}
	start := time.Now()
	stop := c.call(bed)
	time.Sleep(time.Duration(c.seconds) * time.Second)
	stop()
	seconds := time.Since(start).Seconds()
	mean, most := map[string]float64{}, map[string]float64{}
	note := func(name string, value float64) {
		mean[name] += value / float64(len(bed.Entries))
		most[name] = max(most[name], value)
	}
	for _, e := range bed.Entries {
		controlBytes(e)
	}
	time.Sleep(settle)
	for _, e := range bed.Entries {
		after := used(e)
		note("% of a core", 100*(after.cpu-before[e.Name].cpu)/(seconds+settle.Seconds()))
		note("resident MB", float64(residentKB(e.PID()))/1024)
		sent := 0.0
		for link, n := range after.bytes {
			rate := (n - before[e.Name].bytes[link]) / (seconds + settle.Seconds())
			note("B/s "+link, rate)
			if strings.HasSuffix(link, "written") {
				sent += rate
			}
		}
		note("B/s sent in all", sent)
	}
	fmt.Printf("%d nodes, %d endpoints, groups formed in %.1f s\n", c.nodes, c.endpoints, formed.Seconds())
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for _, name := range []string{
		"% of a core", "resident MB", "B/s sent in all", "B/s peers written", "B/s endpoints written",
		"B/s platform written", "B/s peers read", "B/s endpoints read", "B/s platform read",
	} {
		fmt.Fprintf(w, "%s\tmean %.1f\tmost %.1f\n", name, mean[name], most[name])
	}
	_ = w.Flush()
}
