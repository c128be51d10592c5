package router

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Change is the difference between two versions of a configuration.
type Change struct {
	// Base is the version that the change applies to; zero if the change holds a whole configuration.
	Base     int64               `json:"base,omitempty"`
	Version  int64               `json:"version"`
	Routes   ListChange[Route]   `json:"routes"`
	Services ListChange[Service] `json:"services"`
	Accounts ListChange[Account] `json:"accounts"`
	Limits   Limits              `json:"limits"`
}

// ListChange is the difference between two lists of resources that have a name each.
type ListChange[T named] struct {
	// Removed are the names of the resources that are no longer in the list.
	Removed []string `json:"removed,omitempty"`
	// Set are the resources that are new or differ, in order of name.
	Set []T `json:"set,omitempty"`
}

func (c ListChange[T]) empty() bool { return len(c.Removed) == 0 && len(c.Set) == 0 }

// named is a resource of a configuration.
type named interface{ name() string }

func (r Route) name() string   { return r.Name }
func (s Service) name() string { return s.Name }
func (a Account) name() string { return a.Name }

func compareNames[T named](a, b T) int { return cmp.Compare(a.name(), b.name()) }

// sortedByName returns a list in order of name.
func sortedByName[T named](list []T) []T {
	if slices.IsSortedFunc(list, compareNames) {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, compareNames)
	return list
}

func (r Route) equal(o Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Idempotent == o.Idempotent &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Priority == o.Priority && r.Attempts == o.Attempts &&
		r.Open == o.Open && slices.Equal(r.Services, o.Services)
}

func (s Service) equal(o Service) bool { return s == o }

func (a Account) equal(o Account) bool {
	samePriority := a.Priority == o.Priority || a.Priority != nil && o.Priority != nil && *a.Priority == *o.Priority
	return a.Name == o.Name && slices.Equal(a.Keys, o.Keys) && samePriority && a.Rate == o.Rate && a.Burst == o.Burst
}

// Whole returns the change that holds the whole configuration of a table.
func (t *Table) Whole() Change {
	return Change{
		Version: t.Version, Limits: t.Limits,
		Routes: ListChange[Route]{Set: t.Routes}, Services: ListChange[Service]{Set: t.Services}, Accounts: ListChange[Account]{Set: t.Accounts},
	}
}

// ChangeFrom returns the change from an earlier table to this one; ok is false if names or routes are ambiguous in either.
func (t *Table) ChangeFrom(base *Table) (c Change, ok bool) {
	if !t.unambiguous() || !base.unambiguous() {
		return Change{}, false
	}
	return Change{
		Base: base.Version, Version: t.Version, Limits: t.Limits,
		Routes:   diff(base.Routes, t.Routes, Route.equal),
		Services: diff(base.Services, t.Services, Service.equal),
		Accounts: diff(base.Accounts, t.Accounts, Account.equal),
	}, true
}

// unambiguous reports whether each resource has a name, and each route a host and prefix, of its own.
func (t *Table) unambiguous() bool {
	return t.routes.Len() == len(t.Routes) && distinct(t.Routes) && distinct(t.Services) && distinct(t.Accounts)
}

func distinct[T named](list []T) bool {
	for i := 1; i < len(list); i++ {
		if list[i].name() == list[i-1].name() {
			return false
		}
	}
	return true
}

// Apply returns the table with a change, which must be based on the table's version unless it holds a whole configuration.
func (t *Table) Apply(c Change) (*Table, error) {
	if c.Base == 0 {
		return New(Configuration{Version: c.Version, Limits: c.Limits, Routes: c.Routes.Set, Services: c.Services.Set, Accounts: c.Accounts.Set}), nil
	}
	if t == nil || t.Version != c.Base {
		return nil, errors.Newf("the change applies to version %d of the configuration", c.Base)
	}
	n := &Table{
		Configuration: Configuration{
			Version: c.Version, Limits: c.Limits,
			Routes: merge(t.Routes, c.Routes), Services: merge(t.Services, c.Services), Accounts: merge(t.Accounts, c.Accounts),
		},
		routes: t.routes, accountsByKey: t.accountsByKey, accountsByName: t.accountsByName, servicesByName: t.servicesByName,
	}
	n.indexRoutes(replaced(t.Routes, c.Routes), c.Routes.Set)
	if !c.Accounts.empty() {
		n.indexAccounts()
	}
	if !c.Services.empty() {
		n.indexServices()
	}
	return n, nil
}

// diff returns the change from one list to another; both are in order of name.
func diff[T named](from, to []T, equal func(a, b T) bool) ListChange[T] {
	var c ListChange[T]
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].name() < to[0].name():
			c.Removed = append(c.Removed, from[0].name())
			from = from[1:]
		case len(from) == 0 || to[0].name() < from[0].name():
			c.Set = append(c.Set, to[0])
			to = to[1:]
		default:
			if !equal(from[0], to[0]) {
				c.Set = append(c.Set, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return c
}

// merge returns a list with a change.
func merge[T named](list []T, c ListChange[T]) []T {
	if c.empty() {
		return list
	}
	dropped := names(c)
	out := make([]T, 0, len(list)+len(c.Set))
	for _, x := range list {
		if !dropped[x.name()] {
			out = append(out, x)
		}
	}
	return sortedByName(append(out, c.Set...))
}

// replaced returns the elements of a list that a change removes or replaces.
func replaced[T named](list []T, c ListChange[T]) []T {
	var out []T
	for n := range maps.Keys(names(c)) {
		if i, ok := slices.BinarySearchFunc(list, n, func(x T, n string) int { return cmp.Compare(x.name(), n) }); ok {
			out = append(out, list[i])
		}
	}
	return out
}

// names returns the names in a change.
func names[T named](c ListChange[T]) map[string]bool {
	ns := make(map[string]bool, len(c.Removed)+len(c.Set))
	for _, n := range c.Removed {
		ns[n] = true
	}
	for _, x := range c.Set {
		ns[x.name()] = true
	}
	return ns
}
