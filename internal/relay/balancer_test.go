package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/health"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// Guards against all nodes with the same reports choosing the same best group and overloading it.
func TestChooseHead_SpreadsEqualLoads(t *testing.T) {
	const nodes, groups = 600, 6
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	var heads []*directory.Head
	loads := map[serving.EndpointID]PeerLoad{}
	for i := range groups {
		h := &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: "north", Slots: 30}, Engine: engine, TimeFactor: 1}
		heads = append(heads, h)
		loads[h.ID] = PeerLoad{Running: 8, Unread: 1000}
	}
	loads["0"] = PeerLoad{Running: 4}
	loads["5"] = PeerLoad{Running: 20, Unread: 20_000}
	chosen := map[serving.EndpointID]int{}
	for i := range nodes {
		b := NewBalancer("north", rand.NewPCG(uint64(i), 1), DefaultWeights)
		b.SetPeerLoads(loads)
		chosen[b.ChooseHead(heads, RequestSize{Prompt: 1400}, nil, false, time.Now()).Head.ID]++
	}
	require.Less(t, chosen["0"], nodes/2)
	require.Greater(t, chosen["0"], chosen["1"])
	require.Less(t, chosen["5"], nodes/50, "an overloaded group is avoided")
}

// Guards against a busy endpoint being taken for a crashed one.
func TestStallAfter_ScalesWithPrediction(t *testing.T) {
	c := &call{Relay: &Relay{options: Options{StallAfter: 500 * time.Millisecond}}}
	require.Equal(t, 500*time.Millisecond, c.stallAfter(Prediction{First: 80 * time.Millisecond, Gap: 60 * time.Millisecond}))
	require.Equal(t, 1200*time.Millisecond, c.stallAfter(Prediction{First: 400 * time.Millisecond, Gap: 60 * time.Millisecond}))
	require.Equal(t, 900*time.Millisecond, c.stallAfter(Prediction{First: 80 * time.Millisecond, Gap: 300 * time.Millisecond}))
}

// A request that every group would start far too late is rejected immediately; a retry is not.
func TestChooseHead_RejectsLateRequests(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := &directory.Head{Endpoint: &serving.Endpoint{ID: "h", DataCentre: "north", Slots: 30}, Engine: engine, TimeFactor: 1}
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	size := RequestSize{Prompt: 1400, Objective: 300 * time.Millisecond}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h": {Running: 5, Unread: 8_000}})
	require.NotNil(t, b.ChooseHead([]*directory.Head{head}, size, nil, false, time.Now()).Head)
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h": {Running: 15, Unread: 20_000}})
	rejected := b.ChooseHead([]*directory.Head{head}, size, nil, false, time.Now())
	require.Nil(t, rejected.Head)
	require.Equal(t, 1, rejected.Late)
	require.NotNil(t, b.ChooseHead([]*directory.Head{head}, size, nil, true, time.Now()).Head)
}

// An endpoint that peers suspect is avoided before this node has lost a request to it, unless it
// sends an event here or no other is left.
func TestPeerReports_AvoidsSuspects(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := func(id string, dc serving.DataCentre) *directory.Head {
		return &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(id), DataCentre: dc, Slots: 30}, Engine: engine, TimeFactor: 1}
	}
	healthy, silent, remote := head("healthy", "north"), head("silent", "north"), head("remote", "south")
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	b.SetPeerReports(PeerReports{Suspects: map[serving.EndpointID]bool{"silent": true}, Unreachable: map[serving.DataCentre]bool{"south": true}})
	now := time.Now()
	for range 100 {
		require.Equal(t, healthy, b.ChooseHead([]*directory.Head{silent, healthy, remote}, RequestSize{Prompt: 100}, nil, false, now).Head)
	}
	require.NotNil(t, b.ChooseHead([]*directory.Head{silent, remote}, RequestSize{Prompt: 100}, nil, false, now).Head, "no other is left")
	active := b.begin(silent.Endpoint, RequestSize{Prompt: 100}, now)
	active.recordEvent(now)
	chosen := map[serving.EndpointID]bool{}
	for range 100 {
		chosen[b.ChooseHead([]*directory.Head{silent, healthy}, RequestSize{Prompt: 100}, nil, false, now).Head.ID] = true
	}
	require.Len(t, chosen, 2, "it has sent an event here")
}

// The total weight of remote groups must not grow with the number of data centres.
func TestChooseHead_PrefersLocalDataCentre(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	share := func(dataCentres int) float64 {
		var heads []*directory.Head
		for i := range 6 * dataCentres {
			dc := serving.DataCentre(fmt.Sprint(i % dataCentres))
			heads = append(heads, &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: dc, Slots: 30}, Engine: engine, TimeFactor: 1})
		}
		b := NewBalancer("0", rand.NewPCG(1, 1), DefaultWeights)
		remote := 0
		const requests = 4000
		for range requests {
			if b.ChooseHead(heads, RequestSize{Prompt: 700}, nil, false, time.Now()).Head.DataCentre != "0" {
				remote++
			}
		}
		return float64(remote) / requests
	}
	require.InDelta(t, share(3), share(7), 0.03)
	require.Less(t, share(2), share(3))
}

