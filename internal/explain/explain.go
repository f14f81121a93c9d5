// Package explain tells the story of one request, endpoint or group from the
// structured logs of any number of nodes.
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
	// Source is the file, or what stood before the line: a node's name.
	Source string
	Time   time.Time
	Level  string
	// Part is the fixed prefix of the message, Text the rest.
	Part   string
	Text   string
	Fields []Field
}

// Field is one key with its value.
type Field struct{ Key, Value string }

// Get returns a field's value, or nothing.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// pair matches one key=value of a line; values with blanks are quoted.
var pair = regexp.MustCompile(`([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Read reads a log; lines that are none of a node's are left out.
func Read(source string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
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
	for _, match := range pair.FindAllStringSubmatch(text[at:], -1) {
		value := strings.Trim(match[2], `"`)
		switch match[1] {
		case "time":
			line.Time, _ = time.Parse(time.RFC3339Nano, value)
		case "level":
			line.Level = value
		case "msg":
			line.Part, line.Text, _ = strings.Cut(value, ": ")
		default:
			line.Fields = append(line.Fields, Field{match[1], value})
		}
	}
	return line, line.Text != ""
}

// around is how long before and after a request's own lines those about its
// endpoints and groups are shown.
const around = 5 * time.Second

// subjects are the fields that name what a line is about.
var subjects = []string{"request", "endpoint", "group", "at_fault"}

// Story returns the lines about an id, and those that tell what was believed
// of the endpoints and groups that it met, in order of time.
func Story(lines []Line, id string) []Line {
	var own []Line
	met := map[string]bool{}
	for _, l := range lines {
		if !about(l, func(value string) bool { return value == id }) {
			continue
		}
		own = append(own, l)
		for _, key := range subjects {
			if value := l.Get(key); value != "" && key != "request" {
				met[value] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortByTime(own)
	from, to := own[0].Time.Add(-around), own[len(own)-1].Time.Add(around)
	out := own
	for _, l := range lines {
		if l.Get("request") != "" || l.Time.Before(from) || l.Time.After(to) || about(l, func(value string) bool { return value == id }) {
			continue
		}
		if about(l, func(value string) bool { return met[value] }) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

func about(l Line, match func(string) bool) bool {
	return slices.ContainsFunc(subjects, func(key string) bool {
		value := l.Get(key)
		return value != "" && match(value)
	})
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Cause returns what ended a request, from its story: the last decision, and
// what each attempt met. It is empty if the logs do not tell.
func Cause(story []Line, id string) string {
	var attempts []string
	end := ""
	for _, l := range story {
		if l.Get("request") != id {
			continue
		}
		if what := l.Get("what"); what != "" {
			attempts = append(attempts, fmt.Sprintf("%s at %s (%s)", what, l.Get("endpoint"), l.Get("error")))
		}
		if cause := l.Get("cause"); cause != "" {
			end = cause
			if outcome := l.Get("outcome"); outcome != "" {
				end = outcome + ": " + cause
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

// Print writes a story, each line with its time after the first.
func Print(w io.Writer, story []Line, id string) {
	if len(story) == 0 {
		_, _ = fmt.Fprintf(w, "%s: no line tells of it; served requests are logged at level debug only\n", id)
		return
	}
	first := story[0].Time
	for _, l := range story {
		_, _ = fmt.Fprintf(w, "%+9.3fs %-16s %s: %s", l.Time.Sub(first).Seconds(), l.Source, l.Part, l.Text)
		for _, f := range l.Fields {
			if f.Value != "" {
				_, _ = fmt.Fprintf(w, " %s=%s", f.Key, f.Value)
			}
		}
		_, _ = fmt.Fprintln(w)
	}
	if cause := Cause(story, id); cause != "" {
		_, _ = fmt.Fprintf(w, "cause: %s\n", cause)
	}
}
