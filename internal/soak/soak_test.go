package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ridgehinge/ridgehinge/pkg/fleet"
	"github.com/ridgehinge/ridgehinge/pkg/ledger"
)

// fixedSeed makes runs of CI reproducible; `make soak` uses other seeds.
const fixedSeed = "20261202"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.nofailfile": "true", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// check checks the invariants and records the first violation.
func (w *world) check() {
	if w.violation != "" {
		return
	}
	w.checkTable()
	for _, n := range w.nodes {
		if n.alive && !n.frozen {
			w.checkNode(n)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("step %d: ", w.steps) + fmt.Sprintf(format, args...)
	}
}

// checkTable checks that no instance is in two groups and that the owner rows match the groups.
func (w *world) checkTable() {
	owner := map[fleet.InstanceID]fleet.GroupID{}
	for _, r := range w.scan(ledger.GroupPrefix(dataCentre)) {
		var g fleet.Group
		_ = json.Unmarshal(r.Value, &g)
		if g.Deleted {
			continue
		}
		for _, m := range g.Members {
			if other, taken := owner[m.Instance]; taken {
				w.fail("%s is in %s and %s", m.Instance, other, g.ID)
			}
			owner[m.Instance] = g.ID
		}
	}
	for _, r := range w.scan(ledger.OwnerPrefix(dataCentre)) {
		var o ledger.Owner
		_ = json.Unmarshal(r.Value, &o)
		id := fleet.InstanceID(r.Key[len(ledger.OwnerPrefix(dataCentre)):])
		if o.Group != owner[id] {
			w.fail("the owner row of %s has group %q, but the groups list it in %q", id, o.Group, owner[id])
		}
	}
}

// checkNode checks that a node's group revision never decreases and that the node serves no
// group with a member that has been unavailable for longer than VouchTTL.
func (w *world) checkNode(n *node) {
	if n.groups.Revision() < n.lastRevision {
		w.fail("the group revision of %s decreased from %d to %d", n.id, n.lastRevision, n.groups.Revision())
	}
	n.lastRevision = n.groups.Revision()
	for _, g := range n.groups.All() {
		if !w.serves(n, g) {
			continue
		}
		for _, m := range g.Members {
			e := w.endpoint(m.Instance)
			unavailable := !e.unavailableSince.IsZero() && w.now.Sub(e.unavailableSince) > n.options.VouchTTL
			if unavailable || e.report.Incarnation != m.Incarnation && e.unavailableSince.IsZero() && w.sinceStart(e) > n.options.VouchTTL {
				w.fail("%s serves %s, whose member %s has been unavailable since %s", n.id, g.ID, m.Instance, e.unavailableSince)
			}
		}
	}
}

func (w *world) sinceStart(e *endpoint) time.Duration {
	return w.now.Sub(time.Unix(0, int64(e.report.Incarnation)))
}

func (w *world) serves(n *node, g fleet.Group) bool {
	for _, m := range g.Members {
		status, fresh := n.tracker.Status(w.now, m.Instance)
		if !fresh || !g.Matches(m, status.Report) {
			return false
		}
	}
	return !g.Draining
}

func (w *world) endpoint(id fleet.InstanceID) *endpoint {
	for _, e := range w.endpoints {
		if e.instance.ID == id {
			return e
		}
	}
	return nil
}

// faults returns the injectable faults and their repairs by name. Which fault a seed draws
// depends on the order of the names.
func (w *world) faults() map[string]func(int) {
	pickNode := func(i int) *node { return w.nodes[i%len(w.nodes)] }
	pickEndpoint := func(i int) *endpoint { return w.endpoints[i%len(w.endpoints)] }
	return map[string]func(int){
		"kill endpoint": func(i int) {
			e := pickEndpoint(i)
			if e.unavailableSince.IsZero() {
				e.unavailableSince = w.now
			}
			e.alive = false
		},
		"restart endpoint": func(i int) { pickEndpoint(i).start(w) },
		"freeze endpoint": func(i int) {
			if e := pickEndpoint(i); e.alive && !e.frozen {
				e.frozen = true
				e.unavailableSince = w.now
			}
		},
		"thaw endpoint": func(i int) {
			if e := pickEndpoint(i); e.alive && e.frozen {
				e.frozen = false
				e.unavailableSince = time.Time{}
				for _, f := range e.inbox {
					f(e)
				}
				e.inbox = nil
			}
		},
		"kill node":    func(i int) { pickNode(i).alive = false },
		"restart node": func(i int) { pickNode(i).start() },
		"freeze node":  func(i int) { pickNode(i).frozen = true },
		"thaw node":    func(i int) { w.thawNode(pickNode(i)) },
		"cut node":     func(i int) { pickNode(i).isolated = true },
		"heal node":    func(i int) { pickNode(i).isolated = false },
		"table down":   func(int) { w.tableDown = true },
		"table up":     func(int) { w.tableDown = false },
		"lose answers": func(i int) { w.loseAnswerRate = float64(i%4) / 4 },
		"want":         func(i int) { w.wantedGroups = i % 4 },
	}
}

// thawNode resumes a frozen node, which first handles the queued messages with the state that
// it had when it was frozen.
func (w *world) thawNode(n *node) {
	if !n.alive || !n.frozen {
		return
	}
	n.frozen = false
	for _, f := range n.inbox {
		f()
	}
	n.inbox = nil
}

// heal removes all faults and runs until the nodes have converged.
func (w *world) heal(wantedGroups int) {
	w.tableDown, w.loseAnswerRate, w.wantedGroups = false, 0, wantedGroups
	for _, n := range w.nodes {
		n.isolated = false
		w.thawNode(n)
		if !n.alive {
			n.start()
		}
	}
	for _, e := range w.endpoints {
		if !e.alive {
			e.start(w)
		}
		if e.frozen {
			w.faults()["thaw endpoint"](indexOf(w.endpoints, e))
		}
	}
	for range 1200 {
		w.step()
	}
}

func indexOf(list []*endpoint, e *endpoint) int {
	for i, other := range list {
		if other == e {
			return i
		}
	}
	return -1
}

// checkGroupsServed returns an error unless every node serves the given number of groups.
func (w *world) checkGroupsServed(groups int) error {
	for _, n := range w.nodes {
		serving := 0
		for _, g := range n.groups.All() {
			if w.serves(n, g) {
				serving++
			}
		}
		if serving != groups {
			return fmt.Errorf("%s serves %d groups instead of %d", n.id, serving, groups)
		}
	}
	return nil
}

// run executes one randomised run and checks that it converges once the faults are removed.
func run(t *rapid.T, mutate mutation) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := newWorld(rand.New(rand.NewPCG(seed, 1)), 3, 10, 2)
	w.mutate = mutate
	actions := map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		},
		"pass": func(t *rapid.T) {
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				w.step()
			}
		},
	}
	for name, fault := range w.faults() {
		actions[name] = func(t *rapid.T) {
			fault(rapid.IntRange(0, 30).Draw(t, "which"))
			w.step()
		}
	}
	t.Repeat(actions)
	w.heal(2)
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	if err := w.checkGroupsServed(2); err != nil {
		t.Fatal(err)
	}
	return w
}