// An unreachable data centre is probed with single requests and a growing delay, until one of its
// groups sends an event.
func TestUnreachable_ProbesWithBackoff(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	var heads []*directory.Head
	for i := range 9 {
		dc := serving.DataCentre("south")
		if i == 0 {
			dc = "north"
		}
		heads = append(heads, &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: dc, Slots: 30}, Engine: engine, TimeFactor: 1})
	}
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	now := time.Now()
	choose := func() *directory.Head {
		head := b.ChooseHead(heads, RequestSize{Prompt: 100}, nil, false, now).Head
		require.NotNil(t, head)
		return head
	}
	remoteAttempts := func(requests int) (attempts int, last *directory.Head) {
		for range requests {
			if head := choose(); head.DataCentre == "south" {
				attempts++
				last = head
			}
		}
		return attempts, last
	}
	remoteAttempts(1)
	for _, id := range []serving.EndpointID{"1", "2"} {
		b.Suspect(id, now)
	}
	attempts, _ := remoteAttempts(200)
	require.Zero(t, attempts)
	now = now.Add(unreachableRetry + time.Millisecond)
	attempts, head := remoteAttempts(200)
	require.Equal(t, 1, attempts)
	b.Suspect(head.ID, now)
	now = now.Add(unreachableRetry + time.Millisecond)
	attempts, _ = remoteAttempts(200)
	require.Zero(t, attempts, "the second delay is longer")
	now = now.Add(unreachableRetry + time.Millisecond)
	attempts, head = remoteAttempts(200)
	require.Equal(t, 1, attempts)
	b.begin(head.Endpoint, RequestSize{}, now).recordEvent(now)
	attempts, _ = remoteAttempts(200)
	require.Greater(t, attempts, 50)
}

func newHead(id string, epoch uint64) *directory.Head {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	e := &serving.Endpoint{ID: serving.EndpointID(id), DataCentre: "north", Slots: 30, Membership: serving.Membership{Group: "g" + id, Epoch: epoch}}
	return &directory.Head{Endpoint: e, Engine: engine, TimeFactor: 1}
}

// firstHeadShare returns the part of the choices that fall on the first head.
func firstHeadShare(b *Balancer, heads []*directory.Head, now time.Time) float64 {
	const choices = 2000
	n := 0
	for range choices {
		if b.ChooseHead(heads, RequestSize{Prompt: 100}, nil, false, now).Head == heads[0] {
			n++
		}
	}
	return float64(n) / choices
}

// An endpoint that reports itself healthy but fails every request is avoided until its failures have
// decayed.
func TestHealth_AvoidsFailingEndpoints(t *testing.T) {
	weights := DefaultWeights
	now := time.Now()
	for _, c := range []struct {
		policy    health.FailurePolicy
		low, high float64
	}{
		{health.Ignore, 0.45, 0.55},
		{health.Suspect, 0, 0},
		{health.Compare, 0, 0.02},
	} {
		t.Run(c.policy.String(), func(t *testing.T) {
			weights.Failures = c.policy
			b := NewBalancer("north", rand.NewPCG(1, 1), weights)
			heads := []*directory.Head{newHead("a", 1), newHead("b", 2)}
			for range 6 {
				f := b.begin(heads[0].Endpoint, RequestSize{Prompt: 100}, now)
				f.recordOutcome(true, now)
				f.end()
			}
			share := firstHeadShare(b, heads, now)
			require.GreaterOrEqual(t, share, c.low)
			require.LessOrEqual(t, share, c.high)
			require.InDelta(t, 0.5, firstHeadShare(b, heads, now.Add(30*time.Second)), 0.05, "its failures decay")
		})
	}
}

// Results of an earlier group with the same head must not count for the current one.
func TestHealth_IgnoresEarlierEpochs(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	before := newHead("a", 1)
	for range 6 {
		f := b.begin(before.Endpoint, RequestSize{}, now)
		f.recordOutcome(true, now)
		f.end()
	}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Epoch: 1, Tally: health.Tally{Failed: 20}}})
	heads := []*directory.Head{newHead("a", 3), newHead("b", 2)}
	require.InDelta(t, 0.5, firstHeadShare(b, heads, now), 0.05)
}

