package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepMargin is how long before an endpoint closes an idle connection it is
// no longer used, so that a request does not cross the close.
const keepMargin = 700 * time.Millisecond

// keepFor returns how long a connection may lie idle, from an answer's
// Keep-Alive header if it has one.
func keepFor(h http.Header, fallback time.Duration) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return fallback
}
