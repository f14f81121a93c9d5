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

// Sixty nodes that were told the same must not all send to the group that
// looks best: first events of the large model took 0.7 s at the median while its
// groups were half empty.
func TestChooseHead_NodesWithTheSameLoadsSpread(t *testing.T) {
	const nodes, groups = 600, 6
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	var heads []*directory.Head
	told := map[serving.EndpointID]PeerLoad{}
	for i := range groups {
		h := &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: "north", Slots: 30}, Engine: engine, Pace: 1}
		heads = append(heads, h)
		told[h.ID] = PeerLoad{Running: 8, Unread: 1000}
	}
	told["0"] = PeerLoad{Running: 4}
	told["5"] = PeerLoad{Running: 20, Unread: 20_000}
	chosen := map[serving.EndpointID]int{}
	for i := range nodes {
		b := NewBalancer("north", rand.NewPCG(uint64(i), 1), DefaultWeights)
		b.SetPeerLoads(told)
		chosen[b.ChooseHead(heads, RequestSize{Prompt: 1400}, nil, false, time.Now()).Head.ID]++
	}
	require.Less(t, chosen["0"], nodes/2)
	require.Greater(t, chosen["0"], chosen["1"])
	require.Less(t, chosen["5"], nodes/50, "a group that is overrun is left alone")
}

// An endpoint that is predicted to take long is not taken for a dead one after
// the usual time.
func TestStall_ThresholdFollowsThePrediction(t *testing.T) {
	c := &call{Relay: &Relay{options: Options{StallAfter: 500 * time.Millisecond}}}
	require.Equal(t, 500*time.Millisecond, c.stallAfter(Prediction{First: 80 * time.Millisecond, Gap: 60 * time.Millisecond}))
	require.Equal(t, 1200*time.Millisecond, c.stallAfter(Prediction{First: 400 * time.Millisecond, Gap: 60 * time.Millisecond}))
	require.Equal(t, 900*time.Millisecond, c.stallAfter(Prediction{First: 80 * time.Millisecond, Gap: 300 * time.Millisecond}))
}

// A request that every group would start far too late is refused at once, and
// one that was under way elsewhere is not.
func TestChooseHead_RejectsRequestsThatWouldStartTooLate(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := &directory.Head{Endpoint: &serving.Endpoint{ID: "h", DataCentre: "north", Slots: 30}, Engine: engine, Pace: 1}
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	size := RequestSize{Prompt: 1400, Objective: 300 * time.Millisecond}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h": {Running: 5, Unread: 8_000}})
	require.NotNil(t, b.ChooseHead([]*directory.Head{head}, size, nil, false, time.Now()).Head)
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"h": {Running: 15, Unread: 20_000}})
	refused := b.ChooseHead([]*directory.Head{head}, size, nil, false, time.Now())
	require.Nil(t, refused.Head)
	require.Equal(t, 1, refused.Late)
	require.NotNil(t, b.ChooseHead([]*directory.Head{head}, size, nil, true, time.Now()).Head)
}

// What several other nodes find silent is passed over before this node has lost a request
// to it, unless it sends something here, or nothing else is left.
func TestPeerReports_SuspectsArePassedOver(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	head := func(id string, dc serving.DataCentre) *directory.Head {
		return &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(id), DataCentre: dc, Slots: 30}, Engine: engine, Pace: 1}
	}
	sound, silent, remote := head("sound", "north"), head("silent", "north"), head("remote", "south")
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	b.SetPeerReports(PeerReports{Suspects: map[serving.EndpointID]bool{"silent": true}, Unreachable: map[serving.DataCentre]bool{"south": true}})
	now := time.Now()
	for range 100 {
		require.Equal(t, sound, b.ChooseHead([]*directory.Head{silent, sound, remote}, RequestSize{Prompt: 100}, nil, false, now).Head)
	}
	require.NotNil(t, b.ChooseHead([]*directory.Head{silent, remote}, RequestSize{Prompt: 100}, nil, false, now).Head, "nothing else is left")
	flight := b.begin(silent.Endpoint, RequestSize{Prompt: 100}, now)
	flight.recordEvent(now)
	chosen := map[serving.EndpointID]bool{}
	for range 100 {
		chosen[b.ChooseHead([]*directory.Head{silent, sound}, RequestSize{Prompt: 100}, nil, false, now).Head.ID] = true
	}
	require.Len(t, chosen, 2, "it has shown life here")
}

