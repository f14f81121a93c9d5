package experiments

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// events is a queue of what happens next.
type events []timed

type timed struct {
	at time.Time
	do func(now time.Time)
}

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(timed)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// clock runs events in order until an end.
type clock struct {
	queue events
	now   time.Time
}

func (c *clock) at(at time.Time, do func(now time.Time)) { heap.Push(&c.queue, timed{at, do}) }

func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(timed)
		c.now = next.at
		next.do(next.at)
	}
}

// admissionPolicy is the machine, or a plain baseline.
type admissionPolicy uint8

const (
	policyMachine admissionPolicy = iota
	// policyQueueAll queues everything in order of arrival.
	policyQueueAll
	// policyRejectFull refuses whatever finds no free slot.
	policyRejectFull
)

const (
	admissionSlots   = 48
	meanService      = 2 * time.Second
	admissionLength  = time.Hour
	surgeFrom        = 2 * time.Minute
	surgeTo          = 7 * time.Minute
	surgeFactor      = 3.0
	requestDeadline  = 10 * time.Second
	quietShare       = 0.3
	baseLoad         = 0.7
	sigma            = 0.4
	baselineComeBack = time.Second
)

// AdmissionResult is what a policy gave under a surge.
type AdmissionResult struct {
	// Goodput is the work that ended within its deadline during the surge, of
	// what the slots could do in that time.
	Goodput float64
	// Quiet is the part of the quiet workspace's requests that were served
	// in time, first try or after coming back once.
	Quiet float64
	// Refused is the part of all first tries that were refused.
	Refused float64
	// ComeBack is the part of the refused that were served when they came
	// back at the time they had been told.
	ComeBack float64
	P99Wait  time.Duration
}

type admissionRun struct {
	clock
	policy   admissionPolicy
	random   *rand.Rand
	machine  *admission.Machine
	requests map[admission.ID]*simRequest
	next     admission.ID
	fifo     []*simRequest
	busy     int
	work     time.Duration
	waits    []time.Duration
	result   struct{ quiet, quietServed, first, refused, back, backServed int }
}

type simRequest struct {
	id        admission.ID
	workspace string
	service   time.Duration
	arrived   time.Time
	deadline  time.Time
	second    bool
}

// RunAdmission runs a policy: a quiet workspace inside its share, and one
// that surges to three times what the slots can do.
func RunAdmission(policy admissionPolicy, seed uint64) AdmissionResult {
	r := &admissionRun{policy: policy, random: rand.New(rand.NewPCG(seed, 5)), machine: admission.New(), requests: map[admission.ID]*simRequest{}}
	start := hallStart
	r.now = start
	r.machine.SetSlots(start, "p", admissionSlots)
	capacity := admissionSlots / meanService.Seconds()
	r.arrivals("quiet", start, func(time.Time) float64 { return capacity * quietShare })
	r.arrivals("surge", start, func(now time.Time) float64 {
		since := now.Sub(start)
		if since > surgeFrom && since < surgeTo {
			return capacity * surgeFactor
		}
		return capacity * (baseLoad - quietShare)
	})
	r.tick(start)
	end := start.Add(admissionLength)
	r.run(end)
	return r.summary()
}

func (r *admissionRun) arrivals(workspace string, from time.Time, rate func(time.Time) float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate(from) * float64(time.Second))
	r.at(from.Add(gap), func(now time.Time) {
		q := &simRequest{workspace: workspace, service: r.serviceTime()}
		r.arrive(now, q)
		r.arrivals(workspace, now, rate)
	})
}

func (r *admissionRun) serviceTime() time.Duration {
	x := math.Exp(r.random.NormFloat64()*sigma - sigma*sigma/2)
	return time.Duration(x * float64(meanService))
}

