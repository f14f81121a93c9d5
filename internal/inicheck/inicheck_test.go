package inicheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFile_ReportsMistakes(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"right", "[a]\nname = x\nwait = 1s", ""},
		{"no INI", "[a\nname", `f.ini: []: given "unclosed section: [a\n", allowed: INI text: [section] lines and key = value lines`},
		{"missing", "[a]\nwait = 1s", `f.ini: [a] name: given "", allowed: a name of 1 to 63 letters, digits, '.', '-' and '_'`},
		{"bad name", "[a]\nname = x y", `f.ini: [a] name: given "x y", allowed: a name of 1 to 63 letters, digits, '.', '-' and '_'`},
		{"no duration", "[a]\nname = x\nwait = soon", `f.ini: [a] wait: given "soon", allowed: a duration from 0s to 1m0s, such as 250ms or 2s`},
		{"too long", "[a]\nname = x\nwait = 2h", `f.ini: [a] wait: given "2h", allowed: a duration from 0s to 1m0s, such as 250ms or 2s`},
		{"unknown key", "[a]\nname = x\nwiat = 1s", `f.ini: [a] wiat: given "1s", allowed: one of the keys name, wait`},
		{"unknown section", "[a]\nname = x\n[b]\nc = 1", `f.ini: [b]: given "b", allowed: a documented section`},
		{"twice", "[a]\nname = x\nname = y", `f.ini: [a] name: given "x and y", allowed: the key once`},
		{"outside", "k = 1\n[a]\nname = x", `f.ini: [] k: given "1", allowed: keys only inside a [section]`},
		{
			"all at once", "[a]\nname = x y\nwait = soon",
			`f.ini: [a] name: given "x y", allowed: a name of 1 to 63 letters, digits, '.', '-' and '_'` + "\n" +
				`f.ini: [a] wait: given "soon", allowed: a duration from 0s to 1m0s, such as 250ms or 2s`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := Parse("f.ini", []byte(c.text))
			a := f.Section("a")
			a.Name("name")
			a.Duration("wait", 0, 0, time.Minute)
			err := f.Err()
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}

func TestSection_ReadsValues(t *testing.T) {
	f := Parse("f.ini", []byte("[a]\nn = 7\nr = 0.5\nb = yes\nl = x, y,,z\nw = two\naddr = 127.0.0.1:80\n[p one]\nk = 1\n[p two]\nk = 2"))
	a := f.Section("a")
	assert.Equal(t, 7, a.Int("n", 0, 1, 10))
	assert.Equal(t, 0.5, a.Float("r", 0, 0, 1))
	assert.True(t, a.Bool("b", false))
	assert.Equal(t, []string{"x", "y", "z"}, a.List("l"))
	assert.Equal(t, "two", a.OneOf("w", "one", "one", "two"))
	assert.Equal(t, "127.0.0.1:80", a.Address("addr"))
	var names []string
	for _, p := range f.Named("p") {
		names = append(names, p.Name+"="+p.String("k", ""))
	}
	assert.Equal(t, []string{"one=1", "two=2"}, names)
	assert.NoError(t, f.Err())
}
