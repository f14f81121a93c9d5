package relay

import (
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/quarantine"
)

// replaced returns those incarnations that have been replaced by another, in this node's view of
// the endpoints.
func (r *Relay) replaced(incarnations []quarantine.Incarnation) []quarantine.Incarnation {
	if len(incarnations) == 0 {
		// Avoid building a view, which happens on demand.
		return nil
	}
	view := r.options.View()
	var out []quarantine.Incarnation
	for _, incarnation := range incarnations {
		if isReplaced(view, incarnation) {
			out = append(out, incarnation)
		}
	}
	return out
}

// isReplaced reports whether another incarnation is listed under an endpoint's ID or address.
func isReplaced(view *directory.View, incarnation quarantine.Incarnation) bool {
	if e := view.Endpoints[incarnation.Endpoint]; e != nil {
		return e.StartedAt != incarnation.StartedAt
	}
	for _, e := range view.Endpoints {
		if e.Address == incarnation.Address {
			return true
		}
	}
	return false
}