func (r *admissionRun) arrive(now time.Time, q *simRequest) {
	r.next++
	q.id = r.next
	q.arrived = now
	q.deadline = now.Add(requestDeadline)
	r.requests[q.id] = q
	if !q.second {
		r.result.first++
		if q.workspace == "quiet" {
			r.result.quiet++
		}
	}
	switch r.policy {
	case policyMachine:
		r.take(now, r.machine.Arrive(now, admission.Request{
			ID: q.id, Pool: "p", Workspace: q.workspace, Share: 1, MaxInFlight: 1 << 20,
			Priority: admission.PriorityNormal, Deadline: q.deadline, IsRetry: q.second,
		}))
	case policyQueueAll:
		r.fifo = append(r.fifo, q)
		r.fill(now)
	case policyRejectFull:
		if r.busy < admissionSlots {
			r.start(now, q)
			return
		}
		r.refuse(now, q, baselineComeBack)
	}
}

func (r *admissionRun) take(now time.Time, d admission.Decision) {
	q := r.requests[d.ID]
	switch d.Outcome {
	case admission.OutcomeAdmitted:
		r.start(now, q)
	case admission.OutcomeRefused:
		r.refuse(now, q, d.RetryAfter)
	}
}

func (r *admissionRun) refuse(now time.Time, q *simRequest, after time.Duration) {
	delete(r.requests, q.id)
	if q.second {
		return
	}
	r.result.refused++
	again := *q
	again.second = true
	r.result.back++
	r.at(now.Add(after), func(now time.Time) { r.arrive(now, &again) })
}

func (r *admissionRun) fill(now time.Time) {
	for r.busy < admissionSlots && len(r.fifo) > 0 {
		q := r.fifo[0]
		r.fifo = r.fifo[1:]
		r.start(now, q)
	}
}

func (r *admissionRun) start(now time.Time, q *simRequest) {
	r.busy++
	r.waits = append(r.waits, now.Sub(q.arrived))
	r.at(now.Add(q.service), func(now time.Time) { r.end(now, q) })
}

func (r *admissionRun) end(now time.Time, q *simRequest) {
	r.busy--
	delete(r.requests, q.id)
	if !now.After(q.deadline) {
		if since := now.Sub(hallStart); since > surgeFrom && since < surgeTo {
			r.work += q.service
		}
		if q.workspace == "quiet" {
			r.result.quietServed++
		}
		if q.second {
			r.result.backServed++
		}
	}
	if r.policy == policyMachine {
		for _, d := range r.machine.Finish(now, q.id, true) {
			r.take(now, d)
		}
		return
	}
	r.fill(now)
}

// tick does what the gateway does every 50 ms.
func (r *admissionRun) tick(from time.Time) {
	if r.policy != policyMachine {
		return
	}
	r.at(from.Add(50*time.Millisecond), func(now time.Time) {
		for _, d := range r.machine.Tick(now) {
			r.take(now, d)
		}
		r.tick(now)
	})
}

func (r *admissionRun) summary() AdmissionResult {
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	return AdmissionResult{
		Goodput:  r.work.Seconds() / ((surgeTo - surgeFrom).Seconds() * admissionSlots),
		Quiet:    part(r.result.quietServed, r.result.quiet),
		Refused:  part(r.result.refused, r.result.first),
		ComeBack: part(r.result.backServed, r.result.back),
		P99Wait:  r.waits[len(r.waits)*99/100],
	}
}

func part(n, of int) float64 { return float64(n) / math.Max(1, float64(of)) }

// Admission prints the policies side by side.
func Admission(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tgoodput\tquiet served\trefused\tcome-back served\tp99 wait\t")
	for _, row := range []struct {
		name   string
		policy admissionPolicy
	}{{"ridgehinge", policyMachine}, {"queue all", policyQueueAll}, {"reject when full", policyRejectFull}} {
		r := RunAdmission(row.policy, 1)
		fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t\n", row.name, 100*r.Goodput, 100*r.Quiet, 100*r.Refused, 100*r.ComeBack, r.P99Wait.Round(time.Millisecond))
	}
	_ = w.Flush()
}
