package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

func table() *router.Table {
	one := 1
	return router.New(router.Configuration{
		Version: 3,
		Routes: []router.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Parts: []router.Part{{Service: "x", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/p/q/", Priority: 2, Parts: []router.Part{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}},
			{Name: "short", Host: "A.example", Prefix: "/p/", Open: true, Parts: []router.Part{{Service: "y", Weight: 1}}},
		},
		Accounts: []router.Account{{Name: "t", Keys: []string{"k1", "k2"}, Priority: &one}},
	})
}

func TestLongestPrefixWins(t *testing.T) {
	tab := table()
	for path, want := range map[string]string{"/p/q/r?x=1": "long", "/p/q": "short", "/p": "all", "/": "all"} {
		require.Equal(t, want, tab.Route("a.example", path).Name, path)
	}
	require.Equal(t, "long", tab.Route("A.EXAMPLE:80", "/p/q/").Name)
	require.Nil(t, tab.Route("b.example", "/p/"))
}

func TestKeysAndPriorities(t *testing.T) {
	tab := table()
	require.Nil(t, tab.Account(""))
	require.Nil(t, tab.Account("k3"))
	a := tab.Account("k2")
	require.Equal(t, "t", a.Name)
	long := tab.Route("a.example", "/p/q/")
	require.Equal(t, 1, long.EffectivePriority(a), "the account's priority goes first")
	require.Equal(t, 2, long.EffectivePriority(nil))
	require.True(t, tab.NeedsKey(long))
	require.False(t, tab.NeedsKey(tab.Route("a.example", "/p/")))
}

func TestPartsByWeight(t *testing.T) {
	r := table().Route("a.example", "/p/q/")
	n := map[string]int{}
	for i := range 1000 {
		n[r.Part(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"x": 900, "y": 100}, n)
}
