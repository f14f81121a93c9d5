package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

func TestDemand_FollowsRequests(t *testing.T) {
	pool := directory.Pool{Service: "llm", Model: "large"}
	d := NewDemand()
	now := time.Unix(1000, 0)
	send := func(perSecond int, span time.Duration, work time.Duration) {
		for range int(span.Seconds()) * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			d.RecordRequest(pool, work, now)
		}
	}
	// Fifty requests a second of 40 ms each keep two groups busy.
	send(50, 2*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 2, d.Rates(now)[pool].Groups, 0.1, "a new rate is corrected for its age")
	send(50, 20*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 2, d.Rates(now)[pool].Groups, 0.05)
	send(100, 12*time.Second, 40*time.Millisecond)
	require.InEpsilon(t, 4, d.Rates(now)[pool].Groups, 0.1)
	require.Less(t, d.Rates(now.Add(20 * time.Second))[pool].Groups, 0.05)
}

func TestEstimateWork(t *testing.T) {
	engine := &serving.Engine{Slots: 10, StepTime: 10 * time.Millisecond, PerSequence: time.Millisecond, TokensPerSec: 10_000}
	model := serving.Model{TimeFactor: 0.5}
	// 100 ms for the prompt, and 100 tokens of 2 ms each, at twice the speed.
	require.Equal(t, 150*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 100}).Round(time.Microsecond))
}

// Guards against underestimating long prompts with short outputs: each pass processes at most one
// chunk.
func TestEstimateWork_LongPrompt(t *testing.T) {
	engine := &serving.Engine{Slots: 10, StepTime: 10 * time.Millisecond, PerSequence: time.Millisecond, TokensPerSec: 10_000, Chunk: 500, StepsPerPass: 5}
	model := serving.Model{TimeFactor: 1}
	// 100 ms for the prompt, and two passes of five steps of 20 ms.
	require.Equal(t, 300*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 1}).Round(time.Microsecond))
	// 100 tokens take 200 ms of a full batch, as much as the two passes.
	require.Equal(t, 300*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 100}).Round(time.Microsecond))
	require.Equal(t, 500*time.Millisecond, estimateWork(engine, model, RequestSize{Prompt: 1000, Output: 200}).Round(time.Microsecond))
}

func TestDemand_DecaysOutcomes(t *testing.T) {
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
