package relay

import (
	"slices"
	"strings"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// regionLimit limits a request to endpoints in some regions. A nil list sets no limit; if both are
// set, both apply.
type regionLimit struct {
	// known has the region of each data centre.
	known     map[serving.DataCentre]serving.Region
	route     []serving.Region
	workspace []serving.Region
}

// regionLimit returns the request's limit in a configuration, which may be newer than the one by
// which the request was resolved. If the newer one has no such route or key, the earlier limit of
// that route or key stays in force.
func (c *call) regionLimit(configuration *serving.Configuration) regionLimit {
	route := c.route
	if configuration != c.view.Configuration {
		if current := configuration.Match(c.in.Host, c.in.Path); current != nil {
			route = current
		}
	}
	limit := regionLimit{known: c.options.Regions, route: route.AllowedRegions}
	if c.route.Public && route.Public {
		return limit
	}
	workspace, ok := configuration.Workspaces[c.attrs.Key]
	if !ok {
		workspace = c.view.Configuration.Workspaces[c.attrs.Key]
	}
	limit.workspace = workspace.AllowedRegions
	return limit
}

// isSet reports whether any limit applies.
func (l regionLimit) isSet() bool { return l.route != nil || l.workspace != nil }

// allows reports whether endpoints in a data centre may get the request. A data centre whose region
// is not known is not allowed if any limit applies.
func (l regionLimit) allows(dc serving.DataCentre) bool {
	if !l.isSet() {
		return true
	}
	region, ok := l.known[dc]
	return ok && contains(l.route, region) && contains(l.workspace, region)
}

// contains reports whether a list sets no limit or has the region.
func contains(allowed []serving.Region, region serving.Region) bool {
	return allowed == nil || slices.Contains(allowed, region)
}

// endpoints returns the allowed endpoints; without a limit, it returns the given slice.
func (l regionLimit) endpoints(all []*serving.Endpoint) []*serving.Endpoint {
	return allowed(l, all, func(e *serving.Endpoint) serving.DataCentre { return e.DataCentre })
}

// heads returns the allowed heads; without a limit, it returns the given slice.
func (l regionLimit) heads(all []*directory.Head) []*directory.Head {
	return allowed(l, all, func(h *directory.Head) serving.DataCentre { return h.DataCentre })
}

// allowed returns the elements in data centres that a limit allows.
func allowed[T any](l regionLimit, all []T, dataCentre func(T) serving.DataCentre) []T {
	if !l.isSet() {
		return all
	}
	var out []T
	for _, element := range all {
		if l.allows(dataCentre(element)) {
			out = append(out, element)
		}
	}
	return out
}

// leavesNone reports whether the limit excludes endpoints, and all that it allows have failed the
// request.
func (l regionLimit) leavesNone(all []*serving.Endpoint, failed []serving.EndpointID) bool {
	excludes := false
	for _, e := range all {
		if !l.allows(e.DataCentre) {
			excludes = true
		} else if !slices.Contains(failed, e.ID) {
			return false
		}
	}
	return excludes
}

// String returns the limits for the log; it is empty without a limit.
func (l regionLimit) String() string {
	var parts []string
	if l.route != nil {
		parts = append(parts, "route: "+joinRegions(l.route))
	}
	if l.workspace != nil {
		parts = append(parts, "workspace: "+joinRegions(l.workspace))
	}
	return strings.Join(parts, "; ")
}

// joinRegions returns the names of the regions, or "none".
func joinRegions(regions []serving.Region) string {
	if len(regions) == 0 {
		return "none"
	}
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		names = append(names, string(region))
	}
	return strings.Join(names, ",")
}
