package router_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
)

func TestMain(m *testing.M) { chooser.Main(m) }

// drawConfiguration draws a configuration from few names, so that two of them share some.
func drawConfiguration(t *rapid.T, version int64) router.Configuration {
	c := router.Configuration{Version: version, Limits: router.DefaultLimits()}
	c.Limits.MaxHeaderBytes = rapid.IntRange(1, 2).Draw(t, "limit")
	for i := range 8 {
		if rapid.Bool().Draw(t, "route") {
			c.Routes = append(c.Routes, router.Route{
				Name: fmt.Sprint("r", i), Host: rapid.SampledFrom([]string{"a", "B"}).Draw(t, "host"), Prefix: fmt.Sprintf("/%d/", i),
				Timeout: time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")), Services: []router.WeightedService{{Service: "s0", Weight: 1}},
			})
		}
		if rapid.Bool().Draw(t, "account") {
			c.Accounts = append(c.Accounts, router.Account{Name: fmt.Sprint("a", i), Keys: []string{fmt.Sprint("k", i, rapid.IntRange(1, 2).Draw(t, "key"))}})
		}
		if rapid.Bool().Draw(t, "service") {
			c.Services = append(c.Services, router.Service{Name: fmt.Sprint("s", i), MaxConnections: rapid.IntRange(1, 2).Draw(t, "connections")})
		}
	}
	return c
}

// TestChangeLeadsFromOneVersionToAnother compares a table with changes to one that is built anew, by all lookups.
func TestChangeLeadsFromOneVersionToAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changed := router.New(drawConfiguration(t, 1))
		for version := int64(2); version < 5; version++ {
			want := router.New(drawConfiguration(t, version))
			c, ok := want.ChangeFrom(changed)
			require.True(t, ok)
			var err error
			changed, err = changed.Apply(c)
			require.NoError(t, err)
			require.Equal(t, want.Version, changed.Version)
			require.Equal(t, want.Limits, changed.Limits)
			require.True(t, slices.EqualFunc(want.Routes, changed.Routes, func(a, b router.Route) bool { return a.Name == b.Name && a.Timeout == b.Timeout }))
			for i := range 8 {
				for _, h := range []string{"a", "b:80", "c"} {
					require.Equal(t, want.Route(h, fmt.Sprintf("/%d/x", i)), changed.Route(h, fmt.Sprintf("/%d/x", i)))
				}
				require.Equal(t, want.Service(fmt.Sprint("s", i)), changed.Service(fmt.Sprint("s", i)))
				require.Equal(t, want.AccountByName(fmt.Sprint("a", i)), changed.AccountByName(fmt.Sprint("a", i)))
				for k := range 3 {
					require.Equal(t, want.Account(fmt.Sprint("k", i, k)), changed.Account(fmt.Sprint("k", i, k)))
				}
			}
		}
	})
}

func TestChangeOfAnotherVersionIsNotApplied(t *testing.T) {
	one := router.New(router.Configuration{Version: 1})
	c, ok := router.New(router.Configuration{Version: 3}).ChangeFrom(router.New(router.Configuration{Version: 2}))
	require.True(t, ok)
	_, err := one.Apply(c)
	require.ErrorContains(t, err, "version 2")
	var none *router.Table
	_, err = none.Apply(c)
	require.Error(t, err)
}

// Two resources of one name cannot be told apart by a change.
func TestAmbiguousNamesGiveNoChange(t *testing.T) {
	twice := router.New(router.Configuration{Version: 2, Accounts: []router.Account{{Name: "a"}, {Name: "a"}}})
	_, ok := twice.ChangeFrom(router.New(router.Configuration{Version: 1}))
	require.False(t, ok)
	same := []router.Route{{Name: "r", Host: "a", Prefix: "/"}, {Name: "q", Host: "A", Prefix: "/"}}
	_, ok = router.New(router.Configuration{Version: 2, Routes: same}).ChangeFrom(router.New(router.Configuration{Version: 1}))
	require.False(t, ok)
}

func TestHostIsNotTakenForAPartOfThePath(t *testing.T) {
	tab := router.New(router.Configuration{Routes: []router.Route{{Name: "r", Host: "a", Prefix: "/b/"}}})
	require.NotNil(t, tab.Route("a", "/b/c"))
	require.Nil(t, tab.Route("a/b/", "c"))
	require.Nil(t, tab.Route("a/b", "/c"))
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{15, 1400, 110000} {
		var c router.Configuration
		for i := range n {
			c.Routes = append(c.Routes, router.Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/%x/", uint64(i)*0x9e3779b97f4a7c15)})
		}
		t := router.New(c)
		path := c.Routes[n/2].Prefix + strings.Repeat("x", 20)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if t.Route("a.example", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
