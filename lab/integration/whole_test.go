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

// unfenced returns a data centre whose engines obey any order.
func unfenced(t *testing.T, engines int) *cluster.Cluster {
	t.Helper()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
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

// Endpoints that do not check who orders them: a frozen controller that wakes
// up, and an order that comes from nowhere, put no instance into two groups,
// and the group serves again.
func TestUnfencedEndpoints(t *testing.T) {
	t.Parallel()
	c := unfenced(t, 6)
	old := c.Controller("kochi")
	before := c.Groups("kochi")[0]
	c.Freeze(old.Process)
	c.Kill(member(c, before, 2))
	other := c.Others(old)[0]
	c.Eventually("a successor repairs the group", func() bool {
		groups := other.Serving("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	c.Thaw(old.Process)
	// A late order of nobody's: the member falls out of line.
	repaired := c.Groups("kochi")[0]
	stray := member(c, repaired, 1)
	c.Order(stray, "stray-group", 1)
	c.Eventually("the group is brought back into line", func() bool {
		report := c.Report(stray)
		return report.Group == repaired.ID && report.Phase == fleet.PhaseReady && len(other.Serving("wallet")) == 1
	})
	assertWhole(t, other.Send(cluster.Chat(walletKey, "in line", 8)), "in line", 8)
	require.Len(t, c.Groups("kochi"), 1)
}

// Everything is replaced at once: all entry instances are killed and started
// anew while the endpoints live on. They take up what the table has.
func TestEverythingReplaced(t *testing.T) {
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
	assert.Equal(t, before.ID, after[0].ID, "a group that was whole all the time is kept")
	assert.Equal(t, before.Generation, after[0].Generation)
	for _, e := range c.Entries {
		assertWhole(t, e.Send(cluster.Chat(walletKey, "new crew", 8)), "new crew", 8)
	}
}

// The platform is out, the controller and a member die together, and the
// platform loses answers when it is back.
func TestThreeAtATime(t *testing.T) {
	t.Parallel()
	c := start(t, 5, 1)
	old := c.Controller("kochi")
	before := c.Groups("kochi")[0]
	c.SetPlatformFaults(platformstandin.Faults{Down: true})
	c.Kill(old.Process)
	c.Kill(member(c, before, 3))
	other := c.Others(old)[0]
	c.Eventually("the group is out of service", func() bool { return len(other.Serving("wallet")) == 0 })
	c.Eventually("the other data centre helps out", func() bool {
		return other.Send(cluster.Chat(walletKey, "help", 8)).Whole
	})
	c.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 3})
	c.Eventually("the group is repaired", func() bool {
		groups := other.Serving("wallet")
		return len(groups) == 1 && groups[0].Generation > before.Generation
	})
	require.Len(t, c.Groups("kochi"), 1)
}

// A version is rolled out group by group while callers are served.
func TestRollUnderLoad(t *testing.T) {
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
			if a := e.Send(cluster.Chat(walletKey, prompt, 30)); a.Text != cluster.Want(prompt, 30) {
				failed <- fmt.Sprintf("%d %s", a.Status, a.Body)
				return
			}
		}
	}()
	c.Submit(e, strings.Replace(template(1), "model = savings", "model = savings\nversion = 2", 1), 1)
	c.Eventually("the new version alone serves", func() bool {
		groups := c.Groups("kochi")
		return len(groups) == 1 && groups[0].Weights == "savings@2" && len(e.Serving("wallet")) == 1
	})
	close(stop)
	assert.Empty(t, <-failed, "a request failed while the version was rolled")
}

// The operators' tool and the settings check, as a person would use them.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	c := start(t, 4, 1)
	tool := filepath.Join(t.TempDir(), "ridgehinge")
	out, err := exec.Command("go", "build", "-o", tool, "github.com/ridgehinge/ridgehinge/cmd/ridgehinge").CombinedOutput()
	require.NoError(t, err, string(out))
	file := filepath.Join(t.TempDir(), "wallet.ini")
	run := func(args ...string) (string, int) {
		command := exec.Command(tool, append([]string{"-server", c.Entries[1].Operator, "-key", cluster.OperatorKey}, args...)...)
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
		{"request", "", []string{"request", "-gateway", c.Entries[0].Callers, "-workspace-key", walletKey, "hello"}, 0, "[DONE]"},
		{"wrong key", "", []string{"request", "-gateway", c.Entries[0].Callers, "-workspace-key", "wrong", "hello"}, 1, "not-run"},
	} {
		if step.text != "" {
			write(step.text)
		}
		out, code := run(step.args...)
		assert.Equal(t, step.code, code, "%s: %s", step.name, out)
		assert.Contains(t, out, step.says, step.name)
	}
	out, err = exec.Command(tool, "-server", c.Entries[1].Operator, "-key", "wrong", "status").CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(out), "the operator's key is missing or wrong")
}
