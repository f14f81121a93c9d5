package entry

import (
	"slices"
	"strings"

	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// readRegions reads the region of each data centre. Data centres may be missing.
func readRegions(node *inicheck.Section) map[serving.DataCentre]serving.Region {
	const key, allowed = "regions", "DATA-CENTRE:REGION pairs, with commas between and each data centre once"
	out := map[serving.DataCentre]serving.Region{}
	for _, pair := range node.List(key) {
		dc, region, _ := strings.Cut(pair, ":")
		dc, region = strings.TrimSpace(dc), strings.TrimSpace(region)
		_, isRepeated := out[serving.DataCentre(dc)]
		if !inicheck.IsName(dc) || region == "" || isRepeated {
			node.Reject(key, pair, allowed)
			continue
		}
		out[serving.DataCentre(dc)] = serving.Region(region)
	}
	return out
}

// checkRegions logs the allowed regions in a new configuration that no data centre has. They are not
// an error: the operator may add the data centre later.
func (e *Entry) checkRegions() {
	configuration := e.directory.View().Configuration
	if configuration == nil || configuration == e.regionsChecked {
		return
	}
	e.regionsChecked = configuration
	unknown := unknownRegions(configuration, e.settings.Regions)
	if len(unknown) == 0 {
		return
	}
	e.log.Warn("no data centre is in some of the allowed regions", "regions", unknown, "configuration", configuration.Version)
}

// unknownRegions returns the allowed regions of routes and workspaces that no data centre has, sorted.
func unknownRegions(c *serving.Configuration, known map[serving.DataCentre]serving.Region) []serving.Region {
	var named []serving.Region
	for i := range c.Routes {
		named = append(named, c.Routes[i].AllowedRegions...)
	}
	for _, w := range c.Workspaces {
		named = append(named, w.AllowedRegions...)
	}
	slices.Sort(named)
	named = slices.Compact(named)
	for _, region := range known {
		named = slices.DeleteFunc(named, func(other serving.Region) bool { return other == region })
	}
	return named
}
