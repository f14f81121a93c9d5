package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
)

// Guards against shedding nearly everything while the peers have not named their workspaces yet: the
// rest of the demand then counted as very many small workspaces, which took the whole pool.
func TestAdmit_UnnamedPeerWorkspacesTakeNoPrecedence(t *testing.T) {
	now := time.Now()
	for name, named := range map[string]bool{"peers name their workspaces": true, "peers name none": false} {
		t.Run(name, func(t *testing.T) {
			o := newTestOverload()
			q := o.crowdedPool(12, 0)
			peers := admission.LevelDemand{Rates: admission.Rates{New: 400}}
			for workspace := range uint32(4) {
				if named {
					peers.Workspaces = append(peers.Workspaces, admission.WorkspaceDemand{Workspace: workspace, Requests: 100})
				}
			}
			o.SetPeerRates(map[directory.Pool]PoolRates{q.pool: {Starts: 300, Levels: []admission.LevelDemand{peers}}}, now)
			for i := range 20 {
				q.workspace = uint32(min(i, 4)) // one of them has most of this node's requests
				o.Admit(q, now)
			}
			o.Admit(q, now.Add(planInterval))
			plan := o.pools[q.pool].plan
			require.True(t, plan.Short())
			for workspace := range uint32(5) {
				require.Greater(t, plan.Fraction(0, workspace, false), 0.5, "workspace %d", workspace)
			}
		})
	}
}
