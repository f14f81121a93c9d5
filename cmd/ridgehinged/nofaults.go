//go:build !faults

package main

import "github.com/ridgehinge/ridgehinge/internal/entry"

// injectFaults does nothing in the daemon that is deployed.
func injectFaults(*entry.Settings) {}
