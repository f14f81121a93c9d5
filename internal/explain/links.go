package explain

import "strings"

// Texts of the lines about a node's links to the endpoints.
const (
	textLinksLost     = "links to all endpoints are lost"
	textLinksRegained = "endpoints are reachable again"
)

// target returns where an attempt was made: an endpoint, or a neighbour to which the request was passed.
func (l *Line) target() string {
	if neighbour := l.Get("neighbour"); neighbour != "" {
		return "neighbour " + neighbour
	}
	return l.Get("endpoint")
}

// linkChanges returns, for each node that passed a request on or had no links for it, the last change of its
// links before that: the request's own lines don't say since when they were lost.
func linkChanges(lines, own []Line) []Line {
	var out []Line
	seen := map[string]bool{}
	for _, o := range own {
		concernsLinks := o.Get("neighbour") != "" || strings.Contains(o.Get("cause"), textLinksLost)
		if !concernsLinks || seen[o.Source] {
			continue
		}
		seen[o.Source] = true
		var last *Line
		for i, l := range lines {
			isChange := l.Text == textLinksLost || l.Text == textLinksRegained
			if isChange && l.Source == o.Source && !l.Time.After(o.Time) && (last == nil || l.Time.After(last.Time)) {
				last = &lines[i]
			}
		}
		if last != nil {
			out = append(out, *last)
		}
	}
	return out
}
