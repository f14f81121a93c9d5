package integration

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
	"github.com/ridgehinge/ridgehinge/lab/cluster"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// startUnfenced returns a data centre whose engines accept orders without checking fences.
func startUnfenced(t *testing.T, engines int) *cluster.Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := cluster.New(t, binaries)
	for i := range engines {
		c.AddEndpoint(fleet.Instance{
			ID: fleet.InstanceID(fmt.Sprintf("plain-%d", i+1)), DataCentre: "kochi", Domain: "rack",
			Kind: fleet.KindEngine, Accelerators: 4,
		})
	}
	for i := range 3 {
		c.AddEntry(fmt.Sprintf("kochi-%d", i+1), "kochi")
	}
	c.Submit(c.Entries[0], template(1), 0)
	c.WaitServing("kochi", "wallet", 1)
	return c
}

// Guards against duplicate or unserved groups of endpoints that do not check fences, after a
// frozen controller is thawed and after an order from an unknown sender.
func TestEndpoint_WithoutFenceChecks(t *testing.T) {
	t.Parallel()
	c := startUnfenced(t, 6)
	old := c.Controller("kochi")
	before := c.Groups("kochi")[0]
	c.Freeze(old.Process)
	c.Kill(member(c, before, 2))
	other := c.OtherEntries(old)[0]
	c.Eventually("a successor repairs the group", func() bool {
		groups := other.ServingGroups("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	c.Thaw(old.Process)
	// An order of an unknown sender moves the member to another group.
	repaired := c.Groups("kochi")[0]
	victim := member(c, repaired, 1)
	c.SendStrayOrder(victim, "stray-group", 1)
	c.Eventually("the member is returned to its group", func() bool {
		report := c.Report(victim)
		return report.Group == repaired.ID && report.Phase == fleet.PhaseReady && len(other.ServingGroups("wallet")) == 1
	})
	assertComplete(t, other.Send(cluster.Chat(walletKey, "in line", 8)), "in line", 8)
	require.Len(t, c.Groups("kochi"), 1)
}

// When all entry instances restart at once, they keep the groups that the table lists.
func TestEntry_AllRestarted(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	before := c.Groups("kochi")[0]
	for _, e := range c.Entries {
		c.Kill(e.Process)
	}
	for _, e := range c.Entries {
		c.Restart(e.Process)
	}
	c.WaitServing("kochi", "wallet", 1)
	c.WaitServing("tvm", "wallet", 1)
	after := c.Groups("kochi")
	require.Len(t, after, 1)
	assert.Equal(t, before.ID, after[0].ID, "a complete group was not kept")
	assert.Equal(t, before.Generation, after[0].Generation)
	for _, e := range c.Entries {
		assertComplete(t, e.Send(cluster.Chat(walletKey, "after the restart", 8)), "after the restart", 8)
	}
}

// The controller and a member crash during a platform outage, after which the platform loses
// responses: the group must still be repaired, without a second one.
func TestPlatform_OutageWithCrashes(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	old := c.Controller("kochi")
	before := c.Groups("kochi")[0]
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	c.Kill(old.Process)
	c.Kill(member(c, before, 3))
	other := c.OtherEntries(old)[0]
	c.Eventually("the group is out of service", func() bool { return len(other.ServingGroups("wallet")) == 0 })
	c.Eventually("the other data centre serves a request", func() bool {
		return other.Send(cluster.Chat(walletKey, "help", 8)).Complete
	})
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 3})
	c.Eventually("the group is repaired", func() bool {
		groups := other.ServingGroups("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	require.Len(t, c.Groups("kochi"), 1)
}

// No request fails while a new model version is rolled out.
func TestRollout_UnderLoad(t *testing.T) {
	t.Parallel()
	c := start(t, 8, 1)
	e := c.Entries[0]
	stop := make(chan struct{})
	failed := make(chan string, 1)
	go func() {
		defer close(failed)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			prompt := fmt.Sprintf("rolling %d", i)
			if a := e.Send(cluster.Chat(walletKey, prompt, 30)); a.Text != cluster.ExpectedText(prompt, 30) {
				failed <- fmt.Sprintf("%d %s", a.Status, a.Body)
				return
			}
		}
	}()
	c.Submit(e, strings.Replace(template(1), "model = savings", "model = savings\nversion = 2", 1), 1)
	c.Eventually("only the new version serves", func() bool {
		groups := c.Groups("kochi")
		return len(groups) == 1 && groups[0].Weights == "savings@2" && len(e.ServingGroups("wallet")) == 1
	})
	close(stop)
	assert.Empty(t, <-failed, "a request failed during the rollout")
}

// Runs the operators' command-line tool against a cluster.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	tool := filepath.Join(t.TempDir(), "ridgehinge")
	out, err := exec.Command("go", "build", "-o", tool, "github.com/ridgehinge/ridgehinge/cmd/ridgehinge").CombinedOutput()
	require.NoError(t, err, string(out))
	file := filepath.Join(t.TempDir(), "wallet.ini")
	run := func(args ...string) (string, int) {
		command := exec.Command(tool, append([]string{"-server", c.Entries[1].OperatorAddress, "-key", cluster.OperatorKey}, args...)...)
		out, _ := command.CombinedOutput()
		return string(out), command.ProcessState.ExitCode()
	}
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	for _, step := range []struct {
		name, text string
		args       []string
		code       int
		says       string
	}{
		{"status", "", []string{"status"}, 0, "serving"},
		{"status as JSON", "", []string{"status", "-json"}, 0, `"controller"`},
		{"list", "", []string{"template", "list"}, 0, "wallet"},
		{"submit again", template(1), []string{"template", "submit", file}, 1, "is at revision 1, not 0"},
		{"revise", strings.Replace(template(1), "= 30s", "= 31s", 1), []string{"template", "revise", "-base", "1", file}, 0, "accepted as revision 3"},
		{"history", "", []string{"template", "history", "wallet"}, 0, "revision 3"},
		{"difference", "", []string{"template", "diff", "wallet", "1", "3"}, 0, "workspace helpdesk"},
		{"mistakes", "[template]\nname = x y\n", []string{"template", "check", file}, 1, "[template] name"},
		{"does not fit", strings.Replace(template(1), "replica_size = 4", "replica_size = 30", 1), []string{"template", "revise", "-base", "3", file}, 1, "replica_size: given \"30\", allowed: at most 4"},
		{"no such template", "", []string{"template", "show", "none"}, 1, "there is no template none"},
		{"wrong use", "", []string{"template", "revise", file}, 2, "usage"},
		{"request", "", []string{"request", "-gateway", c.Entries[0].CallerAddress, "-workspace-key", walletKey, "hello"}, 0, "[DONE]"},
		{"wrong key", "", []string{"request", "-gateway", c.Entries[0].CallerAddress, "-workspace-key", "wrong", "hello"}, 1, "not-run"},
	} {
		if step.text != "" {
			write(step.text)
		}
		out, code := run(step.args...)
		assert.Equal(t, step.code, code, "%s: %s", step.name, out)
		assert.Contains(t, out, step.says, step.name)
	}
	out, err = exec.Command(tool, "-server", c.Entries[1].OperatorAddress, "-key", "wrong", "status").CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "the operator's key is missing or wrong")
}
