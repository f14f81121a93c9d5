package groupcontrol

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// emptyEndpoints returns a domain of endpoints that hold no model.
func emptyEndpoints(n int) []*serving.Endpoint {
	var out []*serving.Endpoint
	for i := range n {
		out = append(out, &serving.Endpoint{ID: serving.EndpointID(fmt.Sprintf("e%02d", i)), Domain: "rack"})
	}
	return out
}

// Guards against a domain without spares for its largest group.
func TestPlan_KeepsSparesForLargestModel(t *testing.T) {
	for _, test := range []struct {
		endpoints, largeSize, smallSize int
		wantLarge, wantSmall            int
	}{
		{73, 32, 8, 1, 4},
		{37, 16, 4, 1, 4},
		{19, 8, 4, 1, 2},
		{9, 4, 3, 1, 1},
		{7, 8, 3, 0, 2},
	} {
		t.Run(fmt.Sprint(test.endpoints), func(t *testing.T) {
			s := newSituation()
			s.open = false
			s.engine.Models[0].Size, s.engine.Models[1].Size = test.largeSize, test.smallSize
			s.free = emptyEndpoints(test.endpoints)
			formed := map[string]int{}
			for _, f := range plan(s).formations {
				formed[f.model.Name]++
			}
			require.Equal(t, test.wantLarge, formed[large.Name])
			require.Equal(t, test.wantSmall, formed[small.Name])
		})
	}
}

// Guards against spares without the largest model, and against smaller groups that use them.
func TestStageDomain_StagesLargestModelOnSpares(t *testing.T) {
	s := newSituation(rack{large: 1, small: 4})
	s.engine.Models[0].Size = 16
	s.free = append(s.free, emptyEndpoints(6)...)
	for _, e := range s.free {
		e.Domain = "rack-0"
	}
	staged := map[string]int{}
	for _, st := range s.stageDomain("rack-0", s.free) {
		staged[st.model.Name]++
	}
	require.Equal(t, 2, staged[large.Name], "the spare fraction of 38 endpoints")
	require.Equal(t, 4, staged[small.Name], "the remaining endpoints can form a group")
	require.Len(t, s.freeFor(s.engine.Models[1], "rack-0", s.free), 4)
	require.Len(t, s.freeFor(s.engine.Models[0], "rack-0", s.free), 6)
}
