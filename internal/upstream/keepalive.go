package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is subtracted from an endpoint's idle timeout, so that a request
// is not sent while the endpoint closes the connection.
const idleMargin = 700 * time.Millisecond

// keepAliveTimeout returns how long a connection may stay idle: the timeout of
// the response's Keep-Alive header less idleMargin, or the fallback.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return fallback
}
