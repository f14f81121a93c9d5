package relay

import (
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// lowestPriority is the last one in the order of an endpoint's queue.
const lowestPriority = 9

// level returns the urgency of a request.
func level(route *serving.Route, workspace serving.Workspace) admission.Level {
	priority := route.Priority
	if workspace.HasPriority {
		priority = workspace.Priority
	}
	return admission.Level(min(max(priority, 0), lowestPriority))
}

// priority returns the request's place in the order of an endpoint's queue, or nil if all requests of
// the service are equally urgent. Retries and resumed streams precede new requests of their level,
// since their callers have waited.
func (c *call) priority() *admission.Level {
	if c.options.Overload == nil || !c.view.Configuration.HasLevels(c.service) {
		return nil
	}
	order := 2*c.level + 1
	if c.attempts > 0 || c.lastEvent != "" {
		order--
	}
	order = min(order, lowestPriority)
	return &order
}
