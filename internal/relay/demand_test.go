package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func TestDemandFollowsWhatCallersAskFor(t *testing.T) {
	pool := directory.Pool{Service: "llm", Model: "large"}
	d := NewDemand()
	now := time.Unix(1000, 0)
	ask := func(perSecond int, d2 time.Duration, work time.Duration) {
		for range int(d2.Seconds()) * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			d.RecordRequest(pool, work, now)
		}
	}
	// Fifty requests a second of 40 ms keep two groups busy.
	ask(50, 2*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 2, d.Rates(now)[pool].Groups, 0.1, "a rate that has just begun is not too low")
	ask(50, 20*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 2, d.Rates(now)[pool].Groups, 0.05)
	ask(100, 12*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 4, d.Rates(now)[pool].Groups, 0.1)
	require.Less(t, d.Rates(now.Add(20 * time.Second))[pool].Groups, 0.05)
}

func TestWorkOfARequest(t *testing.T) {
	engine := &serving.Engine{Slots: 10, StepTime: 10 * time.Millisecond, PerSequence: time.Millisecond, TokensPerSec: 10_000}
	model := serving.Model{Pace: 0.5}
	// 100 ms of reading, and 100 tokens of 2 ms each, at twice the speed.
	require.Equal(t, 150*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 100}).Round(time.Microsecond))
}

// Each pass reads a chunk at most and plays steps for all that write, so a long prompt
// takes up passes however short its answer is. A model of long prompts had 13 groups
// where its callers needed 18.
func TestWorkOfALongPrompt(t *testing.T) {
	engine := &serving.Engine{Slots: 10, StepTime: 10 * time.Millisecond, PerSequence: time.Millisecond, TokensPerSec: 10_000, Chunk: 500, StepsPerPass: 5}
	model := serving.Model{Pace: 1}
	// 100 ms of reading, and two passes of five steps of 20 ms.
	require.Equal(t, 300*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 1}).Round(time.Microsecond))
	// 100 tokens are 200 ms of a full batch, as much as the two passes.
	require.Equal(t, 300*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 100}).Round(time.Microsecond))
	require.Equal(t, 500*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 200}).Round(time.Microsecond))
}

// What is served in time is told beside the demand, and forgotten as that is.
func TestDemandTellsWhatIsInTime(t *testing.T) {
	pool := directory.Pool{Service: "llm", Model: "large"}
	d := NewDemand()
	now := time.Unix(1000, 0)
	for i := range 40 {
		d.RecordOutcome(pool, i%4 != 0, now)
	}
	require.Equal(t, ModelDemand{InTime: 30, Late: 10}, d.Rates(now)[pool])
	later := d.Rates(now.Add(3 * demandWindow))[pool]
	require.Less(t, later.InTime+later.Late, 3.0)
	require.Equal(t, ModelDemand{Groups: 3, Requests: 7, InTime: 31, Late: 10}, ModelDemand{1, 3, 30, 10}.Add(ModelDemand{2, 4, 1, 0}))
}
