package aggregator

import (
	"maps"
	"net/netip"
	"time"
)

// Domain is the sum over the VMs of a failure domain.
type Domain struct {
	// Services has the counts of each service with events.
	Services map[string]Counts
	// VMs is the number of VMs in the sum. It is lower than the domain's for a moment after its leader was replaced.
	VMs int
	// AsOf is when the sum was made, at the latest.
	AsOf time.Time
}

// Fleet is what is known of one service.
type Fleet struct {
	// Sum is the sum over Domains.
	Sum Counts
	// Domains has the counts of the failure domains in which the service has events.
	Domains map[string]Counts
}

// Fleets returns the sums over failure domains, by service.
func Fleets(domains map[string]Domain) map[string]Fleet {
	fs := map[string]Fleet{}
	for name, d := range domains {
		for s, c := range d.Services {
			f := fs[s]
			if f.Domains == nil {
				f.Domains = map[string]Counts{}
			}
			f.Domains[name] = c
			f.Sum.add(c, 1)
			fs[s] = f
		}
	}
	return fs
}

// vmReport is what a VM of this domain reported last.
type vmReport struct {
	services   map[string]Counts
	receivedAt time.Time
}

// Aggregator sums up the reports of the VMs of one failure domain, and keeps the sums of the others. Each report replaces the
// last one of its sender: that of a VM by its address, since it may have started again, and that of a domain by the name,
// since it may have another leader. It is not safe for concurrent use.
type Aggregator struct {
	vms map[netip.AddrPort]vmReport
	// sum is the sum over vms.
	sum map[string]Counts
	// domains has the sums that the leaders of other domains reported.
	domains map[string]Domain
}

// New returns an aggregator without reports.
func New() *Aggregator {
	return &Aggregator{vms: map[netip.AddrPort]vmReport{}, sum: map[string]Counts{}, domains: map[string]Domain{}}
}

// SetVM replaces the report of a VM of this domain.
func (a *Aggregator) SetVM(now time.Time, from netip.AddrPort, services map[string]Counts) {
	a.removeVM(from)
	a.vms[from] = vmReport{services, now}
	for s, c := range services {
		n := a.sum[s]
		n.add(c, 1)
		a.sum[s] = n
	}
}

func (a *Aggregator) removeVM(vm netip.AddrPort) {
	for s, c := range a.vms[vm].services {
		n := a.sum[s]
		if n.add(c, -1); n.IsZero() {
			delete(a.sum, s)
			continue
		}
		a.sum[s] = n
	}
	delete(a.vms, vm)
}

// SetDomain replaces the sum of another domain, unless the one that is known is later.
func (a *Aggregator) SetDomain(name string, d Domain) {
	if d.AsOf.Before(a.domains[name].AsOf) {
		return
	}
	a.domains[name] = d
}

// Expire drops the reports from before a time.
func (a *Aggregator) Expire(before time.Time) {
	for vm, r := range a.vms {
		if r.receivedAt.Before(before) {
			a.removeVM(vm)
		}
	}
	maps.DeleteFunc(a.domains, func(_ string, d Domain) bool { return d.AsOf.Before(before) })
}

// Own returns the sum over the VMs of this domain.
func (a *Aggregator) Own(now time.Time) Domain {
	return Domain{Services: maps.Clone(a.sum), VMs: len(a.vms), AsOf: now}
}

// Others returns the sums of the other domains. The caller must not change them.
func (a *Aggregator) Others() map[string]Domain { return maps.Clone(a.domains) }
