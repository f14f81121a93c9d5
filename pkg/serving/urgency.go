package serving

import (
	"cmp"
	"slices"
)

// urgency is the priority of a request: that of its workspace, then that of its route. Lower values
// are more urgent.
type urgency struct{ workspace, route int }

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.workspace, other.workspace), cmp.Compare(u.route, other.route))
}

// urgencyOf returns the urgency of a request. A workspace without a priority takes the route's.
func urgencyOf(r *Route, w Workspace) urgency {
	if w.HasPriority {
		return urgency{w.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

// Urgency returns how many priorities of requests to a service precede that of a request, zero for the
// most urgent ones. A workspace's priority goes before the route's.
func (c *Configuration) Urgency(service string, r *Route, w Workspace) int {
	rank, _ := slices.BinarySearchFunc(c.urgencies[service], urgencyOf(r, w), urgency.compare)
	return rank
}

// Urgencies returns the number of different priorities of requests to a service with an engine.
func (c *Configuration) Urgencies(service string) int { return len(c.urgencies[service]) }

// RanksRoutes reports whether streaming routes to a service differ in priority. Priorities of workspaces alone
// don't rank the models, since each workspace may use all of them.
func (c *Configuration) RanksRoutes(service string) bool {
	first, found := 0, false
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != KindStream {
			continue
		}
		for _, s := range r.Splits {
			if s.Service != service {
				continue
			}
			if found && r.Priority != first {
				return true
			}
			first, found = r.Priority, true
		}
	}
	return false
}

// indexUrgencies collects the priorities of the requests of each service with an engine.
func (c *Configuration) indexUrgencies() {
	c.urgencies = map[string][]urgency{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, s := range r.Splits {
			if c.Services[s.Service].Engine != nil {
				c.urgencies[s.Service] = append(c.urgencies[s.Service], r.urgencies(c.Workspaces)...)
			}
		}
	}
	for service, all := range c.urgencies {
		slices.SortFunc(all, urgency.compare)
		c.urgencies[service] = slices.Compact(all)
	}
}

// urgencies returns the priorities that requests of a route can have.
func (r *Route) urgencies(workspaces map[string]Workspace) []urgency {
	var out []urgency
	if r.Public || len(workspaces) == 0 {
		out = append(out, urgencyOf(r, Workspace{}))
	}
	for _, w := range workspaces {
		out = append(out, urgencyOf(r, w))
	}
	return out
}
