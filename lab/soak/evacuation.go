package soak

import (
	"sync"
	"time"

	"github.com/ridgehinge/ridgehinge/platform/emulator"
)

const (
	// evacuateEvery is the mean number of faults per evacuation of a data centre.
	evacuateEvery = 6
	// coldTime is how long endpoints are cold after a restart or an evacuation.
	coldTime = 1500 * time.Millisecond
)

// drawEvacuation occasionally evacuates a data centre for a time, after which its endpoints may be
// cold. Only one is evacuated at a time.
func (r *Run) drawEvacuation(running *sync.WaitGroup) {
	if r.evacuationRandom.IntN(evacuateEvery) != 0 {
		return
	}
	dc := dataCentres[r.evacuationRandom.IntN(len(dataCentres))]
	duration := time.Duration(500+r.evacuationRandom.IntN(3500)) * time.Millisecond
	cold := r.evacuationRandom.IntN(2) == 0
	running.Go(func() {
		r.evacuationMu.Lock()
		defer r.evacuationMu.Unlock()
		r.evacuate(dc, duration, cold)
	})
}

func (r *Run) evacuate(dc string, duration time.Duration, cold bool) {
	err := r.platform.Evacuate(dc, true)
	time.Sleep(duration)
	if err == nil && cold {
		err = r.platform.LiftCold(dc, coldTime)
	} else if err == nil {
		err = r.platform.Evacuate(dc, false)
	}
	if err != nil {
		r.recordViolation("test harness: evacuate %s: %v", dc, err)
	}
}

// ExerciseEvacuation evacuates each data centre in turn, without faults, and takes it back with
// cold endpoints.
func (r *Run) ExerciseEvacuation() {
	for _, dc := range dataCentres {
		r.evacuate(dc, emulator.EvacuationBound.Grace+time.Second, true)
		time.Sleep(coldTime)
	}
}
