package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/internal/throttle"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// newTestRelay returns the relay of 59 nodes in one of five data centres. Each node has loads at
// four of a hundred heads.
func newTestRelay(now time.Time) *Gossiper {
	s := &Gossiper{
		quarantine: quarantine.NewQuarantine(func() bool { return false }),
		config:     Config{Incarnation: "n/inc1", DataCentre: "dc0", Address: "10.0.9.9:1"},
		directory:  directory.New(directory.Codec{}),
		balancer:   relay.NewBalancer("dc0", rand.NewPCG(1, 1), relay.DefaultWeights),
		demand:     relay.NewDemand(),
		peers:      map[string]*peer{},
		controller: controls{},
		throttle:   throttle.NewTracker(throttle.Options{}),

		neighbours:    map[string]namedNeighbour{},
		runsForwarded: func() bool { return true },
	}
	heads := func(first, n int) map[serving.EndpointID]relay.PeerLoad {
		out := map[serving.EndpointID]relay.PeerLoad{}
		for i := range n {
			out[serving.EndpointID(fmt.Sprintf("i-%010d", (first+i)%100))] = relay.PeerLoad{Running: 1, Unread: 900}
		}
		return out
	}
	for i := range 62 {
		dc := serving.DataCentre("dc0")
		if i >= 58 {
			dc = serving.DataCentre(fmt.Sprintf("dc%d", i-57))
		}
		address := fmt.Sprintf("10.0.0.%d:1", i)
		p := &peer{id: fmt.Sprintf("n%d/inc1", i), address: address, dataCentre: dc, lastHeard: now, hasSent: true, rows: 1, own: work{loads: heads(4*i, 4)}}
		if i >= 58 {
			p.relays, p.controls, p.localNodes, p.relayed = true, true, 59, work{loads: heads(0, 100)}
		}
		s.peers[address] = p
	}
	return s
}

// controls is a Controller that holds the lease.
type controls struct{ notController }

func (controls) Epoch() uint64 { return 1 }

// BenchmarkRelayMessage measures a relay's response to one call.
func BenchmarkRelayMessage(b *testing.B) {
	s := newTestRelay(time.Now())
	p := s.peers["10.0.0.7:1"]
	size := 0
	for range b.N {
		for _, other := range s.peers {
			other.lastHeard = time.Now()
		}
		size = proto.Size(s.buildMessage(p))
	}
	b.ReportMetric(float64(size), "bytes/message")
}

// BenchmarkRelayMessageRates measures a relay's response to one call with rates of all nodes.
func BenchmarkRelayMessageRates(b *testing.B) {
	for name, short := range map[string]bool{"calm": false, "short": true} {
		b.Run(name, func(b *testing.B) {
			s := newTestRelay(time.Now())
			s.rates = RateExchange{
				Own:         func(time.Time) map[directory.Pool]relay.PoolRates { return sampleRates() },
				OnPeerRates: func(map[directory.Pool]relay.PoolRates, time.Time) {},
				NearlyShort: func(directory.Pool) bool { return short },
			}
			p := s.peers["10.0.0.7:1"]
			size := 0
			for range b.N {
				for _, other := range s.peers {
					other.lastHeard = time.Now()
					if other.own.rates == nil {
						other.own.rates, _ = fromRates(toRates(sampleRates(), s.rates.NearlyShort))
					}
				}
				size = proto.Size(s.buildMessage(p))
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// BenchmarkRowsMessage measures a relay's response with a thousand changed rows, to a node whose
// version of the table many others have as well.
func BenchmarkRowsMessage(b *testing.B) {
	now := time.Now()
	g := newRowsGossiper(now)
	g.directory.SetLogsEachChange(func(serving.DataCentre) bool { return false })
	g.directory.ApplySnapshot(endpointRows(endpointsOfFleet), endpointsOfFleet, now)
	p := &peer{id: "n/1", address: "10.0.0.1:1", dataCentre: g.config.DataCentre, lastHeard: now, hasSent: true, readsCompressedRows: true, rows: endpointsOfFleet - 1000}
	size := 0
	b.ResetTimer()
	for range b.N {
		p.lastHeard = time.Now()
		size = proto.Size(g.buildMessage(p))
	}
	b.ReportMetric(float64(size), "bytes/message")
}
