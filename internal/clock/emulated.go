package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// Emulated returns a clock that counts the milliseconds in a file as time for which the machine
// was suspended, for tests, which cannot suspend a machine. A file that is missing or holds no
// number counts as zero.
func Emulated(file string) *Clock {
	start := time.Now()
	boot := func() (time.Duration, error) {
		at, err := bootTime()
		return at + readSuspension(file), err
	}
	return NewFromSources(boot, func() time.Duration { return time.Since(start) })
}

func readSuspension(file string) time.Duration {
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
