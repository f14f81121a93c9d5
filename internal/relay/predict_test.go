package relay

import (
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against queueing at a busy group being taken for a constant of the engine.
func TestIsIdle(t *testing.T) {
	for name, c := range map[string]struct {
		predicted Prediction
		slots     int
		expected  bool
	}{
		"empty":                 {Prediction{}, 8, true},
		"below a quarter":       {Prediction{Running: 1}, 8, true},
		"a quarter":             {Prediction{Running: 2}, 8, false},
		"unread prompts":        {Prediction{Unread: 1}, 8, false},
		"below a quarter of 30": {Prediction{Running: 7}, 30, true},
		"above a quarter of 30": {Prediction{Running: 8}, 30, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.expected, isIdle(c.predicted, c.slots))
		})
	}
}

// Guards against requests being admitted that the engine's constant time makes late, and against an
// offset that affects decisions while it is turned off.
func TestChooseHead_CountsFirstOffset(t *testing.T) {
	const constant = 300 * time.Millisecond
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := &directory.Head{Endpoint: &serving.Endpoint{ID: "h", DataCentre: "north", Slots: 30}, Engine: engine, TimeFactor: 0.6}
	for name, enabled := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			weights := DefaultWeights
			weights.FirstOffset = enabled
			b := NewBalancer("north", rand.NewPCG(1, 1), weights)
			now := time.Now()
			choose := func() Choice {
				size := RequestSize{Prompt: 700, Objective: 200 * time.Millisecond, Offset: b.FirstOffset(testPool, now)}
				return b.ChooseHead([]*directory.Head{head}, size, nil, false, now)
			}
			before := choose()
			require.NotNil(t, before.Head)
			for range 200 {
				b.recordOffset(testPool, before.Predicted, before.Predicted.First+constant, now)
			}
			after := choose()
			if !enabled {
				require.Equal(t, before, after)
				require.Empty(t, b.FirstOffsets(now))
				return
			}
			require.NotNil(t, after.Head, "no other group can be earlier than an idle one")
			for range head.Slots / 3 {
				b.begin(head.Endpoint, RequestSize{}, now)
			}
			after = choose()
			require.Nil(t, after.Head)
			require.Equal(t, 1, after.Late)
			require.Equal(t, b.FirstOffset(testPool, now), b.FirstOffsets(now)[testPool])
		})
	}
}

// Guards against urgent requests being rejected as late for prompts that the engine processes after
// theirs, and against a prediction that changes the test for a stall.
func TestChooseHead_LateByUrgency(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := &directory.Head{Endpoint: &serving.Endpoint{ID: "h", DataCentre: "north", Slots: 30}, Engine: engine, TimeFactor: 1}
	for name, c := range map[string]struct {
		lessUrgent float64
		late       int
	}{
		"all unread prompts are ahead":          {0, 1},
		"most unread prompts are less urgent":   {0.8, 0},
		"a tenth of the prompts is less urgent": {0.1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights), time.Now()
			for range 10 {
				b.begin(head.Endpoint, RequestSize{Prompt: 1000}, now)
			}
			size := RequestSize{Prompt: 500, Objective: 200 * time.Millisecond, LessUrgent: c.lessUrgent}
			require.Equal(t, c.late, b.ChooseHead([]*directory.Head{head}, size, nil, false, now).Late)
			require.Greater(t, predict(head, b.load(head.ID), size).First, 300*time.Millisecond)
		})
	}
}

// Guards against samples that include another attempt or a busy group, and against a sample that
// includes the offset in use.
func TestServe_SamplesFirstAttempts(t *testing.T) {
	// A sample measured against the prediction with the offset would be below inUse and lower the estimate.
	const inUse, delay = 20 * time.Millisecond, 30 * time.Millisecond
	slow := func(c net.Conn, r *http.Request) {
		time.Sleep(delay)
		events(1, 2, endStream)(c, r)
	}
	for name, c := range map[string]struct {
		first   script
		running int
		sampled bool
	}{
		"first attempt at an idle group": {slow, 0, true},
		"busy group":                     {slow, 2, false},
		"second attempt":                 {closeConn, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, nil, []*endpoint{newEndpoint(t, c.first), newEndpoint(t, slow)})
			b := fx.relay.options.Balancer
			b.weights.FirstOffset = true
			pool := directory.Pool{Service: "llm", Model: "m"}
			for _, h := range fx.view.Heads[pool] {
				for range c.running {
					b.begin(h.Endpoint, RequestSize{}, time.Now())
				}
			}
			b.offsets.SetPeers(map[directory.Pool]WeightedOffset{pool: {inUse, 1000}}, time.Now())
			require.Equal(t, 200, fx.serve(request(hostStream)).status)
			own := b.offsets.Own(pool, time.Now())
			require.Equal(t, c.sampled, own.Weight > 0)
			if c.sampled {
				require.Equal(t, inUse+offsetStepUp, own.Value)
			}
		})
	}
}