// Results reported by peers count like this node's own.
func TestHealth_CountsPeerFailures(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	heads := []*directory.Head{newHead("a", 1), newHead("b", 2)}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Epoch: 1, Tally: health.Tally{Failed: 9}}, "b": {Epoch: 2, Tally: health.Tally{Served: 9}}})
	require.Less(t, firstHeadShare(b, heads, now), 0.02)
}

// A flapping plain endpoint is avoided while there is another.
func TestChoosePlain_AvoidsFailingEndpoints(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	endpoints := []*serving.Endpoint{{ID: "failing", DataCentre: "north"}, {ID: "healthy", DataCentre: "south"}}
	f := b.begin(endpoints[0], RequestSize{}, now)
	f.recordOutcome(true, now)
	f.end()
	for range 10 {
		chosen, ok := b.ChoosePlain(endpoints, nil, now)
		require.True(t, ok)
		require.Equal(t, serving.EndpointID("healthy"), chosen.ID)
	}
	only, ok := b.ChoosePlain(endpoints[:1], nil, now)
	require.True(t, ok, "a failing endpoint is better than none")
	require.Equal(t, serving.EndpointID("failing"), only.ID)
}

// A request queued at a busy head that sends events to other nodes must not make the head suspect.
func TestStall_PeerEventsShowLiveness(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	f := b.begin(newHead("a", 1).Endpoint, RequestSize{Prompt: 100}, now)
	later := now.Add(700 * time.Millisecond)
	require.Equal(t, 700*time.Millisecond, f.endpointSilence(later))
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Running: 9, LastEvent: later.Add(-30 * time.Millisecond)}})
	require.Equal(t, 30*time.Millisecond, f.endpointSilence(later))
	require.Equal(t, later.Add(-30*time.Millisecond), b.LastEvent("a"))
	f.recordEvent(later)
	require.Equal(t, 600*time.Millisecond, f.endpointSilence(later.Add(600*time.Millisecond)), "a started stream does not rely on peers")
}

func TestPeerLoad_Add(t *testing.T) {
	now := time.Now()
	sum := PeerLoad{Running: 1, Unread: 100, LastEvent: now, Epoch: 4, Tally: health.Tally{Served: 2}}.
		Add(PeerLoad{Running: 2, LastEvent: now.Add(-time.Second), Epoch: 3, Tally: health.Tally{Failed: 9}}).
		Add(PeerLoad{Epoch: 4, Tally: health.Tally{Failed: 1}})
	require.Equal(t, PeerLoad{Running: 3, Unread: 100, LastEvent: now, Epoch: 4, Tally: health.Tally{Served: 2, Failed: 1}}, sum)
}

// A stream whose connection is silent while its head sends events to others is resumed elsewhere
// before the caller gives up.
func TestStall_DetectsSilentConnection(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	head := newHead("a", 1).Endpoint
	silent, healthy := b.begin(head, RequestSize{Prompt: 100}, now), b.begin(head, RequestSize{Prompt: 100}, now)
	silent.recordEvent(now)
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(20 * time.Millisecond) {
		healthy.recordEvent(at)
	}
	later := now.Add(2 * time.Second)
	require.Less(t, silent.endpointSilence(later), 100*time.Millisecond, "the head sends events")
	require.Equal(t, 2*time.Second, silent.requestSilence(later))
	require.Less(t, requestStallAfter, 2*time.Second)
}

// With the only endpoint in an unreachable data centre, requests other than probes are rejected
// immediately.
func TestChoosePlain_SkipsUnreachableDataCentre(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	remote := []*serving.Endpoint{{ID: "p", DataCentre: "south"}}
	for range unreachableAfter {
		chosen, ok := b.ChoosePlain(remote, nil, now)
		require.True(t, ok)
		b.Suspect(chosen.ID, now)
	}
	_, ok := b.ChoosePlain(remote, nil, now.Add(time.Second))
	require.False(t, ok)
	_, ok = b.ChoosePlain(remote, nil, now.Add(unreachableRetry+time.Second))
	require.True(t, ok, "one request probes it")
	_, ok = b.ChoosePlain(remote, nil, now.Add(unreachableRetry+time.Second))
	require.False(t, ok)
}

// A group with a slow member is avoided until its events keep the expected pace again.
func TestChooseHead_AvoidsSlowGroups(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	heads := []*directory.Head{newHead("a", 1), newHead("b", 2)}
	f := b.begin(heads[0].Endpoint, RequestSize{Prompt: 100}, now)
	f.head = heads[0]
	for range 20 {
		now = now.Add(400 * time.Millisecond)
		f.recordEvent(now)
	}
	f.end()
	require.Less(t, firstHeadShare(b, heads, now), 0.1)
	require.InDelta(t, 0.5, firstHeadShare(b, heads, now.Add(30*time.Second)), 0.05)
	b.weights.ObservedPace = false
	require.InDelta(t, 0.5, firstHeadShare(b, heads, now), 0.05)
}
