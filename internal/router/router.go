package router

import (
	"cmp"
	"slices"
	"strings"
)

// Table answers the questions that each request asks of a configuration. It never changes.
type Table struct {
	Configuration
	hosts    map[string][]*Route
	keys     map[string]*Account
	services map[string]*Service
}

// New returns the table of a configuration.
func New(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         map[string][]*Route{}, keys: map[string]*Account{}, services: map[string]*Service{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			t.keys[k] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Route returns the route with the longest prefix of a path, or nil.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of a route carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !r.Open && len(t.Accounts) > 0 }

// Account returns the client account that holds a key, or nil.
func (t *Table) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Part returns the service for a request of a route; u is uniform in [0, 1).
func (r *Route) Part(u float64) string {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	u *= sum
	for _, p := range r.Parts {
		if u -= p.Weight; u < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}

// EffectivePriority returns the priority of a request of an account, which may be nil; 0 is the highest.
func (r *Route) EffectivePriority(a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}
