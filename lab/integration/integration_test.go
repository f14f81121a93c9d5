// Package integration tests clusters of real processes behind fault-injecting proxies.
package integration

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

var binaries cluster.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ridgehinge")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = cluster.Build(dir, os.Getenv("RIDGEHINGE_RACE") != ""); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// clusterSlots limits concurrent clusters, so that a small machine has time for each process.
var clusterSlots = make(chan struct{}, 3)

const (
	walletKey = "wallet-workspace-key"
	noticeKey = "notice-workspace-key"
)

// template returns a template with the given number of groups of four in each data centre.
func template(groups int) string {
	return fmt.Sprintf(`
[template]
name = wallet
model = savings
replica_size = 4
weight_downtime = 1000
weight_stranded = 0.001

[capacity]
time_zone = Asia/Kolkata
groups = 00:00=%d

[workspace helpdesk]
key = %s
deadline = 30s
`, groups, walletKey)
}

const noticeTemplate = `
[template]
name = notices
service = notices

[workspace payouts]
key = ` + noticeKey + `
deadline = 20s
`

// start returns a cluster of two data centres, each with two entry instances, engines and a
// plain service, once both templates are served.
func start(t *testing.T, engines, groups int, args ...string) *cluster.Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := cluster.New(t, binaries)
	for _, dc := range []string{"kochi", "tvm"} {
		c.AddEngines(dc, dc+"-rack", engines, args...)
		c.AddEndpoint(fleet.Instance{
			ID: fleet.InstanceID("notices-" + dc), DataCentre: fleet.DataCentre(dc),
			Kind: fleet.KindService, Service: "notices",
		})
		for i := range 2 {
			c.AddEntry(fmt.Sprintf("%s-%d", dc, i+1), dc)
		}
	}
	c.Submit(c.Entries[0], template(groups), 0)
	c.Submit(c.Entries[0], noticeTemplate, 0)
	for _, dc := range []string{"kochi", "tvm"} {
		c.WaitServing(dc, "wallet", groups)
	}
	for _, e := range c.Entries {
		c.Eventually("the plain service is served by "+e.Name, func() bool {
			return e.Send(cluster.Call{Key: noticeKey, Path: "/services/notices/ping", Body: "{}"}).Status == 200
		})
	}
	return c
}

func TestRequest_ServedByAllEntries(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	for i, e := range c.Entries {
		prompt := fmt.Sprintf("why did transfer %d fail?", i)
		answer := e.Send(cluster.Chat(walletKey, prompt, 24))
		require.NoError(t, answer.Err)
		require.Equal(t, 200, answer.Status, answer.Body)
		require.True(t, answer.Complete, answer.Body)
		require.Equal(t, cluster.ExpectedText(prompt, 24), answer.Text)
	}
}
