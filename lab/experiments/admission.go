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

// eventQueue is a heap of future events, ordered by time.
type eventQueue []event

type event struct {
	at time.Time
	do func(now time.Time)
}

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// eventLoop runs events in simulated time.
type eventLoop struct {
	queue eventQueue
	now   time.Time
}

func (l *eventLoop) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&l.queue, event{at, do})
}

func (l *eventLoop) run(end time.Time) {
	for len(l.queue) > 0 && l.queue[0].at.Before(end) {
		next := heap.Pop(&l.queue).(event)
		l.now = next.at
		next.do(next.at)
	}
}

// admissionPolicy is admission.Machine or a baseline.
type admissionPolicy uint8

const (
	policyAdmission admissionPolicy = iota
	// policyQueueAll queues all requests, first in first out.
	policyQueueAll
	// policyRejectWhenFull rejects requests that arrive when no slot is free.
	policyRejectWhenFull
)

const (
	admissionSlots     = 48
	meanServiceTime    = 2 * time.Second
	admissionDuration  = time.Hour
	surgeStart         = 2 * time.Minute
	surgeEnd           = 7 * time.Minute
	surgeFactor        = 3.0
	requestDeadline    = 10 * time.Second
	quietShare         = 0.3
	baseLoad           = 0.7
	serviceTimeSigma   = 0.4
	baselineRetryAfter = time.Second
)

// AdmissionResult is the outcome of a simulation with a surge.
type AdmissionResult struct {
	// Goodput is the service time of the requests that finished during the
	// surge and within their deadline, as a fraction of the slots' capacity.
	Goodput float64
	// QuietServed is the fraction of the quiet workspace's requests that were
	// served within their deadline, on the first attempt or the one retry.
	QuietServed float64
	// Rejected is the fraction of first attempts that were rejected.
	Rejected float64
	// RetriesServed is the fraction of rejected requests whose retry, sent at the
	// Retry-After time, was served within its deadline.
	RetriesServed float64
	P99Wait       time.Duration
}

type admissionSimulation struct {
	eventLoop
	policy    admissionPolicy
	random    *rand.Rand
	machine   *admission.Machine
	requests  map[admission.ID]*simRequest
	lastID    admission.ID
	queued    []*simRequest
	busySlots int
	workDone  time.Duration
	waits     []time.Duration
	counts    struct{ quietRequests, quietServed, firstAttempts, rejected, retries, retriesServed int }
}

type simRequest struct {
	id          admission.ID
	workspace   string
	serviceTime time.Duration
	arrived     time.Time
	deadline    time.Time
	isRetry     bool
}

// RunAdmission simulates a policy with two workspaces: one within its share, and
// one that surges to three times the capacity.
func RunAdmission(policy admissionPolicy, seed uint64) AdmissionResult {
	r := &admissionSimulation{policy: policy, random: rand.New(rand.NewPCG(seed, 5)), machine: admission.New(), requests: map[admission.ID]*simRequest{}}
	start := simulationStart
	r.now = start
	r.machine.SetSlots(start, "p", admissionSlots)
	capacity := admissionSlots / meanServiceTime.Seconds()
	r.scheduleArrivals("quiet", start, func(time.Time) float64 { return capacity * quietShare })
	r.scheduleArrivals("surge", start, func(now time.Time) float64 {
		since := now.Sub(start)
		if since > surgeStart && since < surgeEnd {
			return capacity * surgeFactor
		}
		return capacity * (baseLoad - quietShare)
	})
	r.scheduleTick(start)
	end := start.Add(admissionDuration)
	r.run(end)
	return r.summary()
}

func (r *admissionSimulation) scheduleArrivals(workspace string, from time.Time, rate func(time.Time) float64) {
	gap := time.Duration(r.random.ExpFloat64() / rate(from) * float64(time.Second))
	r.schedule(from.Add(gap), func(now time.Time) {
		q := &simRequest{workspace: workspace, serviceTime: r.drawServiceTime()}
		r.arrive(now, q)
		r.scheduleArrivals(workspace, now, rate)
	})
}

