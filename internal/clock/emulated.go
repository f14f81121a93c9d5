package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Emulated returns a clock of a machine that counts as suspended, besides what the kernel
// tells, for as many milliseconds as a file says: for tests, which can suspend no machine.
// A file that is missing or holds no number says zero.
func Emulated(file string) *Clock {
	start := time.Now()
	boot := func() (time.Duration, error) {
		at, err := bootTime()
		return at + suspendedBy(file), err
	}
	return NewFromSources(boot, func() time.Duration { return time.Since(start) })
}

func suspendedBy(file string) time.Duration {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
