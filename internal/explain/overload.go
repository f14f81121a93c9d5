package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// overloadCause is the cause of requests that were rejected because of a pool's demand.
	overloadCause = "the pool has more demand than it can serve"
	// poolChangeText is the text of lines about a pool that became short or has capacity again.
	poolChangeText = "overload of a pool changed"
	// maxPoolLogDelay is the time within which a node logs that a pool became short: it logs at most
	// one line a second for each pool, and another second allows for a slow node.
	maxPoolLogDelay = 2 * time.Second
)

// poolStateKeys are the keys of a pool change that are reported with a rejection.
var poolStateKeys = []string{"arrivals", "admissible", "slots", "running", "unread"}

// isRejectedByOverload reports whether a line is about a request that overload control rejected.
func (l *Line) isRejectedByOverload() bool {
	return l.Get("request") != "" && l.Get("cause") == overloadCause
}

// isChangeOf reports whether a line is about the pool of a rejected request, by the same node: nodes
// decide by their own plans. Lines of requests from before the key "service" match by the model.
func (l *Line) isChangeOf(rejected Line) bool {
	service := rejected.Get("service")
	return l.Text == poolChangeText && l.Source == rejected.Source && l.Get("model") == rejected.Get("model") &&
		(service == "" || l.Get("service") == service)
}

// shortChange returns the line by which a node logged that the pool of a rejected request became
// short, and false if there is none. That line may follow the rejection, since the lines about a pool
// are limited in their rate.
func shortChange(lines []Line, rejected Line) (Line, bool) {
	var before, after []Line
	for _, l := range lines {
		switch {
		case !l.isChangeOf(rejected):
		case !l.Time.After(rejected.Time):
			before = append(before, l)
		case l.Time.Sub(rejected.Time) <= maxPoolLogDelay:
			after = append(after, l)
		}
	}
	sortByTime(before)
	sortByTime(after)
	if n := len(before); n > 0 && before[n-1].Get("short") == "true" {
		return before[n-1], true
	}
	if at := slices.IndexFunc(after, func(l Line) bool { return l.Get("short") == "true" }); at >= 0 {
		return after[at], true
	}
	return Line{}, false
}

// shortChanges returns the lines about the pools of the rejected requests among own, each once.
func shortChanges(lines, own []Line) []Line {
	var out []Line
	for _, l := range own {
		if !l.isRejectedByOverload() {
			continue
		}
		change, ok := shortChange(lines, l)
		isSame := func(other Line) bool { return other.Source == change.Source && other.Time.Equal(change.Time) }
		if ok && !slices.ContainsFunc(out, isSame) {
			out = append(out, change)
		}
	}
	return out
}

// overloadDetails returns what is known about a rejection by overload control: the request's level,
// whether it was returning, and the state of the pool.
func overloadDetails(lines []Line, rejected Line) string {
	returning := "not returning"
	if rejected.Get("returning") == "true" {
		returning = "returning"
	}
	details := fmt.Sprintf("level %s, %s; ", rejected.Get("level"), returning)
	change, ok := shortChange(lines, rejected)
	if !ok {
		return details + "no line of this node states since when the pool is short"
	}
	state := make([]string, 0, len(poolStateKeys))
	for _, key := range poolStateKeys {
		state = append(state, key+"="+change.Get(key))
	}
	offset := rejected.Time.Sub(change.Time)
	relation := fmt.Sprintf("%s before", offset)
	if offset < 0 {
		relation = fmt.Sprintf("logged %s after", -offset)
	}
	return fmt.Sprintf("%spool %s/%s short since %s (%s), then %s", details, change.Get("service"), change.Get("model"),
		change.Time.Format(time.RFC3339Nano), relation, strings.Join(state, " "))
}
