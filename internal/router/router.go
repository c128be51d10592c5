package router

import (
	"cmp"
	"slices"
	"strings"
)

// Table is a configuration with indexes for the lookups that each request needs. It is immutable.
type Table struct {
	Configuration
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	servicesByName map[string]*Service
}

// New returns the table of a configuration.
func New(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		routesByHost:  map[string][]*Route{}, accountsByKey: map[string]*Account{}, servicesByName: map[string]*Service{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.routesByHost[h] = append(t.routesByHost[h], r)
	}
	for _, rs := range t.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			t.accountsByKey[k] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route of a host with the longest prefix that matches a path, or nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
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
