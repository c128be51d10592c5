package merger

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Index looks up routes, accounts and services of a tree. It is immutable and safe for concurrent
// use.
type Index struct {
	teams map[string]*teamIndex
	// Versions maps each team to the version of its subtree.
	Versions map[string]uint64
}

type teamIndex struct {
	subtree Subtree
	// routes are sorted by the length of their path, the longest first.
	routes []Route
	// accounts maps the hash of a key to the name of its account.
	accounts map[string]string
}

// Match is the route, and its service, for a request's method and path.
type Match struct {
	Team    string
	Route   Route
	Service Service
}

// ServiceName returns the service's full name, team/service.
func (m Match) ServiceName() string { return m.Team + "/" + m.Route.Service }

// RouteName returns the route's full name, the team followed by the path.
func (m Match) RouteName() string { return m.Team + m.Route.Path }

// Account is the client account that a key belongs to.
type Account struct {
	// Name is the account's full name, team/account.
	Name  string
	Limit limiter.Limit
}

// Index returns an index of the tree's current content. It reuses the parts of the previous
// index, if any, whose subtrees have the same version.
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

// Match returns the route with the longest path prefix among those that match the path and the
// method.
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

// Account returns the account of the team that the key, in plain text, belongs to.
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

// Limit returns the limit of the account with a full name.
func (x *Index) Limit(account string) (limiter.Limit, bool) {
	team, name, _ := strings.Cut(account, "/")
	t := x.teams[team]
	if t == nil {
		return limiter.Limit{}, false
	}
	a, ok := t.subtree.Document.ClientAccounts[name]
	return a.Limit, ok
}

// Service returns the service with a full name.
func (x *Index) Service(name string) (Service, bool) {
	team, service, _ := strings.Cut(name, "/")
	t := x.teams[team]
	if t == nil {
		return Service{}, false
	}
	s, ok := t.subtree.Document.Services[service]
	return s, ok
}

// Services calls f with the full name of each service, in no particular order.
func (x *Index) Services(f func(name string, s Service)) {
	for team, t := range x.teams {
		for name, s := range t.subtree.Document.Services {
			f(team+"/"+name, s)
		}
	}
}

// HashKey returns the hash of a key as the configuration stores it, the SHA-256 in lower-case hex.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}
