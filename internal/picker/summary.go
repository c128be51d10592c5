package picker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthproxy/jacinthproxy/pkg/admitter"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

const (
	// maxCountedAccounts bounds the client accounts whose refused requests are counted between two summaries, and
	// summarizedAccounts those that a summary names.
	maxCountedAccounts = 64
	summarizedAccounts = 5
	// maxSummaries bounds the services with a summary at a time.
	maxSummaries = 8
)

// unserved counts the requests of a service that this VM refused since the last summary.
type unserved struct {
	// noRoom and noRetry count those that were not let in, and those that got no retry, by level.
	noRoom, noRetry [aggregator.Levels]int
	// accounts counts both by client account. Those beyond maxCountedAccounts are counted under "other".
	accounts map[string]int
}

// count counts a refused request in one of the counts by level.
func (u *unserved) count(by *[aggregator.Levels]int, level int, account string) {
	by[level]++
	if _, ok := u.accounts[account]; !ok && len(u.accounts) >= maxCountedAccounts {
		account = "other"
	}
	u.accounts[account]++
}

// Summary tells how full a service is over the whole fleet, and whom this VM refused since the last summary.
type Summary struct {
	Service string
	// Use is the share of the slots in use, and RefusedShare and UnservedShare those of the sends and of the requests of the fleet.
	Use, RefusedShare, UnservedShare float64
	// Offered is the number of requests in the last second by level, over the fleet, and LetIn the share of them that is let in.
	Offered, LetIn string
	// NoRoom and NoRetry are the requests that were not let in here and those that got no retry, by level.
	NoRoom, NoRetry string
	// Accounts are the client accounts with the most of these requests.
	Accounts string
	// Retries is the number of retries left in this VM's part of the budget.
	Retries float64
}

// Summaries returns those of the services that are short of room, or of which this VM refused requests since the last call,
// those with the largest share of unserved requests first.
func (p *Picker) Summaries() []Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, shares := p.Clock.Now(), p.room.admitter.Shares()
	var all []Summary
	for name, s := range p.services {
		u, short := p.room.unserved[name]
		letIn, full := shares[name]
		if !short && !full {
			continue
		}
		fleet := p.FleetUsage(name).Sum
		m := Summary{
			Service: name, RefusedShare: fleet.RefusedShare(), UnservedShare: fleet.UnservedShare(), Retries: s.budget.Left(now),
			Offered: byLevel(fleet.Offered), LetIn: "all",
		}
		m.Use, _ = s.balancer.Use(now)
		if full {
			m.LetIn = byLevel(letIn)
		}
		if u != nil {
			m.NoRoom, m.NoRetry, m.Accounts = byLevel(u.noRoom), byLevel(u.noRetry), topAccounts(u.accounts)
		}
		all = append(all, m)
	}
	clear(p.room.unserved)
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.UnservedShare, a.UnservedShare), cmp.Compare(a.Service, b.Service))
	})
	return all[:min(len(all), maxSummaries)]
}

// byLevel formats one number for each level, the most urgent first.
func byLevel[T int | int64 | float64](ns [aggregator.Levels]T) string {
	var parts []string
	for _, n := range ns {
		parts = append(parts, fmt.Sprintf("%.3g", float64(n)))
	}
	return strings.Join(parts, "/")
}

// topAccounts formats the accounts with the most requests, in the form "account:count,...".
func topAccounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for a := range counts {
		names = append(names, a)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	var parts []string
	for _, a := range names[:min(len(names), summarizedAccounts)] {
		parts = append(parts, fmt.Sprintf("%s:%d", a, counts[a]))
	}
	return strings.Join(parts, ",")
}

// unservedAt returns the counts of a service since the last summary.
func (r *room) unservedAt(service string) *unserved {
	u := r.unserved[service]
	if u == nil {
		u = &unserved{accounts: map[string]int{}}
		r.unserved[service] = u
	}
	return u
}

// LevelShares returns the share of the requests that is let in, by service and level, of the services that are short of room.
func (p *Picker) LevelShares() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]float64{}
	for n, shares := range p.room.admitter.Shares() {
		for l, s := range shares {
			all[fmt.Sprintf("%s/%d", n, l)] = s
		}
	}
	return all
}

// RefusedRequests returns the number of requests that this VM refused since the start for want of room or of a retry, by service
// and level.
func (p *Picker) RefusedRequests() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]float64{}
	for k, n := range p.room.refused {
		all[fmt.Sprintf("%s/%d", k.service, k.level)] = float64(n)
	}
	return all
}

// RetryTurns returns the number of failed requests that asked for a retry since the start, by whether they got one.
func (p *Picker) RetryTurns() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]float64{"taken": float64(p.room.turns[admitter.TurnTake]), "refused": float64(p.room.turns[admitter.TurnRefuse])}
}

// Uses returns the share of the slots in use, by service.
func (p *Picker) Uses() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	us := make(map[string]float64, len(p.services))
	for name, s := range p.services {
		if u, ok := s.balancer.Use(p.Clock.Now()); ok {
			us[name] = u
		}
	}
	return us
}

// RefusedShares returns the share of the sends of all VMs that full instances refused in the last second, by service.
func (p *Picker) RefusedShares() map[string]float64 {
	p.usage.mu.Lock()
	defer p.usage.mu.Unlock()
	ns := make(map[string]float64, len(p.usage.fleets))
	for name, f := range p.usage.fleets {
		ns[name] = f.Sum.RefusedShare()
	}
	return ns
}
