package soak

import (
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

// disturbanceEvery is the mean number of faults per disturbance of an endpoint's answers.
const disturbanceEvery = 3

// drawDisturbance occasionally makes an endpoint answer wrongly for a time: with bytes that do not end, or resumptions
// with something else than the rest of the stream. Streams are interrupted meanwhile, so that there are resumptions.
func (r *Run) drawDisturbance(running *sync.WaitGroup) {
	if r.disturbanceRandom.IntN(disturbanceEvery) != 0 {
		return
	}
	id := r.drawEndpoint(r.disturbanceRandom)
	disturbance := emulator.Disturbances[r.disturbanceRandom.IntN(len(emulator.Disturbances))]
	duration := time.Duration(500+r.disturbanceRandom.IntN(2000)) * time.Millisecond
	running.Go(func() {
		r.platform.SetDisturbance(id, disturbance)
		r.platform.SetBreakShare(disturbedBreakShare)
		time.Sleep(duration)
		r.platform.SetBreakShare(0)
		r.platform.SetDisturbance(id, emulator.Undisturbed)
	})
}

// disturbedBreakShare is the share of streams that are interrupted while an endpoint is disturbed.
const disturbedBreakShare = 0.2
