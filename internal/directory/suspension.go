package directory

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
)

// HandleSuspension backdates all recorded times by the duration of a machine suspension, during
// which the clock did not advance. Otherwise old observations would be sent to peers as new ones,
// and rows that were removed meanwhile would look as if the store had responded all the time.
func (d *Directory) HandleSuspension(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range []*time.Time{&d.configurationResponseAt, &d.tableVersionAt, &d.resumedAt, &d.noticesKnownAt, &d.readAt, &d.peersKnownAt} {
		clock.Backdate(at, duration)
	}
	d.evacuations.Backdate(duration)
	for _, record := range d.endpoints {
		for _, at := range []*time.Time{&record.observedAt, &record.learnedAt, &record.removedAt, &record.graceUntil, &record.coldUntil} {
			clock.Backdate(at, duration)
		}
	}
}
