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
	// Objective is the time to the first event that is aimed at.
	Objective time.Duration
}

// isLate reports whether a first event is predicted to come so isLate that its
// request does better to come back in a moment.
func (s RequestSize) isLate(p Prediction, factor float64) bool {
	return s.Objective > 0 && float64(p.First) > factor*float64(s.Objective)
}

// Prediction is how a request would fare at an endpoint.
type Prediction struct {
	// First is the time to the first event, Gap the longest usual pause.
	First time.Duration
	Gap   time.Duration
	// Running is the number of requests there, Unread their prompt tokens
	// that are not read yet.
	Running int
	Unread  int
}

// passStepTime is how long the steps of one pass take by what is under way, at the pace
// of the engine.
func passStepTime(e *serving.Engine, l *load) time.Duration {
	running := l.running + l.peers.Running
	context := l.context
	if l.running > 0 {
		context = context * running / l.running
	}
	step := e.StepTime + time.Duration(running)*e.PerSequence + time.Duration(context)*e.PerThousand/1000
	return time.Duration(e.StepsPerPass) * step
}

// passTime is the time between two events of a stream at a head that reads no prompts.
func passTime(h *directory.Head, l *load) time.Duration {
	return time.Duration(float64(passStepTime(h.Engine, l)) * h.Pace)
}

// predict applies the engine's speed to what is under way at a head.
//
// One pass reads at most a chunk of prompt tokens and plays a number of steps
// for all that write; a new request has its first token once the prompts
// before it and its own are read.
func predict(h *directory.Head, l *load, s RequestSize) Prediction {
	e := h.Engine
	running := l.running + l.peers.Running
	steps := passStepTime(e, l)
	unread := l.unread + l.peers.Unread
	chunk := max(1, e.Chunk)
	reading := func(tokens int) time.Duration {
		return time.Duration(float64(tokens) / max(1, e.TokensPerSec) * float64(time.Second))
	}
	passes := (unread + s.Prompt + chunk - 1) / chunk
	first := steps/2 + reading(unread+s.Prompt) + time.Duration(passes)*steps
	gap := steps + reading(min(chunk, unread+s.Prompt))
	return Prediction{
		First:   time.Duration(float64(first) * h.Pace),
		Gap:     time.Duration(float64(gap) * h.Pace),
		Running: running,
		Unread:  unread,
	}
}
