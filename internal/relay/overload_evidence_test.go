package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

func newTestOverload() *Overload {
	b := NewBalancer("north", rand.NewPCG(1, 2), DefaultWeights)
	return NewOverload(admission.DefaultPolicy(), NewArrivals(), b, rand.NewPCG(3, 4))
}

// Guards against memory that grows with the model names that callers invent.
func TestAdmit_UnknownModelsTakeNoMemory(t *testing.T) {
	o := newTestOverload()
	for i := range 100 {
		pool := directory.Pool{Service: "llm", Model: fmt.Sprint("invented-", i)}
		require.True(t, o.Admit(overloadRequest{pool: pool}, time.Now()))
	}
	require.Empty(t, o.OwnRates(time.Now()))
	require.Empty(t, o.pools)
}
