package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

const (
	// eventsOfAnswer are those of a whole stream of the emulated workers.
	eventsOfAnswer = 6
	requestPause   = 15 * time.Millisecond
	// requestTimeout is how long a caller waits at most.
	requestTimeout = 6 * time.Second
	// settleTime is how long a request that was refused may still turn up at a
	// worker, if the refusal was false.
	settleTime = 3 * time.Second
)

// Call has the callers send requests until the context ends, each on
// connections of its own that it keeps, and then checks that no request that
// was refused as not run has run.
func (r *Run) Call(ctx context.Context) {
	var running sync.WaitGroup
	var mu sync.Mutex
	var refused []string
	for i := range r.options.Callers {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTimeout}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("r-%d-%d", i, n)
				p := r.entries[random.IntN(len(r.entries))]
				if random.IntN(3) == 0 {
					if r.plain(client, p, id) {
						mu.Lock()
						refused = append(refused, id)
						mu.Unlock()
					}
				} else {
					r.stream(client, p, id)
				}
				time.Sleep(requestPause)
			}
		})
	}
	running.Wait()
	time.Sleep(settleTime)
	for _, id := range refused {
		if r.platform.Runs(id) > 0 {
			r.breakPromise("request %s ran and was refused as not run", id)
		}
	}
}

const (
	// poisonRequests is how many different requests end the endpoints that run them, and
	// poisonPause the time between two tries of each, at any entry instance.
	poisonRequests = 2
	poisonPause    = 400 * time.Millisecond
)

// CallPoison has callers send requests that end the endpoints that run them, again and
// again, until the context ends.
func (r *Run) CallPoison(ctx context.Context) {
	var running sync.WaitGroup
	for i := range poisonRequests {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(200+i)))
		running.Go(func() {
			client := &http.Client{Timeout: requestTimeout}
			body := fmt.Sprintf("%sof caller %d", emulator.CrashMark, i)
			for n := 0; ctx.Err() == nil; n++ {
				p := r.entries[random.IntN(len(r.entries))]
				response, _, _ := r.send(client, p, emulator.ModelHost, fmt.Sprintf("c-%d-%d", i, n), body)
				if response != nil {
					r.count(fmt.Sprint("poison ", response.StatusCode))
				}
				time.Sleep(poisonPause)
			}
		})
	}
	running.Wait()
}

// request sends a request and returns its answer, read as far as it goes.
func (r *Run) request(client *http.Client, p *process, host, id string) (response *http.Response, body string, err error) {
	return r.send(client, p, host, id, "body of "+id)
}

// send sends a request with a body.
func (r *Run) send(client *http.Client, p *process, host, id, content string) (response *http.Response, body string, err error) {
	request, err := emulator.NewRequest(p.callers, host, id, requestTimeout, []byte(content))
	if err != nil {
		return nil, "", err
	}
	if response, err = client.Do(request); err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// check looks at what holds for every answer, and reports whether it is a
// success.
func (r *Run) check(response *http.Response, id string) bool {
	r.count(fmt.Sprint(response.StatusCode))
	if echo := emulator.Echo(response.Header); response.StatusCode == http.StatusOK && echo != id {
		r.breakPromise("request %s got the answer of %q", id, echo)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		return false
	}
	r.breakPromise("request %s, which is proper, got %d", id, response.StatusCode)
	return false
}

// plain sends a request that may run once, and reports whether it was refused
// as not run.
func (r *Run) plain(client *http.Client, p *process, id string) (refused bool) {
	response, body, err := r.request(client, p, emulator.ServiceHost, id)
	if runs := r.platform.Runs(id); runs > 1 {
		r.breakPromise("request %s ran %d times", id, runs)
	}
	if response == nil {
		r.count("no answer")
		return false
	}
	ok := r.check(response, id)
	if ok && err == nil && !strings.HasSuffix(body, ": body of "+id) {
		r.breakPromise("request %s got the body %q", id, body)
	}
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// stream sends a request whose events must come once each and in order, and
// which must not look whole before the last.
func (r *Run) stream(client *http.Client, p *process, id string) {
	response, body, err := r.request(client, p, emulator.ModelHost, id)
	if response == nil {
		r.count("no answer")
		return
	}
	if !r.check(response, id) {
		return
	}
	events := 0
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "id: ") {
			continue
		}
		events++
		if line != fmt.Sprintf("id: %d\n", events) {
			r.breakPromise("stream %s has %q as event %d", id, line, events)
		}
	}
	if err == nil && events != eventsOfAnswer {
		r.breakPromise("stream %s ended as whole after %d events", id, events)
	}
}

// Calm waits until every entry instance serves both services again, with a
// model group left: false means that it did not come about within a bound.
func (r *Run) Calm() error {
	until := time.Now().Add(calmBound)
	client := &http.Client{Timeout: requestTimeout}
	for n, p := range r.entries {
		for try := 0; ; try++ {
			id := fmt.Sprintf("calm-%d-%d", n, try)
			model, _, err := r.request(client, p, emulator.ModelHost, id)
			plain, _, err2 := r.request(client, p, emulator.ServiceHost, id+"-plain")
			if err == nil && err2 == nil && model.StatusCode == http.StatusOK && plain.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve %s after the last fault: %v %v", p.name, calmBound, err, err2)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
