package entry

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/relay"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// leastVoices is how many nodes must find the same before a relay tells the others: one
// alone may have a bad link of its own.
const leastVoices = 2

// gather returns what several nodes of this data centre find, this one among them; the
// caller holds the lock.
func (s *sharing) gather(own []serving.EndpointID, ownCutOff []serving.DataCentre, now time.Time) relay.Hearsay {
	suspects, cutOff := map[serving.EndpointID]int{}, map[serving.DataCentre]int{}
	count(suspects, own)
	count(cutOff, ownCutOff)
	for _, p := range s.peers {
		if p.dataCentre == s.settings.DataCentre && now.Sub(p.heard) < loadTTL {
			count(suspects, p.suspects)
			count(cutOff, p.cutOff)
		}
	}
	return relay.Hearsay{Suspects: severalOf(suspects), CutOff: severalOf(cutOff)}
}

func count[K comparable](voices map[K]int, found []K) {
	for _, k := range found {
		voices[k]++
	}
}

// severalOf returns what enough nodes found.
func severalOf[K comparable](voices map[K]int) map[K]bool {
	out := map[K]bool{}
	for k, n := range voices {
		if n >= leastVoices {
			out[k] = true
		}
	}
	return out
}

// addHearsay adds it to a message of a relay.
func addHearsay(m *peers.ShareMessage, h relay.Hearsay) {
	for id := range h.Suspects {
		m.RelayedSuspects = append(m.RelayedSuspects, string(id))
	}
	for dc := range h.CutOff {
		m.RelayedCutOff = append(m.RelayedCutOff, string(dc))
	}
}

// toHearsay is the reverse of addHearsay.
func toHearsay(m *peers.ShareMessage) relay.Hearsay {
	h := relay.Hearsay{Suspects: map[serving.EndpointID]bool{}, CutOff: map[serving.DataCentre]bool{}}
	for _, id := range m.GetRelayedSuspects() {
		h.Suspects[serving.EndpointID(id)] = true
	}
	for _, dc := range m.GetRelayedCutOff() {
		h.CutOff[serving.DataCentre(dc)] = true
	}
	return h
}