// However many other data centres there are, what they weigh together does not grow.
func TestChooseHead_PrefersItsOwnDataCentreAmongMany(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	share := func(dataCentres int) float64 {
		var heads []*directory.Head
		for i := range 6 * dataCentres {
			dc := serving.DataCentre(fmt.Sprint(i % dataCentres))
			heads = append(heads, &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: dc, Slots: 30}, Engine: engine, Pace: 1})
		}
		b := NewBalancer("0", rand.NewPCG(1, 1), DefaultWeights)
		away := 0
		const requests = 4000
		for range requests {
			if b.ChooseHead(heads, RequestSize{Prompt: 700}, nil, false, time.Now()).Head.DataCentre != "0" {
				away++
			}
		}
		return float64(away) / requests
	}
	require.InDelta(t, share(3), share(7), 0.03)
	require.Less(t, share(2), share(3))
}

// A data centre of which two groups in a row are silent is tried with single
// requests, ever more seldom, until one of its groups shows life.
func TestCutOff_ProbesWithBackoff(t *testing.T) {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	var heads []*directory.Head
	for i := range 9 {
		place := serving.DataCentre("south")
		if i == 0 {
			place = "north"
		}
		heads = append(heads, &directory.Head{Endpoint: &serving.Endpoint{ID: serving.EndpointID(fmt.Sprint(i)), DataCentre: place, Slots: 30}, Engine: engine, Pace: 1})
	}
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	now := time.Now()
	choose := func() *directory.Head {
		head := b.ChooseHead(heads, RequestSize{Prompt: 100}, nil, false, now).Head
		require.NotNil(t, head)
		return head
	}
	remoteTries := func(requests int) (tries int, last *directory.Head) {
		for range requests {
			if head := choose(); head.DataCentre == "south" {
				tries++
				last = head
			}
		}
		return tries, last
	}
	remoteTries(1)
	for _, id := range []serving.EndpointID{"1", "2"} {
		b.Suspect(id, now)
	}
	tries, _ := remoteTries(200)
	require.Zero(t, tries)
	now = now.Add(unreachableRetry + time.Millisecond)
	tries, head := remoteTries(200)
	require.Equal(t, 1, tries)
	b.Suspect(head.ID, now)
	now = now.Add(unreachableRetry + time.Millisecond)
	tries, _ = remoteTries(200)
	require.Zero(t, tries, "the second wait is longer")
	now = now.Add(unreachableRetry + time.Millisecond)
	tries, head = remoteTries(200)
	require.Equal(t, 1, tries)
	b.begin(head.Endpoint, RequestSize{}, now).recordEvent(now)
	tries, _ = remoteTries(200)
	require.Greater(t, tries, 50)
}

// testHead returns the head of a group of an epoch.
func testHead(id string, epoch uint64) *directory.Head {
	engine := &serving.Engine{Slots: 30, StepTime: 6 * time.Millisecond, StepsPerPass: 7, TokensPerSec: 50_000, Chunk: 2048}
	e := &serving.Endpoint{ID: serving.EndpointID(id), DataCentre: "north", Slots: 30, Membership: serving.Membership{Group: "g" + id, Epoch: epoch}}
	return &directory.Head{Endpoint: e, Engine: engine, Pace: 1}
}

// shareOf returns the part of the choices that fall on the first head.
func shareOf(b *Balancer, heads []*directory.Head, now time.Time) float64 {
	const choices = 2000
	n := 0
	for range choices {
		if b.ChooseHead(heads, RequestSize{Prompt: 100}, nil, false, now).Head == heads[0] {
			n++
		}
	}
	return float64(n) / choices
}

// An endpoint that says it is well and breaks every request off is left alone, and
// tried again once its failures are old or it leads another group. Sixteen that did
// so for six seconds cost 316 streams while a try without an answer put no doubt on
// its endpoint.
func TestHealth_FailingEndpointsAreChosenSeldom(t *testing.T) {
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
			heads := []*directory.Head{testHead("a", 1), testHead("b", 2)}
			for range 6 {
				f := b.begin(heads[0].Endpoint, RequestSize{Prompt: 100}, now)
				f.recordOutcome(true, now)
				f.end()
			}
			share := shareOf(b, heads, now)
			require.GreaterOrEqual(t, share, c.low)
			require.LessOrEqual(t, share, c.high)
			require.InDelta(t, 0.5, shareOf(b, heads, now.Add(30*time.Second)), 0.05, "it is tried again")
		})
	}
}

// What requests came to in an earlier group of the same head says nothing of this one.
func TestHealth_FailuresOfAnEarlierGroupDoNotCount(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	before := testHead("a", 1)
	for range 6 {
		f := b.begin(before.Endpoint, RequestSize{}, now)
		f.recordOutcome(true, now)
		f.end()
	}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Epoch: 1, Tally: health.Tally{Failed: 20}}})
	heads := []*directory.Head{testHead("a", 3), testHead("b", 2)}
	require.InDelta(t, 0.5, shareOf(b, heads, now), 0.05)
}

