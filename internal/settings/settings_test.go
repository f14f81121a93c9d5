package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sample = `
[node]
name = kochi-1
data_centre = kochi-a
[listen]
callers = 127.0.0.1:7070
operator = 127.0.0.1:7071
peers = 127.0.0.1:7072
[keys]
peers = 0123456789abcdef
operator = fedcba9876543210
[platform]
address = 127.0.0.1:7000
[peer kochi-2]
data_centre = kochi-a
address = 127.0.0.2:7072
`

func TestParse(t *testing.T) {
	s, err := Parse("a.ini", []byte(sample))
	require.NoError(t, err)
	assert.Equal(t, "kochi-1", s.Node)
	require.Len(t, s.Bootstrap, 1)
	assert.Equal(t, "127.0.0.2:7072", s.Bootstrap[0].Address)
	assert.Equal(t, "127.0.0.1:0", s.Source().String())
}

func TestParse_ReportsMistakes(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"host name", "[listen]\ncallers = localhost:1", "[listen] callers: given \"localhost:1\", allowed: an IP address with a port"},
		{"short key", "[keys]\npeers = abc", "[keys] peers: given \"(hidden)\", allowed: a secret of 16 characters or more"},
		{"no platform", "[node]\nname = a", "[platform] address: given \"\""},
		{"own_ttl", "[tuning]\npoll = 1s\nown_ttl = 1s", "own_ttl: given \"1s\", allowed: at least twice poll"},
		{"vouch_ttl", "[tuning]\nexchange = 2s", "vouch_ttl: given \"3s\", allowed: at least twice exchange"},
		{"typo", "[tuning]\npol = 1s", "[tuning] pol: given \"1s\", allowed: one of the keys"},
		{"level", "[log]\nlevel = loud", "level: given \"loud\", allowed: one of debug, info, warn, error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("a.ini", []byte(c.text))
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("[peer x]\naddress = ::1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz", text)
		if err == nil && (s.Node == "" || s.Platform == "") {
			t.Fatalf("accepted without a name or a platform: %q", text)
		}
	})
}
