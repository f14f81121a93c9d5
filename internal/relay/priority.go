package relay

import (
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// lowestPriority is the last one in the order of an endpoint's queue.
const lowestPriority = 9

// urgencyLevel returns the level of a request among those of its service.
func (c *call) urgencyLevel(workspace serving.Workspace) admission.Level {
	rank := c.view.Configuration.Urgency(c.service, c.route, workspace)
	return admission.Level(min(rank, int(admission.MaxLevel)))
}

// isOrdered reports whether endpoints serve the requests of the service by urgency.
func (c *call) isOrdered() bool {
	return c.options.Overload != nil && c.view.Configuration.Urgencies(c.service) > 1
}

// priority returns the request's place in the order of an endpoint's queue, or nil if all requests of
// the service are equally urgent.
func (c *call) priority() *admission.Level {
	if !c.isOrdered() {
		return nil
	}
	urgencies := c.view.Configuration.Urgencies(c.service)
	place := queuePlace(c.level, urgencies, c.attempts > 0 || c.lastEvent != "")
	return &place
}

// queuePlace returns the place of a level in the order of an endpoint's queue. Retries and resumed
// streams precede new requests of their level, since their callers have waited. If there are more places
// than the queue tells apart, neighbouring ones share one.
func queuePlace(level admission.Level, urgencies int, isRetry bool) admission.Level {
	place, last := 2*int(level)+1, 2*urgencies-1
	if isRetry {
		place--
	}
	if last > lowestPriority {
		place = place * lowestPriority / last
	}
	return admission.Level(min(place, lowestPriority))
}
