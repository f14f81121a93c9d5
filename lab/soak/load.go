package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

// attempt is one request of a load and its response.
type attempt struct {
	id, workspace string
	sent          time.Time
	// status is zero without a response.
	status int
	// first is the time to the first line of the response.
	first      time.Duration
	retryAfter string
	body       string
	// complete is set if the whole response has arrived.
	complete bool
}

func (a attempt) served() bool   { return a.status == http.StatusOK && a.complete }
func (a attempt) inTime() bool   { return a.served() && a.first <= overloadObjective }
func (a attempt) rejected() bool { return a.status == http.StatusServiceUnavailable }
func (a attempt) failed() bool   { return !a.served() && !a.rejected() }

// load sends requests at even rates, whether or not earlier ones have been answered.
type load struct {
	run    *Run
	mark   string
	client *http.Client
	// floodedAt is when the flood began.
	floodedAt time.Time

	mu  sync.Mutex
	all []attempt
}

func newLoad(r *Run, mark string) *load {
	return &load{run: r, mark: mark, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: overloadTimeout}}
}

// reaction is what a caller does after a rejection.
type reaction int

const (
	staysAway reaction = iota
	// honours returns when the response says, within a third of its remaining time.
	honours
	returnsAtOnce
)

// flood sends the calm load of all workspaces and, after calmLead, the flood, half of whose callers
// honour the time to return. It injects a fault during the flood unless that is nil.
func (l *load) flood(fault func()) {
	var sending sync.WaitGroup
	sending.Go(func() { l.sendAll(calmLead + floodDuration) })
	time.Sleep(calmLead)
	l.floodedAt = time.Now()
	for name, react := range map[string]reaction{"honours": honours, "at-once": returnsAtOnce} {
		sending.Go(func() {
			l.send(floodWorkspace, name, calmRate*(floodFactor-1)/2, floodDuration, react)
		})
	}
	if fault != nil {
		time.Sleep(floodFaultDelay)
		fault()
	}
	sending.Wait()
}

// sendAll sends the calm load of all workspaces for a time, and waits for the responses.
func (l *load) sendAll(duration time.Duration) {
	defer l.client.CloseIdleConnections()
	var sending sync.WaitGroup
	for _, workspace := range append([]string{floodWorkspace}, emulator.OtherWorkspaces...) {
		sending.Go(func() { l.send(workspace, "calm", calmRate, duration, staysAway) })
	}
	sending.Wait()
}

// send sends requests of a workspace to all entry instances in turn, at an even rate for a time, and
// waits for the responses.
func (l *load) send(workspace, name string, perSecond int, duration time.Duration, react reaction) {
	emulator.CallAtRate(perSecond, duration, func(n int) {
		l.call(workspace, fmt.Sprintf("%s-%s-%s-%d", l.mark, workspace, name, n), n, react)
	})
}

// call sends one request and lets its caller return at most once.
func (l *load) call(workspace, id string, n int, react reaction) {
	began := time.Now()
	a := l.attempt(workspace, id, n, overloadTimeout)
	if !a.rejected() || react == staysAway {
		return
	}
	if react == honours {
		wait, err := emulator.HonouredDelay(a.retryAfter, overloadTimeout-time.Since(began))
		if err != nil {
			l.run.recordViolation("request %s was told to return after %q", id, a.retryAfter)
		}
		time.Sleep(wait)
	}
	l.attempt(workspace, id+"-again", n+1, overloadTimeout-time.Since(began))
}

// attempt sends one request, reads and records its response.
func (l *load) attempt(workspace, id string, n int, remaining time.Duration) attempt {
	a := attempt{id: id, workspace: workspace, sent: time.Now()}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.all = append(l.all, a)
	}()
	p := l.run.entries[n%len(l.run.entries)]
	request, err := emulator.NewRequest(p.callerAddress, overloadHost, id, remaining, []byte("body of "+id))
	if err != nil {
		l.run.recordViolation("test harness: %v", err)
		return a
	}
	emulator.SetWorkspace(request, workspace)
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	response, err := l.client.Do(request.WithContext(ctx))
	if err != nil {
		return a
	}
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, _ := reader.ReadString('\n')
	a.first = time.Since(a.sent)
	rest, err := io.ReadAll(reader)
	a.status, a.retryAfter, a.body = response.StatusCode, response.Header.Get("Retry-After"), line+string(rest)
	if l.run.checkResponse(response, id) {
		a.complete = l.run.checkEvents(id, a.body, err)
	}
	return a
}

// attempts returns all attempts so far.
func (l *load) attempts() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// count returns how many attempts satisfy all of the conditions.
func (l *load) count(conditions ...func(attempt) bool) int {
	n := 0
	for _, a := range l.attempts() {
		if !slices.ContainsFunc(conditions, func(condition func(attempt) bool) bool { return !condition(a) }) {
			n++
		}
	}
	return n
}

// fraction returns how many of the attempts that satisfy a condition satisfy another one too.
func (l *load) fraction(of, condition func(attempt) bool) float64 {
	return float64(l.count(of, condition)) / float64(max(1, l.count(of)))
}
