package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck(t *testing.T) {
	checked, violated := Count(Monotonic)
	Check(true, Monotonic, "")
	Check(false, Monotonic, "%d after %d", 1, 2)
	nowChecked, nowViolated := Count(Monotonic)
	assert.Equal(t, checked+2, nowChecked)
	assert.Equal(t, violated+1, nowViolated)
	SetFatal(true)
	defer SetFatal(false)
	assert.PanicsWithValue(t, "invariant forward: 1 after 2", func() { Check(false, Monotonic, "%d after %d", 1, 2) })
	for _, n := range Names() {
		assert.NotEmpty(t, n.String())
	}
}