// What other nodes met counts as what this one met.
func TestHealth_FailuresOfPeersCount(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	heads := []*directory.Head{testHead("a", 1), testHead("b", 2)}
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Epoch: 1, Tally: health.Tally{Failed: 9}}, "b": {Epoch: 2, Tally: health.Tally{Served: 9}}})
	require.Less(t, shareOf(b, heads, now), 0.02)
}

// A plain endpoint that goes down and up by turns is left to the others.
func TestChoosePlain_AvoidsFailingEndpoints(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	endpoints := []*serving.Endpoint{{ID: "flapping", DataCentre: "north"}, {ID: "sound", DataCentre: "south"}}
	f := b.begin(endpoints[0], RequestSize{}, now)
	f.recordOutcome(true, now)
	f.end()
	for range 10 {
		chosen, ok := b.ChoosePlain(endpoints, nil, now)
		require.True(t, ok)
		require.Equal(t, serving.EndpointID("sound"), chosen.ID)
	}
	only, ok := b.ChoosePlain(endpoints[:1], nil, now)
	require.True(t, ok, "a doubt alone turns nothing away")
	require.Equal(t, serving.EndpointID("flapping"), only.ID)
}

// A request that waits half a second at a full head which gives others their events
// does not have the head taken for dead.
func TestStall_EventsOfPeersShowLiveness(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	f := b.begin(testHead("a", 1).Endpoint, RequestSize{Prompt: 100}, now)
	later := now.Add(700 * time.Millisecond)
	require.Equal(t, 700*time.Millisecond, f.endpointSilence(later))
	b.SetPeerLoads(map[serving.EndpointID]PeerLoad{"a": {Running: 9, LastEvent: later.Add(-30 * time.Millisecond)}})
	require.Equal(t, 30*time.Millisecond, f.endpointSilence(later))
	require.Equal(t, later.Add(-30*time.Millisecond), b.LastEvent("a"))
	f.recordEvent(later)
	require.Equal(t, 600*time.Millisecond, f.endpointSilence(later.Add(600*time.Millisecond)), "a stream that had begun stops")
}

// Two nodes' words on an endpoint add up; what is of an earlier group is left out.
func TestPeerLoad_AddsUp(t *testing.T) {
	now := time.Now()
	sum := PeerLoad{Running: 1, Unread: 100, LastEvent: now, Epoch: 4, Tally: health.Tally{Served: 2}}.
		Add(PeerLoad{Running: 2, LastEvent: now.Add(-time.Second), Epoch: 3, Tally: health.Tally{Failed: 9}}).
		Add(PeerLoad{Epoch: 4, Tally: health.Tally{Failed: 1}})
	require.Equal(t, PeerLoad{Running: 3, Unread: 100, LastEvent: now, Epoch: 4, Tally: health.Tally{Served: 2, Failed: 1}}, sum)
}

// A stream whose own connection has fallen silent for good, while its head gives others
// their events, goes on elsewhere before its caller gives it up.
func TestStall_DetectsASilentConnection(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	head := testHead("a", 1).Endpoint
	silent, sound := b.begin(head, RequestSize{Prompt: 100}, now), b.begin(head, RequestSize{Prompt: 100}, now)
	silent.recordEvent(now)
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(20 * time.Millisecond) {
		sound.recordEvent(at)
	}
	later := now.Add(2 * time.Second)
	require.Less(t, silent.endpointSilence(later), 100*time.Millisecond, "the head lives")
	require.Equal(t, 2*time.Second, silent.requestSilence(later))
	require.Less(t, requestStallAfter, 2*time.Second)
}

// Requests of a plain service whose last endpoint is in a data centre that is cut off are
// refused at once, but for single tries.
func TestChoosePlain_SkipsADataCentreThatIsCutOff(t *testing.T) {
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
	require.True(t, ok, "one request tries it")
	_, ok = b.ChoosePlain(remote, nil, now.Add(unreachableRetry+time.Second))
	require.False(t, ok)
}

// A group with a member that runs ten times slower sends its events ten times slower,
// which no row tells; it is left alone until it keeps its pace again.
func TestChooseHead_SlowGroupsAreChosenSeldom(t *testing.T) {
	now := time.Now()
	b := NewBalancer("north", rand.NewPCG(1, 1), DefaultWeights)
	heads := []*directory.Head{testHead("a", 1), testHead("b", 2)}
	f := b.begin(heads[0].Endpoint, RequestSize{Prompt: 100}, now)
	f.head = heads[0]
	for range 20 {
		now = now.Add(400 * time.Millisecond)
		f.recordEvent(now)
	}
	f.end()
	require.Less(t, shareOf(b, heads, now), 0.1)
	require.InDelta(t, 0.5, shareOf(b, heads, now.Add(30*time.Second)), 0.05)
	b.weights.ObservedPace = false
	require.InDelta(t, 0.5, shareOf(b, heads, now), 0.05)
}
