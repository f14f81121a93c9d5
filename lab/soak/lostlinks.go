package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/linkfaults"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

const (
	// lostLinkDetection is the time after which nodes without links serve their callers.
	lostLinkDetection = 3 * time.Second
	// lostLinkPeriod is how long calls to them are then made, lostLinkRate the calls per second.
	lostLinkPeriod = 3 * time.Second
	lostLinkRate   = 20
	// lostLinkFailures is the part of these calls that may fail.
	lostLinkFailures = 0.02
	rollPause        = 300 * time.Millisecond
)

// linkLoss is a loss of links to all endpoints beside other trouble.
type linkLoss struct {
	name  string
	fault string
	// lost has the entry instances without links, others those with links that are not in trouble.
	lost, others []*process
	disturb      func()
}

// ExerciseLostLinks loses the links of some entry instances to all endpoints, beside a roll, a new configuration or
// kills, and checks that their callers are served.
func (r *Run) ExerciseLostLinks() {
	l := r.drawLostLinks(rand.New(rand.NewPCG(r.options.Seed, 7)))
	for _, p := range l.lost {
		r.setLinkFault(p, l.fault)
	}
	var disturbing sync.WaitGroup
	disturbing.Go(l.disturb)
	time.Sleep(lostLinkDetection)
	var calling sync.WaitGroup
	calling.Go(func() { r.checkServed(l, "without links", l.lost) })
	calling.Go(func() { r.checkServed(l, "with links", l.others) })
	calling.Wait()
	disturbing.Wait()
	for _, p := range l.lost {
		r.setLinkFault(p, "")
	}
}

// drawLostLinks draws which entry instances lose their links, how, and beside which trouble. The first one that keeps
// its links is not troubled.
func (r *Run) drawLostLinks(random *rand.Rand) linkLoss {
	l := linkLoss{fault: linkfaults.All[random.IntN(len(linkfaults.All))]}
	shuffled := slices.Clone(r.entries)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	scope := "one"
	count := 1
	switch random.IntN(3) {
	case 0:
		scope = "all of a data centre"
		drawn := r.dataCentreOf(shuffled[0])
		isElsewhere := func(p *process) bool { return r.dataCentreOf(p) != drawn }
		local := slices.DeleteFunc(slices.Clone(shuffled), isElsewhere)
		remote := slices.DeleteFunc(slices.Clone(shuffled), func(p *process) bool { return !isElsewhere(p) })
		shuffled, count = slices.Concat(local, remote), len(local)
	case 1:
		scope, count = "all but one", len(shuffled)-1
	}
	l.lost, l.others = shuffled[:count], shuffled[count:]
	trouble := l.drawTrouble(r, random)
	l.name = fmt.Sprintf("%s, %s, beside %s", scope, l.fault, trouble)
	return l
}

// dataCentreOf returns the index of an entry instance's data centre: they are started in turn.
func (r *Run) dataCentreOf(p *process) int { return slices.Index(r.entries, p) % len(dataCentres) }

// drawTrouble draws the other trouble and takes the entry instances that it hits out of those that are called.
func (l *linkLoss) drawTrouble(r *Run, random *rand.Rand) string {
	l.disturb = func() {}
	var hit []*process
	if len(l.lost) > 1 {
		hit, l.lost = l.lost[:1], l.lost[1:]
	}
	if len(l.others) > 1 {
		hit = append(slices.Clone(hit), l.others[1])
		l.others = slices.Concat(l.others[:1], l.others[2:])
	}
	switch random.IntN(4) {
	case 0:
		l.disturb = func() {
			for _, p := range hit {
				r.terminate(p)
				time.Sleep(rollPause)
			}
		}
		return "a roll"
	case 1:
		l.disturb = func() {
			for _, p := range hit {
				r.kill(p, rollPause)
			}
		}
		return "kills"
	case 2:
		l.disturb = func() { r.configure(); r.configure() }
		return "configurations"
	}
	return "nothing"
}

// checkServed calls entry instances in turn and checks that nearly all calls are served whole.
func (r *Run) checkServed(l linkLoss, name string, entries []*process) {
	client := &http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	calls, failures := 0, map[string]int{}
	emulator.CallAtRate(lostLinkRate, lostLinkPeriod, func(n int) {
		p := entries[n%len(entries)]
		host := []string{emulator.ModelHost, emulator.ServiceHost}[n/len(entries)%2]
		response, body, err := r.sendDefault(client, p, host, fmt.Sprintf("links %s %d", name, n))
		mu.Lock()
		defer mu.Unlock()
		calls++
		switch {
		case err != nil:
			failures[err.Error()]++
		case response.StatusCode != http.StatusOK:
			failures[fmt.Sprint(response.StatusCode, " ", strings.TrimSpace(body))]++
		case host == emulator.ModelHost && strings.Count(body, "data:") != eventsPerStream:
			failures["incomplete stream"]++
		}
	})
	failed := 0
	for _, n := range failures {
		failed += n
	}
	if float64(failed) > lostLinkFailures*float64(calls) {
		r.recordViolation("lost links, %s: entry instances %s served %d of %d calls: %v", l.name, name, calls-failed, calls, failures)
	}
}
