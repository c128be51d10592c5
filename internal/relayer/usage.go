package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

const (
	// usageInterval is the minimum time between two reports of usage to a peer. With usageLinkShare and the reports to all
	// peers of a leader, it is extended up to maxUsageInterval.
	usageInterval    = 250 * time.Millisecond
	maxUsageInterval = 900 * time.Millisecond
	usageLinkShare   = 0.05
	// usageEntryBytes is the approximate size of a service in a report of usage, in bytes.
	usageEntryBytes = 70
	// usageTTL is the age up to which a report of usage is used. It is more than two of the longest intervals, so that a lost
	// message takes nothing out of the sums.
	usageTTL = 2 * time.Second
)

// usage holds what this VM and its peers saw of the services. It is safe for concurrent use.
type usage struct {
	mu         sync.Mutex
	aggregator *aggregator.Aggregator
}

func newUsage() *usage { return &usage{aggregator: aggregator.New()} }

// usageDomains returns the sums that this VM knows, by failure domain. As a leader, it sums up its own domain; a follower uses
// the sum of its leader, and what it sees itself once that has expired.
func (r *Relayer) usageDomains() map[string]aggregator.Domain {
	leads, now := r.IsLeader(), r.Clock.Now()
	own := r.InstanceStats.Usage()
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	a := r.usage.aggregator
	a.SetVM(now, r.Self.Address, own)
	a.Expire(now.Add(-usageTTL))
	ds := a.Others()
	if _, ok := ds[r.Self.Domain]; leads || !ok {
		ds[r.Self.Domain] = a.Own(now)
	}
	return ds
}

// deliverUsage passes the sums over the fleet to the users on this VM.
func (r *Relayer) deliverUsage() { r.InstanceStats.SetUsage(aggregator.Fleets(r.usageDomains())) }

// updateUsage delivers usage at an interval, since what expires arrives with no message.
func (r *Relayer) updateUsage(ctx context.Context) {
	for ctx.Err() == nil {
		r.sleep(ctx, usageInterval)
		r.deliverUsage()
	}
}

// usageDue reports whether usage of a number of services may be sent to one of a number of peers that get it at the same pace.
func (r *Relayer) usageDue(sentAt time.Time, services, peers int) bool {
	d := usageInterval
	if r.LinkSpeed > 0 {
		bits := float64(8 * usageEntryBytes * services * peers)
		d = min(maxUsageInterval, max(d, time.Duration(bits/(usageLinkShare*r.LinkSpeed)*float64(time.Second))))
	}
	return r.Clock.Now().Sub(sentAt) >= d
}

// domainSize returns the number of VMs in this VM's failure domain.
func (r *Relayer) domainSize() int {
	n := 0
	for _, m := range r.Tracker.Members() {
		if m.Domain == r.Self.Domain {
			n++
		}
	}
	return n
}

// addUsage adds this VM's usage to an exchange with its leader if it is due, and reports whether it did.
func (r *Relayer) addUsage(m *wire.Exchange, sentAt time.Time) bool {
	if m.GetLeader() {
		return false
	}
	us := r.InstanceStats.Usage()
	if !r.usageDue(sentAt, len(us), r.domainSize()) {
		return false
	}
	m.Usage, m.UsageKnown = encodeUsage(us), true
	return true
}

// receiveUsage takes in the usage that a VM of this domain reported.
func (r *Relayer) receiveUsage(from netip.AddrPort, m *wire.Exchange) {
	if !m.GetUsageKnown() || m.GetLeader() {
		return
	}
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	r.usage.aggregator.SetVM(r.Clock.Now(), from, decodeUsage(m.GetUsage()))
}

// addDomainUsage adds the sums that this VM knows to its reply to a peer if they are due: the leader of another domain gets
// that of this domain, and a follower gets all.
func (r *Relayer) addDomainUsage(rep *wire.Beliefs, b *peerOutbox, leader bool) {
	r.mu.Lock()
	sentAt, peers := b.usageSentAt, len(r.outboxes)
	r.mu.Unlock()
	if r.Clock.Now().Sub(sentAt) < usageInterval {
		return
	}
	ds := r.usageDomains()
	if leader {
		ds = map[string]aggregator.Domain{r.Self.Domain: ds[r.Self.Domain]}
	}
	services := 0
	for _, d := range ds {
		services += len(d.Services)
	}
	if !r.usageDue(sentAt, services, peers) {
		return
	}
	now := r.Clock.Now()
	for name, d := range ds {
		rep.Usage = append(rep.Usage, &wire.DomainUsage{
			Domain: name, AgeMs: ageMs(now, d.AsOf), Vms: uint32(d.VMs), Services: encodeUsage(d.Services),
		})
	}
	rep.UsageKnown = true
	r.mu.Lock()
	b.usageSentAt = now
	r.mu.Unlock()
}

// receiveDomainUsage takes in the sums in a peer's reply, which was made at the given time.
func (r *Relayer) receiveDomainUsage(madeAt time.Time, b *wire.Beliefs) {
	if !b.GetUsageKnown() {
		return
	}
	leads := r.IsLeader()
	r.usage.mu.Lock()
	for _, m := range b.GetUsage() {
		if leads && m.GetDomain() == r.Self.Domain {
			continue
		}
		d := aggregator.Domain{
			Services: decodeUsage(m.GetServices()), VMs: int(m.GetVms()), AsOf: madeAt.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
		r.usage.aggregator.SetDomain(m.GetDomain(), d)
	}
	r.usage.mu.Unlock()
	r.deliverUsage()
}

// encodeUsage returns counts in their wire form.
func encodeUsage(services map[string]aggregator.Counts) []*wire.ServiceUsage {
	ms := make([]*wire.ServiceUsage, 0, len(services))
	for s, c := range services {
		ms = append(ms, &wire.ServiceUsage{
			Service: s, Offered: encodeLevels(c.Offered), Admitted: encodeLevels(c.Admitted), Rejected: encodeLevels(c.Rejected),
			Sends: uint32(c.Sends), Refused: uint32(c.Refused), Ended: uint32(c.Ended), Unserved: uint32(c.Unserved),
			Kept: uint32(c.Kept), Budget: uint32(c.Budget),
		})
	}
	return ms
}

// decodeUsage is the inverse of encodeUsage.
func decodeUsage(ms []*wire.ServiceUsage) map[string]aggregator.Counts {
	by := make(map[string]aggregator.Counts, len(ms))
	for _, m := range ms {
		by[m.GetService()] = aggregator.Counts{
			Offered: decodeLevels(m.GetOffered()), Admitted: decodeLevels(m.GetAdmitted()), Rejected: decodeLevels(m.GetRejected()),
			Sends: int64(m.GetSends()), Refused: int64(m.GetRefused()), Ended: int64(m.GetEnded()), Unserved: int64(m.GetUnserved()),
			Kept: int64(m.GetKept()), Budget: int64(m.GetBudget()),
		}
	}
	return by
}

// encodeLevels leaves out the last levels without events.
func encodeLevels(ns [aggregator.Levels]int64) []uint32 {
	var ms []uint32
	for l, n := range ns {
		if n <= 0 {
			continue
		}
		for len(ms) < l {
			ms = append(ms, 0)
		}
		ms = append(ms, uint32(n))
	}
	return ms
}

// decodeLevels adds the counts of levels that this daemon does not tell apart to its last one.
func decodeLevels(ms []uint32) (ns [aggregator.Levels]int64) {
	for l, n := range ms {
		ns[aggregator.Level(l)] += int64(n)
	}
	return ns
}
