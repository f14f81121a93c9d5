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

// pairCommand sends each request at random either through the entry instance
// or straight to an engine, so that both meet the same machine.
type pairCommand struct {
	seconds int
	rate    float64
	tokens  int
}

func (*pairCommand) Name() string     { return "pair" }
func (*pairCommand) Synopsis() string { return "added time to first token and between tokens" }
func (*pairCommand) Usage() string    { return "pair [-seconds N] [-rate R]\n" }

func (c *pairCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seconds, "seconds", 20, "how long")
	f.Float64Var(&c.rate, "rate", 100, "requests a second, of both kinds together")
	f.IntVar(&c.tokens, "tokens", 32, "tokens of an answer")
}

// sample is what one kind of request measured, in microseconds.
type sample struct {
	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
	failed  int
}

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newSample() *sample {
	return &sample{
		first:   hdrhistogram.New(1, histogramMax, histogramDigits),
		between: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (s *sample) record(first time.Duration, gaps []time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.first.RecordValue(first.Microseconds())
	for _, gap := range gaps {
		_ = s.between.RecordValue(gap.Microseconds())
	}
}

func (c *pairCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	t := &session{}
	return t.run(func() {
		// Two groups of 16 places; an answer takes 20 ms and 10 ms a token, so
		// 100 requests a second are about half of what they can do.
		b := newBed(t, 2, "-slots", "32", "-token-time", "10ms", "-prefill", "20ms")
		through, direct := newSample(), newSample()
		c.drive(b, through, direct)
		report(through, direct)
	})
}

func (c *pairCommand) drive(b *bed, through, direct *sample) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	random := rand.New(rand.NewPCG(1, 2))
	end := time.Now().Add(time.Duration(c.seconds) * time.Second)
	next := time.Now()
	var all sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / c.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		request := b.request(n, c.tokens)
		s := through
		if random.IntN(2) == 0 {
			s = direct
			request = b.directRequest(n, c.tokens, b.leaders[random.IntN(len(b.leaders))])
		}
		all.Go(func() { s.record(timed(client, request)) })
	}
	all.Wait()
}

func chatBody(n, tokens int) string {
	return fmt.Sprintf(`{"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"request %d"}]}`, tokens, n)
}

func (b *bed) request(n, tokens int) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://"+b.entry.Callers+engine.PathChat, strings.NewReader(chatBody(n, tokens)))
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	return request
}

func (b *bed) directRequest(n, tokens int, l leader) *http.Request {
	request, _ := http.NewRequest(http.MethodPost, "http://"+l.address+engine.PathChat, strings.NewReader(chatBody(n, tokens)))
	request.Header.Set(engine.HeaderAttempt, fmt.Sprintf("direct-%d", n))
	request.Header.Set(engine.HeaderGroup, string(l.group.ID))
	request.Header.Set(engine.HeaderEpoch, strconv.FormatUint(l.group.Epoch, 10))
	request.Header.Set(engine.HeaderGeneration, strconv.FormatUint(l.group.Generation, 10))
	return request
}

// timed sends a request and times its tokens.
func timed(client *http.Client, request *http.Request) (first time.Duration, gaps []time.Duration, err error) {
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
			first = now.Sub(start)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if !done {
		return 0, nil, errors.New("the answer is not whole")
	}
	return first, gaps, nil
}

func report(through, direct *sample) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "milliseconds\trequests\tfailed\tfirst p50\tfirst p99\tbetween p50\tbetween p99\t")
	for _, row := range []struct {
		name string
		s    *sample
	}{{"direct", direct}, {"through", through}} {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.name, row.s.first.TotalCount(), row.s.failed,
			at(row.s.first, 50), at(row.s.first, 99), at(row.s.between, 50), at(row.s.between, 99))
	}
	fmt.Fprintf(w, "added\t\t\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
		at(through.first, 50)-at(direct.first, 50), at(through.first, 99)-at(direct.first, 99),
		at(through.between, 50)-at(direct.between, 50), at(through.between, 99)-at(direct.between, 99))
	_ = w.Flush()
}

func at(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
