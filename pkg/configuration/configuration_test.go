package configuration

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const validTemplate = `
[template]
name = letters
model = roaster-7b
version = 2
adapters = galicia, cantabria
replica_size = 8
data_centres = oviedo, lugo
weight_downtime = 2
weight_stranded = 5

[capacity]
time_zone = Europe/Madrid
groups = 06:30=3 22:00=1

[workspace weekly]
key = weekly-secret-key
share = 2
deadline = 90s
`

func TestParse_ReadsTemplate(t *testing.T) {
	got, err := Parse("letters.ini", []byte(validTemplate))
	require.NoError(t, err)
	assert.Equal(t, "roaster-7b@2+galicia+cantabria", got.WeightsName())
	assert.Equal(t, 8, got.ReplicaSize)
	assert.True(t, got.RunsIn("lugo"))
	assert.False(t, got.RunsIn("santander"))
	require.Len(t, got.Workspaces, 1)
	assert.Equal(t, HashKey("weekly-secret-key"), got.Workspaces[0].KeyHash)
	assert.Equal(t, 90*time.Second, got.Workspaces[0].Deadline)
}

func TestParse_ReportsMistakes(t *testing.T) {
	const validHead = "[template]\nname = a\nmodel = m\n[capacity]\ngroups = 00:00=1\n"
	const validTail = "[workspace w]\nkey = long-enough\n"
	for _, c := range []struct{ name, text, want string }{
		{"too small", "[template]\nname = a\nmodel = m\nreplica_size = 3\n[capacity]\ngroups = 00:00=1\n" + validTail, "replica_size: given \"3\", allowed: a whole number from 4 to 32"},
		{"too large", "[template]\nname = a\nmodel = m\nreplica_size = 33\n[capacity]\ngroups = 00:00=1\n" + validTail, "given \"33\""},
		{"no model", "[template]\nname = a\n" + validTail, "a model, a service or both"},
		{"no capacity", "[template]\nname = a\nmodel = m\n" + validTail, "[capacity] groups"},
		{"steps out of order", "[template]\nname = a\nmodel = m\n[capacity]\ngroups = 10:00=1 09:00=2\n" + validTail, "given \"09:00=2\""},
		{"bad hour", "[template]\nname = a\nmodel = m\n[capacity]\ngroups = 25:00=1\n" + validTail, "given \"25:00=1\""},
		{"bad zone", "[template]\nname = a\nmodel = m\n[capacity]\ntime_zone = Mars\ngroups = 00:00=1\n" + validTail, "an IANA time zone"},
		{"role not served", "[template]\nname = a\nmodel = m\nrole = decode\n[capacity]\ngroups = 00:00=1\n" + validTail, "one of mixed"},
		{"no workspace", validHead, "at least one [workspace NAME] section"},
		{"short key", validHead + "[workspace w]\nkey = short\n", "key: given \"(hidden)\""},
		{"unknown key", validHead + validTail + "colour = red\n", "colour"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("t.ini", []byte(c.text))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
			assert.NotContains(t, err.Error(), "short\"")
		})
	}
}

func TestTemplate_GroupsAt(t *testing.T) {
	got, err := Parse("letters.ini", []byte(validTemplate))
	require.NoError(t, err)
	for _, c := range []struct {
		at   string
		want int
	}{
		{"2026-01-15T05:29:00Z", 1}, // 06:29 in Madrid: the last step of the day before.
		{"2026-01-15T05:30:00Z", 3},
		{"2026-01-15T20:59:00Z", 3},
		{"2026-01-15T21:00:00Z", 1},
		{"2026-07-15T04:30:00Z", 3}, // 06:30 in summer.
	} {
		at, err := time.Parse(time.RFC3339, c.at)
		require.NoError(t, err)
		assert.Equal(t, c.want, got.GroupsAt(at), c.at)
	}
}

func TestDiff_ListsChangedFields(t *testing.T) {
	left, err := Parse("a", []byte(validTemplate))
	require.NoError(t, err)
	right := *left
	right.ReplicaSize = 4
	assert.Equal(t, []Difference{{Field: "replica_size", Left: "8", Right: "4"}}, Diff(left, &right))
	assert.Empty(t, Diff(left, left))
	assert.NotEmpty(t, Diff(nil, left))
}

// Delayed, duplicate, reordered or incomplete deltas must not restore an older
// template, and a node at the latest revision must have every template.
func TestApply_KeepsNewestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := NewStore()
		var deltas []Delta
		last := map[string]Revision{}
		for r := Revision(1); r <= 20; r++ {
			name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "template"))
			since := Revision(rapid.Uint64Range(0, uint64(r-1)).Draw(t, "since"))
			origin.Apply(Delta{Since: r - 1, To: r, Entries: []Entry{{Name: name, Revision: r}}})
			last[name] = r
			deltas = append(deltas, origin.DeltaSince(since))
		}
		node := NewStore()
		seen := map[string]Revision{}
		for range 60 {
			node.Apply(rapid.SampledFrom(deltas).Draw(t, "delta"))
			for _, e := range node.Entries() {
				if e.Revision < seen[e.Name] {
					t.Fatalf("%s was replaced at revision %d by %d", e.Name, seen[e.Name], e.Revision)
				}
				seen[e.Name] = e.Revision
			}
		}
		node.Apply(origin.DeltaSince(node.Revision()))
		for name, r := range last {
			if e, _ := node.Get(name); e.Revision != r {
				t.Fatalf("%s is at revision %d, want %d", name, e.Revision, r)
			}
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTemplate))
	f.Add([]byte("[template]\nname="))
	f.Add([]byte("[workspace a]\n[workspace a]\nkey=12345678"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		if got.Name == "" || len(got.Workspaces) == 0 {
			t.Fatalf("a template without a name or workspace was accepted: %q", text)
		}
		got.GroupsAt(time.Unix(0, 0))
	})
}
