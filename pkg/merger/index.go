package merger

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Index finds routes and accounts in a tree. It is immutable and safe for concurrent use.
type Index struct {
	teams map[string]*teamIndex
	// Versions are the versions of the teams' subtrees.
	Versions map[string]uint64
}

type teamIndex struct {
	subtree  Subtree
	routes   []Route
	accounts map[string]string
}

// Match is what a request's path and method lead to.
type Match struct {
	Team    string
	Route   Route
	Service Service
}

// ServiceName returns the service's name in the whole tree.
func (m Match) ServiceName() string { return m.Team + "/" + m.Route.Service }

// RouteName returns the route's name in the whole tree.
func (m Match) RouteName() string { return m.Team + m.Route.Path }

// Account is a client account that a key belongs to.
type Account struct {
	// Name is the account's name in the whole tree, with its team.
	Name  string
	Limit limiter.Limit
}

// Index returns an index of the tree as it is now; it takes over the parts of a
// previous index whose subtrees have not changed.
func (t *Tree) Index(previous *Index) *Index {
	x := &Index{teams: make(map[string]*teamIndex, len(t.teams)), Versions: make(map[string]uint64, len(t.teams))}
	for name, s := range t.teams {
		x.Versions[name] = s.Version
		if previous != nil && previous.Versions[name] == s.Version {
			x.teams[name] = previous.teams[name]
			continue
		}
		x.teams[name] = indexTeam(s)
	}
	return x
}

func indexTeam(s Subtree) *teamIndex {
	x := &teamIndex{subtree: s, routes: slices.Clone(s.Document.Routes), accounts: map[string]string{}}
	slices.SortStableFunc(x.routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	for name, a := range s.Document.ClientAccounts {
		for _, hash := range a.Keys {
			x.accounts[hash] = name
		}
	}
	return x
}

// Match returns the route with the longest prefix of a path that allows the method.
func (x *Index) Match(method, path string) (Match, bool) {
	team, rest, ok := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	t := x.teams[team]
	if !ok || t == nil {
		return Match{}, false
	}
	rest = "/" + rest
	for _, r := range t.routes {
		if strings.HasPrefix(rest, r.Path) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return Match{Team: team, Route: r, Service: t.subtree.Document.Services[r.Service]}, true
		}
	}
	return Match{}, false
}

// Account returns the account of a team that a key belongs to.
func (x *Index) Account(team, key string) (Account, bool) {
	t := x.teams[team]
	if t == nil {
		return Account{}, false
	}
	name, ok := t.accounts[HashKey(key)]
	if !ok {
		return Account{}, false
	}
	return Account{Name: team + "/" + name, Limit: t.subtree.Document.ClientAccounts[name].Limit}, true
}

// Limit returns the limit of an account by its name in the whole tree.
func (x *Index) Limit(account string) (limiter.Limit, bool) {
	team, name, _ := strings.Cut(account, "/")
	t := x.teams[team]
	if t == nil {
		return limiter.Limit{}, false
	}
	a, ok := t.subtree.Document.ClientAccounts[name]
	return a.Limit, ok
}

// Service returns a service by its name in the whole tree.
func (x *Index) Service(name string) (Service, bool) {
	team, service, _ := strings.Cut(name, "/")
	t := x.teams[team]
	if t == nil {
		return Service{}, false
	}
	s, ok := t.subtree.Document.Services[service]
	return s, ok
}

// Services calls f with the name in the whole tree of each service.
func (x *Index) Services(f func(name string, s Service)) {
	for team, t := range x.teams {
		for name, s := range t.subtree.Document.Services {
			f(team+"/"+name, s)
		}
	}
}

// HashKey returns the hash of a key's text as the configuration keeps it.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
