package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// testEvent is an event of "go test -json".
type testEvent struct {
	Action string
	Test   string
}

// Results returns the final action of each test ("pass", "fail" or "skip") in the output of "go test -json". Lines that
// are no events are ignored, as those of failed builds.
func Results(output io.Reader) (map[string]string, error) {
	out := map[string]string{}
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, 1<<24)
	for scanner.Scan() {
		var event testEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil || event.Test == "" {
			continue
		}
		switch event.Action {
		case "pass", "fail", "skip":
			out[event.Test] = event.Action
		}
	}
	return out, scanner.Err()
}

// Report prints how each listed test ended. It returns an error for a test that did not run, so that the entry of
// a subtest that no longer exists is found.
func Report(out io.Writer, entries []Entry, results map[string]string) error {
	for _, e := range entries {
		if e.Kind != KindTest {
			continue
		}
		switch results[reportedName(e.Name)] {
		case "pass":
			_, _ = fmt.Fprintf(out, "%s PASSED: if its bug is fixed, remove line %d\n", e.Name, e.Line)
		case "fail":
			_, _ = fmt.Fprintf(out, "%s failed, as listed\n", e.Name)
		default:
			return &LineError{e.Line, e.Name, "the test did not run; remove entries of fixed tests"}
		}
	}
	return nil
}
