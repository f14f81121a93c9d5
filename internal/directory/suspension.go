package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// HandleSuspension backdates everything known by the time for which this machine was
// suspended, because the clock that dated it stood still. Otherwise old statements would be
// sent to peers as new ones.
func (d *Directory) HandleSuspension(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range []*time.Time{&d.configurationAnswered, &d.coveredAt, &d.resumedAt} {
		clock.Backdate(at, duration)
	}
	for _, record := range d.endpoints {
		for _, at := range []*time.Time{&record.observedAt, &record.removedAt, &record.trustedUntil} {
			clock.Backdate(at, duration)
		}
	}
}