func TestRandomFaults(t *testing.T) {
	require.NoError(t, flag.Set("rapid.checks", "40"))
	rapid.Check(t, func(t *rapid.T) { run(t, mutateNone) })
}

// Guards against checks that cannot fail: with a safety mechanism disabled, random runs must
// find a violation.
func TestRandomFaults_FindMutations(t *testing.T) {
	for name, mutate := range map[string]mutation{
		"no conditions":                  mutateNoConditions,
		"peer evidence dated by arrival": mutateNoEcho,
		"poll dated by response":         mutateArrivalDate,
	} {
		t.Run(name, func(t *testing.T) {
			require.NotEmpty(t, firstViolation(mutate), "no run detected the disabled mechanism")
		})
	}
}

// firstViolation injects random faults until an invariant is violated.
func firstViolation(mutate mutation) string {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		w := newWorld(random, 3, 10, 2)
		w.mutate = mutate
		faults := w.faults()
		names := sortedNames(faults)
		for range 200 {
			faults[names[random.IntN(len(names))]](random.IntN(30))
			for range random.IntN(30) {
				w.step()
			}
			if w.violation != "" {
				return w.violation
			}
		}
	}
	return ""
}

// TestSoak runs for SOAK_MINUTES with seeds from SOAK_SEED upwards; see `make soak`.
func TestSoak(t *testing.T) {
	minutes, _ := strconv.ParseFloat(os.Getenv("SOAK_MINUTES"), 64)
	if minutes == 0 {
		t.Skip("runs only by make soak")
	}
	seed, _ := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	end := time.Now().Add(time.Duration(minutes * float64(time.Minute)))
	require.NoError(t, flag.Set("rapid.checks", "20"))
	runs, steps, commits := 0, 0, 0
	for ; time.Now().Before(end); seed++ {
		require.NoError(t, flag.Set("rapid.seed", strconv.FormatUint(seed, 10)))
		rapid.Check(t, func(t *rapid.T) {
			w := run(t, mutateNone)
			runs++
			steps += w.steps
			commits += w.commits
		})
	}
	t.Logf("seeds up to %d: %d runs, %d steps of %s, %d commits, no violation", seed-1, runs, steps, stepDuration, commits)
}

func sortedNames(faults map[string]func(int)) []string {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
