//go:build faults

package main

import (
	"os"

	"github.com/ridgehinge/ridgehinge/internal/entry"
	"github.com/ridgehinge/ridgehinge/internal/standin/linkfaults"
)

// injectFaults makes the links to endpoints follow the faults of a file, for tests of real processes.
func injectFaults(s *entry.Settings) {
	if file := os.Getenv(linkfaults.FileVariable); file != "" {
		s.DialEndpoints = linkfaults.DialWith(file)
	}
}
