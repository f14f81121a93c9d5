package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// streamsCommand opens streams in steps and reads the entry instance's memory
// at each.
type streamsCommand struct{ most int }

func (*streamsCommand) Name() string     { return "streams" }
func (*streamsCommand) Synopsis() string { return "memory by the number of concurrent streams" }
func (*streamsCommand) Usage() string    { return "streams [-most N]\n" }

func (c *streamsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.most, "most", 1000, "streams at the end")
}

const (
	streamSteps = 4
	settle      = 3 * time.Second
)

func (c *streamsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &session{}
	return t.run(func() {
		b := newBed(t, 2, "-slots", "2000", "-token-time", "100ms", "-prefill", "20ms")
		w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "streams\topen\tresident MB\tKB a stream\t")
		idle := residentKB(b.entry.PID())
		fmt.Fprintf(w, "0\t0\t%.1f\t\t\n", float64(idle)/1024)
		ctx, cancel := context.WithCancel(context.Background())
		var all sync.WaitGroup
		var open atomic.Int64
		for step := 1; step <= streamSteps; step++ {
			for range c.most / streamSteps {
				all.Go(func() { hold(ctx, b, &open) })
			}
			time.Sleep(settle)
			now := residentKB(b.entry.PID())
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t\n", step*c.most/streamSteps, open.Load(),
				float64(now)/1024, float64(now-idle)/float64(max(1, open.Load())))
		}
		_ = w.Flush()
		cancel()
		all.Wait()
	})
}

// hold reads one stream until the context ends.
func hold(ctx context.Context, b *bed, open *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(b.request(0, 100_000).WithContext(ctx))
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	buffer := make([]byte, 4096)
	for {
		if _, err := response.Body.Read(buffer); err != nil {
			return
		}
	}
}

// residentKB reads a process's resident memory from the kernel.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// cpuCommand measures the entry instance's processor time under a closed
// loop of short answers.
type cpuCommand struct {
	seconds int
	callers int
}

func (*cpuCommand) Name() string     { return "cpu" }
func (*cpuCommand) Synopsis() string { return "processor time for each request and token" }
func (*cpuCommand) Usage() string    { return "cpu [-seconds N] [-callers N]\n" }

func (c *cpuCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seconds, "seconds", 10, "how long for each length of answer")
	f.IntVar(&c.callers, "callers", 32, "callers at once")
}

func (c *cpuCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &session{}
	return t.run(func() {
		b := newBed(t, 2, "-slots", "2000", "-token-time", "1ms", "-prefill", "1ms")
		w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "tokens\trequests\trequests/s\tCPU ms/request\trequests/s/core\ttokens/s/core\t")
		idle := c.measure(b, 0, 0)
		fmt.Fprintf(w, "idle\t\t\t%.2f%% of a core\t\t\t\n", 100*idle.cpu/idle.wall)
		for _, tokens := range []int{1, 16, 64} {
			m := c.measure(b, c.callers, tokens)
			each := m.cpu / float64(max(1, m.requests))
			fmt.Fprintf(w, "%d\t%d\t%.0f\t%.3f\t%.0f\t%.0f\t\n", tokens, m.requests,
				float64(m.requests)/m.wall, each*1000, 1/each, float64(tokens)/each)
		}
		_ = w.Flush()
	})
}

type measured struct {
	requests  int64
	cpu, wall float64
}

func (c *cpuCommand) measure(b *bed, callers, tokens int) measured {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	start, cpu := time.Now(), cpuSeconds(b.entry.PID())
	end := start.Add(time.Duration(c.seconds) * time.Second)
	var done atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if _, _, err := timed(client, b.request(n, tokens)); err == nil {
					done.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Until(end))
	all.Wait()
	return measured{done.Load(), cpuSeconds(b.entry.PID()) - cpu, time.Since(start).Seconds()}
}

// ticksPerSecond is the unit of the kernel's process times.
const ticksPerSecond = 100

// cpuSeconds reads a process's user and system time from the kernel.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}
