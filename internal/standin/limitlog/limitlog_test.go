package limitlog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/limitlog"
)

var bound = limitlog.Bound{Factor: 1.5, Slack: 5, Window: 4 * time.Second, Grace: 3 * time.Second}

func always(time.Time) bool { return true }

func TestCheck_ComparesArrivalsWithLimit(t *testing.T) {
	began := time.Now()
	tests := map[string]struct {
		// every is the interval between arrivals from second 1 to 20.
		every time.Duration
		limit float64
		// until is when the limit ends; zero means never.
		until  time.Duration
		calm   func(time.Time) bool
		broken bool
	}{
		"within the limit":                  {every: time.Second, limit: 1},
		"at the bound":                      {every: 4*time.Second/11 + time.Millisecond, limit: 1},
		"beyond the bound":                  {every: 4 * time.Second / 14, limit: 1, broken: true},
		"beyond the bound within the grace": {every: 100 * time.Millisecond, limit: 1, until: 2900 * time.Millisecond},
		"beyond the bound after the grace":  {every: 100 * time.Millisecond, limit: 1, until: 6 * time.Second, broken: true},
		"while not calm":                    {every: 100 * time.Millisecond, limit: 1, calm: func(time.Time) bool { return false }},
		"without a limit":                   {every: 10 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := limitlog.New()
			log.RecordLimit("e", test.limit, began)
			for at := time.Second; at < 20*time.Second; at += test.every {
				log.RecordArrival("e", began.Add(at))
			}
			if test.until > 0 {
				log.RecordLimit("e", 0, began.Add(test.until))
			}
			calm := test.calm
			if calm == nil {
				calm = always
			}
			err := log.Check(bound, calm)
			require.Equal(t, test.broken, err != nil, "%v", err)
		})
	}
}
