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
	// eventsPerStream is the number of events in a complete stream of the emulated workers.
	eventsPerStream = 6
	requestPause    = 15 * time.Millisecond
	// requestTimeout is a caller's deadline.
	requestTimeout = 6 * time.Second
	// settleTime is the maximum time until a request that was wrongly rejected as not run
	// reaches a worker.
	settleTime = 3 * time.Second
)

// SendRequests sends requests from all callers, each with its own persistent connections, until
// the context is done. It then checks that no request rejected as not run has run.
func (r *Run) SendRequests(ctx context.Context) {
	var running sync.WaitGroup
	var mu sync.Mutex
	var rejected []string
	for i := range r.options.Callers {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+i)))
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTimeout}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("r-%d-%d", i, n)
				p := r.entries[random.IntN(len(r.entries))]
				if random.IntN(3) == 0 {
					if r.callService(client, p, id) {
						mu.Lock()
						rejected = append(rejected, id)
						mu.Unlock()
					}
				} else {
					r.callModel(client, p, id)
				}
				time.Sleep(requestPause)
			}
		})
	}
	running.Wait()
	time.Sleep(settleTime)
	for _, id := range rejected {
		if r.platform.Runs(id) > 0 {
			r.recordViolation("request %s ran although it was rejected as not run", id)
		}
	}
}

const (
	// crashingRequests is the number of distinct requests that crash the endpoints that run
	// them, and crashingRequestPause the interval between attempts of each.
	crashingRequests     = 2
	crashingRequestPause = 400 * time.Millisecond
)

// SendCrashingRequests repeatedly sends requests that crash the endpoints that run them to
// random entry instances until the context is done.
func (r *Run) SendCrashingRequests(ctx context.Context) {
	var running sync.WaitGroup
	for i := range crashingRequests {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(200+i)))
		running.Go(func() {
			client := &http.Client{Timeout: requestTimeout}
			body := fmt.Sprintf("%sof caller %d", emulator.CrashMark, i)
			for n := 0; ctx.Err() == nil; n++ {
				p := r.entries[random.IntN(len(r.entries))]
				response, _, _ := r.send(client, p, emulator.ModelHost, fmt.Sprintf("c-%d-%d", i, n), body)
				if response != nil {
					r.count(fmt.Sprint("crashing request ", response.StatusCode))
				}
				time.Sleep(crashingRequestPause)
			}
		})
	}
	running.Wait()
}

const (
	// partRequestPause is the interval between requests with the part that crashes endpoints.
	partRequestPause = 300 * time.Millisecond
	// firstPart is the first part of all prompts in the soak.
	firstPart = "f1257"
)

// SendCrashingParts sends requests, no two alike, whose prompts have a part that crashes the endpoints that
// run them, to random entry instances until the context is done.
func (r *Run) SendCrashingParts(ctx context.Context) {
	const deadlyPart = "dead"
	r.platform.SetDeadlyPart(deadlyPart)
	defer r.platform.SetDeadlyPart("")
	random := rand.New(rand.NewPCG(r.options.Seed, 300))
	client := &http.Client{Timeout: requestTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		p := r.entries[random.IntN(len(r.entries))]
		id := fmt.Sprintf("p-%d", n)
		session := fmt.Sprintf("5e55%d", random.IntN(5))
		response, _, _ := r.send(client, p, emulator.ModelHost, id, "body of "+id, firstPart, deadlyPart, session, id)
		if response != nil {
			r.count(fmt.Sprint("crashing part ", response.StatusCode))
		}
		time.Sleep(partRequestPause)
	}
}

// sendDefault sends a request with a body derived from its ID. It returns the response and the
// part of its body that could be read.
func (r *Run) sendDefault(client *http.Client, p *process, host, id string) (response *http.Response, body string, err error) {
	return r.send(client, p, host, id, "body of "+id, firstPart, id)
}

// send sends a request with the given body, whose prompt has the given parts, like sendDefault.
func (r *Run) send(client *http.Client, p *process, host, id, content string, parts ...string) (response *http.Response, body string, err error) {
	request, err := emulator.NewRequest(p.callerAddress, host, id, requestTimeout, []byte(content))
	if err != nil {
		return nil, "", err
	}
	emulator.SetParts(request, parts...)
	if response, err = client.Do(request); err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// checkResponse checks the invariants of every response and reports whether it is a success.
func (r *Run) checkResponse(response *http.Response, id string) bool {
	r.count(fmt.Sprint(response.StatusCode))
	if echo := emulator.RequestID(response.Header); response.StatusCode == http.StatusOK && echo != id {
		r.recordViolation("request %s got the response to %q", id, echo)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadGateway, http.StatusGatewayTimeout:
		return false
	case http.StatusInternalServerError:
		// A failure of a disturbed worker is passed on if the request is not retried.
		if r.platform.Disturbed() > 0 && emulator.IsSigned(response.Header) {
			return false
		}
	}
	r.recordViolation("valid request %s got status %d", id, response.StatusCode)
	return false
}

// callService sends a request that may run at most once and reports whether it was rejected as
// not run.
func (r *Run) callService(client *http.Client, p *process, id string) (rejected bool) {
	response, body, err := r.sendDefault(client, p, emulator.ServiceHost, id)
	if runs := r.platform.Runs(id); runs > 1 {
		r.recordViolation("request %s ran %d times", id, runs)
	}
	if response == nil {
		r.count("no response")
		return false
	}
	ok := r.checkResponse(response, id)
	if ok && err == nil && !strings.HasSuffix(body, ": body of "+id) {
		r.recordViolation("request %s got the body %q", id, body)
	}
	return response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
}

// callModel sends a streaming request and checks that each event arrives once and in order and
// that an incomplete stream ends with an error.
func (r *Run) callModel(client *http.Client, p *process, id string) {
	response, body, err := r.sendDefault(client, p, emulator.ModelHost, id)
	if response == nil {
		r.count("no response")
		return
	}
	if r.checkResponse(response, id) {
		r.checkEvents(id, body, err)
	}
}

// checkEvents checks the events of a stream, and returns whether it is complete; err is the error that
// ended it.
func (r *Run) checkEvents(id, body string, err error) (complete bool) {
	events := 0
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "id: ") {
			continue
		}
		events++
		if line != fmt.Sprintf("id: %d\n", events) {
			r.recordViolation("stream %s has %q as event %d", id, line, events)
		}
	}
	if err == nil && events != eventsPerStream {
		r.recordViolation("stream %s ended without an error after %d events", id, events)
	}
	return err == nil && events == eventsPerStream
}

// WaitHealthy waits until every entry instance serves both services. It returns an error if one
// does not within recoveryTimeout.
func (r *Run) WaitHealthy() error {
	until := time.Now().Add(recoveryTimeout)
	client := &http.Client{Timeout: requestTimeout}
	for n, p := range r.entries {
		for attempt := 0; ; attempt++ {
			id := fmt.Sprintf("calm-%d-%d", n, attempt)
			model, _, modelErr := r.sendDefault(client, p, emulator.ModelHost, id)
			service, _, serviceErr := r.sendDefault(client, p, emulator.ServiceHost, id+"-plain")
			if modelErr == nil && serviceErr == nil && model.StatusCode == http.StatusOK && service.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not serving %s after the last fault: %v %v", p.name, recoveryTimeout, modelErr, serviceErr)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
