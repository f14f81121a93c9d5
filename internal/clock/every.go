package clock

import (
	"context"
	"time"
)

// Every does something at a pace until the context ends.
func Every(ctx context.Context, pause time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(pause)
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
