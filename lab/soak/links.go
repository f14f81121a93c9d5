package soak

import (
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/standin/linkfaults"
	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

const (
	// linkLossEvery is the mean number of faults per loss of links to all endpoints, and pauseEvery that
	// per endpoint that is silent for a time and goes on.
	linkLossEvery = 6
	pauseEvery    = 6
)

// drawLinkLoss occasionally makes the links of an entry instance, or of all of a data centre, to all
// endpoints hang, be reset, live on while new connections are refused, or be silent.
func (r *Run) drawLinkLoss(running *sync.WaitGroup) {
	if r.linkRandom.IntN(linkLossEvery) != 0 {
		return
	}
	fault := linkfaults.All[r.linkRandom.IntN(len(linkfaults.All))]
	duration := time.Duration(500+r.linkRandom.IntN(4500)) * time.Millisecond
	first := r.linkRandom.IntN(len(r.entries))
	affected := []*process{r.entries[first]}
	if r.linkRandom.IntN(3) == 0 {
		affected = nil
		for i := first % len(dataCentres); i < len(r.entries); i += len(dataCentres) {
			affected = append(affected, r.entries[i])
		}
	}
	running.Go(func() {
		for _, p := range affected {
			r.setLinkFault(p, fault)
		}
		time.Sleep(duration)
		for _, p := range affected {
			r.setLinkFault(p, "")
		}
	})
}

// unframedEvery is the mean number of faults per time in which endpoints respond without a length or chunks.
const unframedEvery = 6

// drawUnframed occasionally makes endpoints respond with neither a length nor chunks for a time.
func (r *Run) drawUnframed(running *sync.WaitGroup) {
	if r.linkRandom.IntN(unframedEvery) != 0 {
		return
	}
	duration := time.Duration(500+r.linkRandom.IntN(2500)) * time.Millisecond
	running.Go(func() {
		r.platform.SetUnframed(true)
		time.Sleep(duration)
		r.platform.SetUnframed(false)
	})
}

func (r *Run) setLinkFault(p *process, fault string) {
	if err := emulator.WriteLinkFault(p.linkFaultFile, fault); err != nil {
		r.recordViolation("test harness: %v", err)
	}
}

// drawPause occasionally makes an endpoint silent for about a second, after which it goes on.
func (r *Run) drawPause(running *sync.WaitGroup) {
	if r.linkRandom.IntN(pauseEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.linkRandom)
	duration := time.Duration(500+r.linkRandom.IntN(1000)) * time.Millisecond
	running.Go(func() {
		r.platform.Pause(id, duration)
		time.Sleep(duration)
	})
}