func (r *admissionSimulation) drawServiceTime() time.Duration {
	x := math.Exp(r.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	return time.Duration(x * float64(meanServiceTime))
}

func (r *admissionSimulation) arrive(now time.Time, q *simRequest) {
	r.lastID++
	q.id = r.lastID
	q.arrived = now
	q.deadline = now.Add(requestDeadline)
	r.requests[q.id] = q
	if !q.isRetry {
		r.counts.firstAttempts++
		if q.workspace == "quiet" {
			r.counts.quietRequests++
		}
	}
	switch r.policy {
	case policyAdmission:
		r.apply(now, r.machine.Arrive(now, admission.Request{
			ID: q.id, Pool: "p", Workspace: q.workspace, Share: 1, MaxInFlight: 1 << 20,
			Priority: admission.PriorityNormal, Deadline: q.deadline, IsRetry: q.isRetry,
		}))
	case policyQueueAll:
		r.queued = append(r.queued, q)
		r.startQueued(now)
	case policyRejectWhenFull:
		if r.busySlots < admissionSlots {
			r.start(now, q)
			return
		}
		r.reject(now, q, baselineRetryAfter)
	}
}

func (r *admissionSimulation) apply(now time.Time, d admission.Decision) {
	q := r.requests[d.ID]
	switch d.Outcome {
	case admission.OutcomeAdmitted:
		r.start(now, q)
	case admission.OutcomeRejected:
		r.reject(now, q, d.RetryAfter)
	}
}

func (r *admissionSimulation) reject(now time.Time, q *simRequest, after time.Duration) {
	delete(r.requests, q.id)
	if q.isRetry {
		return
	}
	r.counts.rejected++
	retry := *q
	retry.isRetry = true
	r.counts.retries++
	r.schedule(now.Add(after), func(now time.Time) { r.arrive(now, &retry) })
}

func (r *admissionSimulation) startQueued(now time.Time) {
	for r.busySlots < admissionSlots && len(r.queued) > 0 {
		q := r.queued[0]
		r.queued = r.queued[1:]
		r.start(now, q)
	}
}

func (r *admissionSimulation) start(now time.Time, q *simRequest) {
	r.busySlots++
	r.waits = append(r.waits, now.Sub(q.arrived))
	r.schedule(now.Add(q.serviceTime), func(now time.Time) { r.finish(now, q) })
}

func (r *admissionSimulation) finish(now time.Time, q *simRequest) {
	r.busySlots--
	delete(r.requests, q.id)
	if !now.After(q.deadline) {
		if since := now.Sub(simulationStart); since > surgeStart && since < surgeEnd {
			r.workDone += q.serviceTime
		}
		if q.workspace == "quiet" {
			r.counts.quietServed++
		}
		if q.isRetry {
			r.counts.retriesServed++
		}
	}
	if r.policy == policyAdmission {
		for _, d := range r.machine.Finish(now, q.id, true) {
			r.apply(now, d)
		}
		return
	}
	r.startQueued(now)
}

// scheduleTick calls Machine.Tick every 50 ms, as the gateway does.
func (r *admissionSimulation) scheduleTick(from time.Time) {
	if r.policy != policyAdmission {
		return
	}
	r.schedule(from.Add(50*time.Millisecond), func(now time.Time) {
		for _, d := range r.machine.Tick(now) {
			r.apply(now, d)
		}
		r.scheduleTick(now)
	})
}

func (r *admissionSimulation) summary() AdmissionResult {
	sort.Slice(r.waits, func(i, j int) bool { return r.waits[i] < r.waits[j] })
	return AdmissionResult{
		Goodput:       r.workDone.Seconds() / ((surgeEnd - surgeStart).Seconds() * admissionSlots),
		QuietServed:   fraction(r.counts.quietServed, r.counts.quietRequests),
		Rejected:      fraction(r.counts.rejected, r.counts.firstAttempts),
		RetriesServed: fraction(r.counts.retriesServed, r.counts.retries),
		P99Wait:       r.waits[len(r.waits)*99/100],
	}
}

func fraction(n, total int) float64 { return float64(n) / math.Max(1, float64(total)) }

// Admission prints a table of the results of all policies.
func Admission(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "policy\tgoodput\tquiet served\trefused\tcome-back served\tp99 wait\t")
	for _, row := range []struct {
		name   string
		policy admissionPolicy
	}{{"ridgehinge", policyAdmission}, {"queue all", policyQueueAll}, {"reject when full", policyRejectWhenFull}} {
		r := RunAdmission(row.policy, 1)
		fmt.Fprintf(w, "%s\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t\n", row.name, 100*r.Goodput, 100*r.QuietServed, 100*r.Rejected, 100*r.RetriesServed, r.P99Wait.Round(time.Millisecond))
	}
	_ = w.Flush()
}
