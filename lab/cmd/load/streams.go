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

// streamsCommand opens streams in steps and prints the entry instance's resident
// memory after each.
type streamsCommand struct{ maxStreams int }

func (*streamsCommand) Name() string     { return "streams" }
func (*streamsCommand) Synopsis() string { return "memory by the number of concurrent streams" }
func (*streamsCommand) Usage() string    { return "streams [-most N]\n" }

func (c *streamsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.maxStreams, "most", 1000, "maximum number of streams")
}

const (
	streamSteps = 4
	settleTime  = 3 * time.Second
)

func (c *streamsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &standaloneT{}
	return t.run(func() {
		b := newTestbed(t, 2, "-slots", "2000", "-token-time", "100ms", "-prefill", "20ms")
		w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(w, "streams\topen\tresident MB\tKB a stream\t")
		idle := residentKB(b.entry.PID())
		fmt.Fprintf(w, "0\t0\t%.1f\t\t\n", float64(idle)/1024)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var open atomic.Int64
		for step := 1; step <= streamSteps; step++ {
			for range c.maxStreams / streamSteps {
				wg.Go(func() { readStream(ctx, b, &open) })
			}
			time.Sleep(settleTime)
			now := residentKB(b.entry.PID())
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t\n", step*c.maxStreams/streamSteps, open.Load(),
				float64(now)/1024, float64(now-idle)/float64(max(1, open.Load())))
		}
		_ = w.Flush()
		cancel()
		wg.Wait()
	})
}

// readStream reads a long stream until the context is cancelled.
func readStream(ctx context.Context, b *testbed, open *atomic.Int64) {
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

// residentKB reads a process's resident memory from procfs.
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

// cpuCommand measures the entry instance's CPU time under closed-loop load with
// short responses.
type cpuCommand struct {
	seconds int
	callers int
}

func (*cpuCommand) Name() string     { return "cpu" }
func (*cpuCommand) Synopsis() string { return "CPU time per request and token" }
func (*cpuCommand) Usage() string    { return "cpu [-seconds N] [-callers N]\n" }

func (c *cpuCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seconds, "seconds", 10, "duration for each response length in seconds")
	f.IntVar(&c.callers, "callers", 32, "concurrent callers")
}

func (c *cpuCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &standaloneT{}
	return t.run(func() {
		b := newTestbed(t, 2, "-slots", "2000", "-token-time", "1ms", "-prefill", "1ms")
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

type measurement struct {
	requests  int64
	cpu, wall float64
}

func (c *cpuCommand) measure(b *testbed, callers, tokens int) measurement {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	start, cpu := time.Now(), cpuSeconds(b.entry.PID())
	end := start.Add(time.Duration(c.seconds) * time.Second)
	var done atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if _, _, err := send(client, b.request(n, tokens)); err == nil {
					done.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Until(end))
	wg.Wait()
	return measurement{done.Load(), cpuSeconds(b.entry.PID()) - cpu, time.Since(start).Seconds()}
}

// clockTicksPerSecond is USER_HZ, the unit of the times in /proc/PID/stat.
const clockTicksPerSecond = 100

// cpuSeconds reads a process's user and system time from procfs.
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
	return (user + system) / clockTicksPerSecond
}
