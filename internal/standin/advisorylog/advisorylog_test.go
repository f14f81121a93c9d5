package advisorylog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/advisorylog"
)

var bound = advisorylog.Bound{MaxRequests: 2, Grace: 500 * time.Millisecond, DrainGrace: 2 * time.Second}

func always(time.Time) bool { return true }

func TestCheck_CooldownOfThreeSeconds(t *testing.T) {
	began := time.Now()
	tests := map[string]struct {
		after []time.Duration
		calm  func(time.Time) bool
		ok    bool
	}{
		"within the grace":      {[]time.Duration{1e8, 2e8, 3e8, 4e8}, always, true},
		"two in the cooldown":   {[]time.Duration{1e9, 2e9}, always, true},
		"three in the cooldown": {[]time.Duration{1e9, 2e9, 29e8}, always, false},
		"after its end":         {[]time.Duration{31e8, 32e8, 33e8}, always, true},
		"while not calm":        {[]time.Duration{1e9, 2e9, 29e8}, func(time.Time) bool { return false }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := advisorylog.New()
			l.RecordCooldown("n", "e", 3*time.Second, began)
			for _, after := range test.after {
				l.RecordArrival("n", "e", began.Add(after), began.Add(after))
				l.RecordArrival("other", "e", began.Add(after), began.Add(after))
			}
			require.Equal(t, test.ok, l.Check(bound, test.calm) == nil)
		})
	}
}

func TestCheck_DrainingMark(t *testing.T) {
	began := time.Now()
	l := advisorylog.New()
	l.RecordDraining("n", "e", began)
	// Sent by the caller within the bound, although it arrives later.
	l.RecordArrival("n", "e", began.Add(time.Second), began.Add(5*time.Second))
	// The mark was not advertised to this node.
	l.RecordArrival("other", "e", began.Add(3*time.Second), began.Add(3*time.Second))
	require.NoError(t, l.Check(bound, always))
	l.RecordArrival("n", "e", began.Add(2100*time.Millisecond), began.Add(2200*time.Millisecond))
	require.Error(t, l.Check(bound, always))
}
