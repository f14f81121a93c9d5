package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"

	"github.com/ridgehinge/ridgehinge/internal/engine"
)

// pairCommand sends each request at random either through the entry instance or
// directly to an engine, so that both kinds are measured under the same load.
type pairCommand struct {
	seconds int
	rate    float64
	tokens  int
}

func (*pairCommand) Name() string     { return "pair" }
func (*pairCommand) Synopsis() string { return "added latency to first token and between tokens" }
func (*pairCommand) Usage() string    { return "pair [-seconds N] [-rate R]\n" }

func (c *pairCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seconds, "seconds", 20, "duration in seconds")
	f.Float64Var(&c.rate, "rate", 100, "requests per second, direct and through the entry instance together")
	f.IntVar(&c.tokens, "tokens", 32, "tokens per response")
}

// latencies are the results of one kind of request, in microseconds.
type latencies struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	failed     int
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newLatencies() *latencies {
	return &latencies{
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		tokenGaps:  hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (l *latencies) record(firstToken time.Duration, gaps []time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	_ = l.firstToken.RecordValue(firstToken.Microseconds())
	for _, gap := range gaps {
		_ = l.tokenGaps.RecordValue(gap.Microseconds())
	}
}

func (c *pairCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &standaloneT{}
	return t.run(func() {
		// Two groups of 32 slots. A response takes 20 ms plus 10 ms per token, so
		// the default rate is about half of their capacity.
		b := newTestbed(t, 2, "-slots", "32", "-token-time", "10ms", "-prefill", "20ms")
		viaEntry, direct := newLatencies(), newLatencies()
		c.generateLoad(b, viaEntry, direct)
		printReport(viaEntry, direct)
	})
}

func (c *pairCommand) generateLoad(b *testbed, viaEntry, direct *latencies) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	random := rand.New(rand.NewPCG(1, 2))
	end := time.Now().Add(time.Duration(c.seconds) * time.Second)
	next := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		request := b.request(n, c.tokens)
		result := viaEntry
		if random.IntN(2) == 0 {
			result = direct
			request = b.directRequest(n, c.tokens, b.heads[random.IntN(len(b.heads))])
		}
		wg.Go(func() { result.record(send(client, request)) })
	}
	wg.Wait()
}

func chatBody(n, tokens int) string {
	return fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, tokens, n)
}

func (b *testbed) request(n, tokens int) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://"+b.entry.CallerAddress+engine.PathChat, strings.NewReader(chatBody(n, tokens)))
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	return request
}

func (b *testbed) directRequest(n, tokens int, head groupHead) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://"+head.address+engine.PathChat, strings.NewReader(chatBody(n, tokens)))
	request.Header.Set(engine.HeaderAttempt, fmt.Sprintf("direct-%d", n))
	request.Header.Set(engine.HeaderGroup, string(head.group.ID))
	request.Header.Set(engine.HeaderEpoch, strconv.FormatUint(head.group.Epoch, 10))
	request.Header.Set(engine.HeaderGeneration, strconv.FormatUint(head.group.Generation, 10))
	return request
}

// send sends a request and measures the time to its first token and the gaps
// between tokens.
func send(client *http.Client, request *http.Request) (firstToken time.Duration, gaps []time.Duration, err error) {
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return 0, nil, fmt.Errorf("status %d", response.StatusCode)
	}
	scanner := bufio.NewScanner(response.Body)
	last := time.Time{}
	done := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			done = true
		}
		if !strings.Contains(line, `"content"`) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			firstToken = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if !done {
		return 0, nil, errors.New("incomplete response: stream ended without [DONE]")
	}
	return firstToken, gaps, nil
}

func printReport(viaEntry, direct *latencies) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "milliseconds\trequests\tfailed\tfirst p50\tfirst p99\tbetween p50\tbetween p99\t")
	for _, row := range []struct {
		name string
		l    *latencies
	}{{"direct", direct}, {"through", viaEntry}} {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.name, row.l.firstToken.TotalCount(), row.l.failed,
			milliseconds(row.l.firstToken, 50), milliseconds(row.l.firstToken, 99), milliseconds(row.l.tokenGaps, 50), milliseconds(row.l.tokenGaps, 99))
	}
	fmt.Fprintf(w, "added\t\t\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
		milliseconds(viaEntry.firstToken, 50)-milliseconds(direct.firstToken, 50), milliseconds(viaEntry.firstToken, 99)-milliseconds(direct.firstToken, 99),
		milliseconds(viaEntry.tokenGaps, 50)-milliseconds(direct.tokenGaps, 50), milliseconds(viaEntry.tokenGaps, 99)-milliseconds(direct.tokenGaps, 99))
	_ = w.Flush()
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
