package serving

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatch_LongestPrefixOfHost(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "short", Host: "shop.example", Prefix: "/a/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "other", Host: "other.example", Prefix: "/"},
	}}
	c.Index()
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/a/x", "short"},
		{"shop.example", "/a/b/x", "long"},
		{"SHOP.example", "/a/b/", "long"},
		{"other.example", "/a/", "other"},
		{"shop.example", "/b/", ""},
		{"none.example", "/a/", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		require.Equal(t, test.want, got, "%s%s", test.host, test.path)
	}
}

func TestRouteService_FollowsWeights(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[r.Service(hash)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

func TestRoute_Repeatable(t *testing.T) {
	require.True(t, (&Route{Kind: KindRepeatable}).Repeatable())
	require.False(t, (&Route{Kind: KindOnce}).Repeatable())
	require.False(t, (&Route{Kind: KindStream}).Repeatable())
	require.True(t, (&Route{Kind: KindStream, Resumable: true}).Repeatable())
}
