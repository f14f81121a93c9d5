// Package explain collects the log lines about one request, endpoint or group
// from the structured logs of any number of nodes.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// Source is the file, or the text before the line, such as a node's name.
	Source string
	Time   time.Time
	Level  string
	// Component is the message's prefix, Text the rest of the message.
	Component string
	Text      string
	Fields    []Field
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Get returns a field's value, or an empty string.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// fieldPattern matches one key=value pair; values with spaces are quoted.
var fieldPattern = regexp.MustCompile(`([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)`)

const maxLineBytes = 1 << 20

// Read reads a log. It skips lines that are not structured log lines.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(source, scanner.Text()); ok {
			out = append(out, line)
		}
	}
	return out, scanner.Err()
}

func parse(source, text string) (Line, bool) {
	at := strings.Index(text, "time=")
	if at < 0 {
		return Line{}, false
	}
	line := Line{Source: source}
	if before := strings.TrimSpace(text[:at]); before != "" {
		line.Source = before
	}
	for _, match := range fieldPattern.FindAllStringSubmatch(text[at:], -1) {
		value := strings.Trim(match[2], `"`)
		// Fields follow the message. One of them may have a key of the line itself, such as the
		// level of a request.
		if line.Text != "" {
			line.Fields = append(line.Fields, Field{match[1], value})
			continue
		}
		switch match[1] {
		case "time":
			line.Time, _ = time.Parse(time.RFC3339Nano, value)
		case "level":
			line.Level = value
		case "msg":
			line.Component, line.Text, _ = strings.Cut(value, ": ")
		}
	}
	return line, line.Text != ""
}

// contextWindow is the time before and after a request's own lines in which lines
// about its endpoints and groups are included.
const contextWindow = 5 * time.Second

// subjectKeys are the keys of the fields that identify a line's subjects.
var subjectKeys = []string{"request", "endpoint", "group", "at_fault", evacuatedKey}

// evacuatedKey is the key of a field with the names of evacuated data centres, separated by commas.
const evacuatedKey = "evacuated"

// Select returns, ordered by time, the lines about an id, those about the endpoints and groups that
// they mention, and, for a request that overload control rejected, the line about its pool.
func Select(lines []Line, id string) []Line {
	var own []Line
	related := map[string]bool{}
	for _, l := range lines {
		if !matchesSubject(l, func(value string) bool { return value == id }) {
			continue
		}
		own = append(own, l)
		for _, key := range subjectKeys {
			if key == "request" {
				continue
			}
			for _, value := range l.values(key) {
				related[value] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].Time.Add(-contextWindow), own[len(own)-1].Time.Add(contextWindow)
	out := own
	for _, l := range lines {
		// An evacuation may have been in force for long.
		tooOld := l.Time.Before(from) && l.Get(evacuatedKey) == ""
		if l.Get("request") != "" || tooOld || l.Time.After(to) || matchesSubject(l, func(value string) bool { return value == id }) {
			continue
		}
		if matchesSubject(l, func(value string) bool { return related[value] }) {
			out = append(out, l)
		}
	}
	out = append(out, shortChanges(lines, own)...)
	out = append(out, linkChanges(lines, own)...)
	sortByTime(out)
	return out
}

func matchesSubject(l Line, match func(string) bool) bool {
	return slices.ContainsFunc(subjectKeys, func(key string) bool {
		return slices.ContainsFunc(l.values(key), match)
	})
}

// values returns the values of a field, none if the line lacks it.
func (l *Line) values(key string) []string {
	value := l.Get(key)
	switch {
	case value == "":
		return nil
	case key == evacuatedKey:
		return strings.Split(value, ",")
	}
	return []string{value}
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause returns why a request failed: the last decision, with the state of the pool if that was its
// overload, and the result of each attempt. It is empty if the lines have no cause.
func Cause(lines []Line, id string) string {
	var attempts []string
	end := ""
	for _, l := range lines {
		if l.Get("request") != id {
			continue
		}
		if what := l.Get("what"); what != "" {
			attempts = append(attempts, fmt.Sprintf("%s at %s (%s)", what, l.target(), l.Get("error")))
		}
		if cause := l.Get("cause"); cause != "" {
			end = cause
			if outcome := l.Get("outcome"); outcome != "" {
				end = outcome + ": " + cause
			}
			if l.isRejectedByOverload() {
				end += "; " + overloadDetails(lines, l)
			}
		}
	}
	if end == "" {
		return ""
	}
	if len(attempts) == 0 {
		return end
	}
	return end + "; " + strings.Join(attempts, "; ")
}

// Print writes the lines with their time since the first, and the cause.
func Print(w io.Writer, lines []Line, id string) {
	if len(lines) == 0 {
		_, _ = fmt.Fprintf(w, "%s: no log lines found; served requests are logged at level debug only\n", id)
		return
	}
	first := lines[0].Time
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "%+9.3fs %-16s %s: %s", l.Time.Sub(first).Seconds(), l.Source, l.Component, l.Text)
		for _, f := range l.Fields {
			if f.Value != "" {
				_, _ = fmt.Fprintf(w, " %s=%s", f.Key, f.Value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	if cause := Cause(lines, id); cause != "" {
		_, _ = fmt.Fprintf(w, "cause: %s\n", cause)
	}
}
