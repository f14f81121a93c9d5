package clock

import (
	"context"
	"time"
)

// Every calls do at a fixed interval until the context is cancelled.
func Every(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}
