package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// acquainted returns a node that knows sixty others of three data centres.
func acquainted(now time.Time) *sharing {
	s := &sharing{
		settings:   &Settings{Node: "n", DataCentre: "dc0", Peers: "10.0.0.100:1"},
		peers:      map[string]*peer{},
		controller: standby{},
	}
	for i := range 60 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		s.peers[address] = &peer{
			id:         fmt.Sprintf("n%d", i),
			address:    address,
			dataCentre: serving.DataCentre(fmt.Sprintf("dc%d", i%3)),
			heard:      now,
		}
	}
	return s
}

// Sixty nodes called all others at the same moment, ten seconds after their
// start, and none of them answered for a second. Found on quiet-1 of
// sahayam-kochi-grown.
func TestFewCallsBeginAtOnce(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	called := map[string]bool{}
	for range 30 {
		due := s.due(now)
		require.LessOrEqual(t, len(due), callsPerTick)
		for _, p := range due {
			called[p.id] = true
			p.busy = false
		}
		now = now.Add(time.Millisecond)
	}
	require.Len(t, called, 60, "each has its turn")
}

func TestANodeThatHearsItsControllerCallsNobodyElse(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	for range 200 {
		controller.heard, s.heardController = now, now
		for _, p := range s.due(now) {
			require.Equal(t, controller, p)
			p.busy = false
		}
		now = now.Add(shareTick)
	}
}

// What a node finds silent is told at once, and not with the next message.
func TestASuspicionIsToldToTheControllerAtOnce(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	s.urgent = make(chan struct{}, 1)
	balancer := relay.NewBalancer("dc0", rand.NewPCG(1, 1), relay.DefaultWeights)
	balancer.OnSuspect(s.hurry)
	balancer.Suspect("e", now)
	require.Len(t, s.urgent, 1)
	require.Nil(t, s.ownController(now), "no controller is known")
	controller := s.peers["10.0.0.3:1"]
	controller.controls = true
	controller.called = now
	require.Equal(t, controller, s.ownController(now))
	require.Nil(t, s.ownController(now), "it is being called")
	<-s.urgent
	balancer.Suspect("e", now.Add(time.Second))
	require.Empty(t, s.urgent, "it is told once")
}

func TestAPeerThatDoesNotAnswerIsForgottenAndASilentOneIsNot(t *testing.T) {
	now := time.Now()
	s := acquainted(now)
	now = now.Add(forgetPeer + time.Second)
	s.peers["10.0.0.1:1"].failed = now.Add(-time.Second)
	s.due(now)
	require.Len(t, s.peers, 59)
	require.NotContains(t, s.peers, "10.0.0.1:1")
}

// What is large is sent only to a peer that has lacked it for a while: most get
// it from the store. Found on trouble-2 of sahayam-kochi-grown: a configuration
// of 1,400 routes and rolling restarts took 1.3 GB between data centres.
func TestWhatIsLargeIsSentToWhoLacksItForAWhile(t *testing.T) {
	now := time.Now()
	p := &peer{configuration: 3, rows: 9}
	require.False(t, p.behind(3, now))
	require.False(t, p.behind(4, now))
	require.False(t, p.behind(4, now.Add(largeAfter-time.Millisecond)))
	require.True(t, p.behind(4, now.Add(largeAfter)))
	p.configuration = 4
	require.False(t, p.behind(4, now.Add(largeAfter)))
	p.rows = 0
	now = now.Add(time.Minute)
	require.False(t, p.behind(4, now))
	require.True(t, p.behind(4, now.Add(largeAfter)))
}

// standby is a node that controls nothing.
type standby struct{}

func (standby) Epoch() uint64          { return 0 }
func (standby) HoldsOver() bool        { return false }
func (standby) HeardController(uint64) {}
