// Package knownred reads the list of known failures: tests that CI skips, and scripts and soak seeds that CI does
// not run, each failing because of a known, unfixed bug.
package knownred

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// Kind is the kind of run that fails.
type Kind string

// Kinds of entries, as the first field of a line names them. An entry of any other first word is a Go test.
const (
	KindTest   Kind = "test"
	KindScript Kind = "script"
	KindSoak   Kind = "soak"
)

// Entry is one known failure.
type Entry struct {
	Line int
	Kind Kind
	// Name is the name of a test ("TestName" or "TestName/subtest"), the path of a script or the seed of a soak.
	Name    string
	Cause   string
	Issue   string
	Command string
}

// String returns the entry as CI prints it.
func (e Entry) String() string {
	note := ""
	if e.Kind != KindTest {
		note = " (not run in CI)"
	}
	return fmt.Sprintf("%s %s%s: %s | issue %s | %s", e.Kind, e.Name, note, e.Cause, e.Issue, e.Command)
}

// LineError says what is wrong with a line of the list.
type LineError struct {
	Line    int
	Text    string
	Problem string
}

// Error names the line.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %q: %s", e.Line, e.Text, e.Problem)
}

const lineFormat = `expected "test | cause | issue | command and seed"; in place of the test "script PATH" or "soak SEED" is allowed`

// Parse reads a list with one entry per line. Empty lines are ignored.
func Parse(text string) ([]Entry, error) {
	var out []Entry
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		e, problem := parseLine(line)
		if problem != "" {
			return nil, &LineError{i + 1, line, problem}
		}
		e.Line = i + 1
		out = append(out, e)
	}
	return out, nil
}

// parseLine returns the entry of a line, or what is wrong with it.
func parseLine(line string) (e Entry, problem string) {
	fields := strings.Split(line, "|")
	if len(fields) != 4 {
		return e, lineFormat
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return e, lineFormat
		}
	}
	e = Entry{Kind: KindTest, Name: fields[0], Cause: fields[1], Issue: fields[2], Command: fields[3]}
	if kind, name, found := strings.Cut(fields[0], " "); found && (kind == string(KindScript) || kind == string(KindSoak)) {
		e.Kind, e.Name = Kind(kind), strings.TrimSpace(name)
	}
	return e, e.checkName()
}

var testName = regexp.MustCompile(`^Test[A-Za-z0-9_]+(/.+)?$`)

// checkName returns what is wrong with the name of an entry.
func (e Entry) checkName() string {
	if _, err := strconv.ParseUint(e.Name, 10, 64); e.Kind == KindSoak && err != nil {
		return "the seed of a soak is no number"
	}
	if e.Kind == KindTest && !testName.MatchString(e.Name) {
		return lineFormat
	}
	return ""
}

// Check reports an entry whose test or script does not exist below a root directory.
func Check(root string, entries []Entry) error {
	sources, err := testSources(root)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if problem := e.checkTarget(root, sources); problem != "" {
			return &LineError{e.Line, e.Name, problem}
		}
	}
	return nil
}

// checkTarget returns what is wrong with the test or the script that an entry names.
func (e Entry) checkTarget(root string, sources []string) string {
	switch e.Kind {
	case KindScript:
		info, err := os.Stat(filepath.Join(root, e.Name))
		if err != nil || !info.Mode().IsRegular() {
			return "there is no such script; remove entries of fixed failures"
		}
	case KindTest:
		if n := countDefinitions(e.topLevel(), sources); n != 1 {
			return fmt.Sprintf("the test is defined in %d test files instead of one; remove entries of fixed tests", n)
		}
	}
	return ""
}

// topLevel returns the name of the test function.
func (e Entry) topLevel() string {
	name, _, _ := strings.Cut(e.Name, "/")
	return name
}

func countDefinitions(test string, sources []string) int {
	definition := regexp.MustCompile(`(?m)^func ` + test + `\(`)
	n := 0
	for _, source := range sources {
		if definition.MatchString(source) {
			n++
		}
	}
	return n
}

// testSources returns the text of all test files below a directory.
func testSources(root string) ([]string, error) {
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		out = append(out, string(text))
		return err
	})
	return out, err
}

// noTest is a pattern that matches no test.
const noTest = "^$"

// Pattern returns a pattern for "go test -skip" or "-run" that matches exactly the listed tests and subtests.
func Pattern(entries []Entry) string {
	var out []string
	for _, e := range entries {
		if e.Kind == KindTest {
			out = append(out, e.pattern())
		}
	}
	if len(out) == 0 {
		return noTest
	}
	return strings.Join(out, "|")
}

// pattern matches the test of one entry, one expression per level of subtests.
func (e Entry) pattern() string {
	levels := strings.Split(e.Name, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(reportedName(level)) + "$"
	}
	return strings.Join(levels, "/")
}

// reportedName returns a subtest's name as go test reports it.
func reportedName(name string) string { return strings.ReplaceAll(name, " ", "_") }
