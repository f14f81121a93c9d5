package relay

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// RequestSize is the work of a request for a model engine, in tokens, and its objective.
type RequestSize struct {
	Prompt int
	Output int
	// Objective is the target for the time to the first event.
	Objective time.Duration
	// Offset is the time by which first events of the pool usually exceed the engine's description.
	Offset time.Duration
	// LessUrgent is the fraction of the unread prompts that belong to less urgent requests, which
	// the engine processes later.
	LessUrgent float64
}

// isLate reports whether the first event is predicted so late that the caller should retry instead.
func (s RequestSize) isLate(p Prediction, factor float64) bool {
	return s.Objective > 0 && float64(p.FirstByPriority) > factor*float64(s.Objective)
}

// Prediction is the expected latency of a request at an endpoint.
type Prediction struct {
	// First is the time to the first event, Gap the longest usual time between events.
	First time.Duration
	Gap   time.Duration
	// FirstByPriority is First if the engine processes the prompts of less urgent requests later. Only the
	// test for lateness uses it: the stall detector would take a busy endpoint for stalled by too early a time.
	FirstByPriority time.Duration
	// Offset is the part of First that is learned from earlier requests.
	Offset time.Duration
	// Running is the number of requests there, Unread the number of their prompt tokens that
	// are not processed yet.
	Running int
	Unread  int
}

// passStepTime returns how long the steps of one pass take at the current load and the engine's
// nominal speed.
func passStepTime(e *serving.Engine, l *load) time.Duration {
	running := l.running + l.peers.Running
	context := l.context
	if l.running > 0 {
		context = context * running / l.running
	}
	step := e.StepTime + time.Duration(running)*e.PerSequence + time.Duration(context)*e.PerThousand/1000
	return time.Duration(e.StepsPerPass) * step
}

// passTime returns the time between two events of a stream at a head that processes no prompts.
func passTime(h *directory.Head, l *load) time.Duration {
	return time.Duration(float64(passStepTime(h.Engine, l)) * h.TimeFactor)
}

// predict applies the engine's speed to the current load of a head.
//
// One pass processes at most a chunk of prompt tokens and runs its steps for all sequences; a new
// request has its first token once the prompts before it and its own are processed.
func predict(h *directory.Head, l *load, s RequestSize) Prediction {
	e := h.Engine
	running := l.running + l.peers.Running
	steps := passStepTime(e, l)
	unread := l.unread + l.peers.Unread
	chunk := max(1, e.Chunk)
	reading := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / max(1, e.TokensPerSec) * float64(time.Second))
	}
	first := func(tokens int) time.Duration {
		passes := (tokens + chunk - 1) / chunk
		nominal := steps/2 + reading(tokens) + time.Duration(passes)*steps
		return time.Duration(float64(nominal)*h.TimeFactor) + s.Offset
	}
	gap := steps + reading(min(chunk, unread+s.Prompt))
	return Prediction{
		First:           first(unread + s.Prompt),
		FirstByPriority: first(int((1-s.LessUrgent)*float64(unread)) + s.Prompt),
		Gap:             time.Duration(float64(gap) * h.TimeFactor),
		Offset:          s.Offset,
		Running:         running,
		Unread:          unread,
	}
}

// idleFraction is the fraction of its slots below which a group counts as idle.
const idleFraction = 0.25

// isIdle reports whether a group had so little work, as far as known, that the load is no reason
// for a first event later than predicted.
func isIdle(p Prediction, slots int) bool {
	return p.Unread == 0 && float64(p.Running) < idleFraction*float64(slots)
}

// Offsets returns the learned offsets, for the exchange with other nodes.
func (b *Balancer) Offsets() *Offsets { return b.offsets }

// FirstOffset returns the offset that predictions for a pool include, zero if it is turned off.
func (b *Balancer) FirstOffset(pool directory.Pool, now time.Time) time.Duration {
	if !b.weights.FirstOffset {
		return 0
	}
	return b.offsets.InUse(pool, now)
}

// FirstOffsets returns the offset that predictions include for each pool, none if it is turned off.
func (b *Balancer) FirstOffsets(now time.Time) map[directory.Pool]time.Duration {
	if !b.weights.FirstOffset {
		return nil
	}
	return b.offsets.AllInUse(now)
}

// recordOffset adds a sample of the time to the first event.
func (b *Balancer) recordOffset(pool directory.Pool, predicted Prediction, took time.Duration, now time.Time) {
	if b.weights.FirstOffset {
		b.offsets.Record(pool, took-(predicted.First-predicted.Offset), now)
	}
}

// earliestFirst returns the earliest time to the first event predicted for any group that can serve
// requests, and false if there is none.
func (b *Balancer) earliestFirst(heads []*directory.Head, s RequestSize, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	earliest, found := time.Duration(0), false
	for _, h := range heads {
		l := b.load(h.ID)
		if !b.isUsable(h, l, now) {
			continue
		}
		if first := predict(h, l, s).First; !found || first < earliest {
			earliest, found = first, true
		}
	}
	return earliest, found
}
