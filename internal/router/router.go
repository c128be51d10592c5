package router

import (
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Table is a configuration with indexes for the lookups that each request needs. It is immutable. Its lists are in order of
// name.
type Table struct {
	Configuration
	// routes are the routes by host and prefix. Tables of successive versions share what did not change.
	routes         *iradix.Tree[*Route]
	accountsByKey  map[string]*Account
	accountsByName map[string]*Account
	servicesByName map[string]*Service
}

// New returns the table of a configuration.
func New(c Configuration) *Table {
	c.Routes, c.Services, c.Accounts = sortedByName(c.Routes), sortedByName(c.Services), sortedByName(c.Accounts)
	t := &Table{Configuration: c, routes: iradix.New[*Route]()}
	t.indexRoutes(nil, c.Routes)
	t.indexAccounts()
	t.indexServices()
	return t
}

// indexRoutes removes routes from the index and then adds others.
func (t *Table) indexRoutes(removed, added []Route) {
	x := t.routes.Txn()
	for i := range removed {
		x.Delete(removed[i].key())
	}
	for _, r := range added {
		x.Insert(r.key(), &r) // A copy: the index must not keep the lists of former tables.
	}
	t.routes = x.Commit()
}

func (t *Table) indexAccounts() {
	t.accountsByKey, t.accountsByName = map[string]*Account{}, map[string]*Account{}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		t.accountsByName[a.Name] = a
		for _, k := range a.Keys {
			t.accountsByKey[k] = a
		}
	}
}

func (t *Table) indexServices() {
	t.servicesByName = map[string]*Service{}
	for i := range t.Services {
		t.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
}

// key returns the route's key in the index. A host has no slash and a prefix begins with one.
func (r *Route) key() []byte { return routeKey(r.Host, r.Prefix) }

func routeKey(host, path string) []byte { return []byte(strings.ToLower(host) + path) }

// Route returns the route of a host with the longest prefix that matches a path, or nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	host = hostname(host)
	_, r, ok := t.routes.Root().LongestPrefix(routeKey(host, path))
	if !ok || !strings.EqualFold(r.Host, host) { // A host with a slash could match the host and prefix of another.
		return nil
	}
	return r
}

// Matches returns all routes of a host whose prefix matches a path, the one with the longest prefix first.
func (t *Table) Matches(host, path string) []*Route {
	var rs []*Route
	t.routes.Root().WalkPath(routeKey(hostname(host), path), func(_ []byte, r *Route) bool {
		if strings.EqualFold(r.Host, hostname(host)) {
			rs = append(rs, r)
		}
		return false
	})
	slices.Reverse(rs)
	return rs
}

// hostname returns a host without its port.
func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// NeedsKey reports whether requests of a route need a key: the route is not open and there are client accounts.
func (t *Table) NeedsKey(r *Route) bool { return !r.Open && len(t.Accounts) > 0 }

// Account returns the client account of a key, or nil.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.accountsByKey[key]
}

// AccountByName returns a client account by its name, or nil.
func (t *Table) AccountByName(name string) *Account { return t.accountsByName[name] }

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// PickService chooses the service for a request by weight; u is a random number, uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	sum := 0.0
	for _, p := range r.Services {
		sum += p.Weight
	}
	u *= sum
	for _, p := range r.Services {
		if u -= p.Weight; u < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// EffectivePriority returns the priority of a request of an account, which may be nil: the account's if it has one,
// otherwise the route's. 0 is the highest.
func (r *Route) EffectivePriority(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}
