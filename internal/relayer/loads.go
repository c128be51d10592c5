package relayer

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

// loads sums up the requests in flight at each instance that peers report. Each report changes the sums by its difference to
// the last one of the same VM: a leader answers each of its followers with them. It is safe for concurrent use.
type loads struct {
	mu      sync.Mutex
	reports map[netip.AddrPort]loadReport
	// domain sums up the reports of the VMs of this domain, and others those of the leaders of other domains.
	domain, others map[string]int
}

// loadReport is the number of requests that a VM has in flight at each instance; that of a leader of another domain is the sum
// over its domain.
type loadReport struct {
	inFlight   map[string]int
	receivedAt time.Time
	leader     bool
}

func newLoads() *loads {
	return &loads{reports: map[netip.AddrPort]loadReport{}, domain: map[string]int{}, others: map[string]int{}}
}

// set replaces the report of a VM.
func (l *loads) set(a netip.AddrPort, r loadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(a)
	l.reports[a] = r
	sum := l.sum(r)
	for i, n := range r.inFlight {
		sum[i] += n
	}
}

// remove removes the report of a VM. l.mu must be held.
func (l *loads) remove(a netip.AddrPort) {
	r, ok := l.reports[a]
	if !ok {
		return
	}
	delete(l.reports, a)
	sum := l.sum(r)
	for i, n := range r.inFlight {
		if sum[i] -= n; sum[i] <= 0 {
			delete(sum, i)
		}
	}
}

// sum returns the sums that a report is part of.
func (l *loads) sum(r loadReport) map[string]int {
	if r.leader {
		return l.others
	}
	return l.domain
}

// expire removes the reports that were received before a time.
func (l *loads) expire(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, r := range l.reports {
		if r.receivedAt.Before(before) {
			l.remove(a)
		}
	}
}

// except returns the sums without the report of one VM. withLeaders says whether other domains are included.
func (l *loads) except(a netip.AddrPort, withLeaders bool) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := maps.Clone(l.domain)
	if withLeaders {
		for i, n := range l.others {
			sum[i] += n
		}
	}
	if r, ok := l.reports[a]; ok && (withLeaders || !r.leader) {
		for i, n := range r.inFlight {
			if sum[i] -= n; sum[i] <= 0 {
				delete(sum, i)
			}
		}
	}
	return sum
}
