package main

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the checks of drained failure domains and of servers that warm up. A daemon sends nothing to a drained domain from
// drainedBound after the store accepted that. From warmupSettleTime after a server said that it warms up, it gets at most
// warmupRate * warmupMargin + warmupSlack requests in any warmupWindow.
const (
	drainedBound     = 2500 * time.Millisecond
	warmupSettleTime = 2 * time.Second
	warmupWindow     = time.Second
	warmupRate       = 4
	warmupMargin     = 1.5
	warmupSlack      = 8
)

// drainsAndWarmups are injected beside the faults, which a seed goes on to select as before.
var drainsAndWarmups = []fault{
	{"failure domain drained", false, (*fleet).drainDomain},
	{"server warms up", false, (*fleet).warmUp},
}

// drainKey is the key of the operator's record that drains a failure domain.
func drainKey(domain string) string { return "evacuate/" + domain }

// setDrained drains a failure domain, or takes it back.
func (f *fleet) setDrained(domain string, drained bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if drained {
		f.drained[domain] = true
	} else {
		delete(f.drained, domain)
	}
	f.putDrain(domain)
}

// putDrain writes to the store whether a failure domain is drained. f.mu must be held.
func (f *fleet) putDrain(domain string) {
	if f.drained[domain] {
		f.store.Put(topicConfiguration, drainKey(domain), []byte("{}"))
		f.checker.recordDrained(domain, time.Now())
		return
	}
	f.checker.recordDrained(domain, time.Time{})
	f.store.Put(topicConfiguration, drainKey(domain), nil)
}

// drainDomain drains a random failure domain for long enough for the check.
func (f *fleet) drainDomain(r *rand.Rand) (end func(), what string) {
	domain := failureDomains[r.IntN(len(failureDomains))]
	f.setDrained(domain, true)
	return func() {
		time.Sleep(2 * drainedBound)
		f.setDrained(domain, false)
	}, domain
}

// warmUp lets a random server say in its heartbeats that it warms up.
func (f *fleet) warmUp(r *rand.Rand) (end func(), what string) {
	s := f.randomServer(r)
	s.mu.Lock()
	s.warmAt = time.Now().Add(warmupSettleTime + maxFaultDuration + heartbeatInterval)
	s.mu.Unlock()
	f.heartbeat(s)
	f.checker.recordWarmup(s.name, time.Now())
	return func() {
		time.Sleep(warmupSettleTime)
		f.checker.recordWarmup(s.name, time.Time{})
		s.mu.Lock()
		s.warmAt = time.Time{}
		s.mu.Unlock()
		f.heartbeat(s)
	}, s.ID
}

// drainedDomains holds the failure domains that are drained, and since when.
type drainedDomains map[string]time.Time

// recordDrained records that the store accepted that a failure domain is drained, or with the zero time that it ends.
func (c *checker) recordDrained(domain string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drained, domain)
	if !at.IsZero() {
		c.drained[domain] = at
	}
}

// recordDomainArrival checks that a request may arrive at a backend server of a failure domain.
func (c *checker) recordDomainArrival(domain, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok := c.drained[domain]
	if d := at.Sub(since); ok && d > drainedBound && at.Sub(c.lastDisturbance) >= settleTime {
		c.addViolation(guaranteeDrained, "%s reached failure domain %s, %v after that was drained", id, domain, d)
	}
}

// warmingServer is a backend server that says that it warms up.
type warmingServer struct {
	since    time.Time
	arrivals []time.Time
}

// recordWarmup records that a backend server says from now on that it warms up, or with the zero time that it ends.
func (c *checker) recordWarmup(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.warming, server)
	if !at.IsZero() {
		c.warming[server] = &warmingServer{since: at}
	}
}

// countWarmupArrival counts the arrival of a request at a backend server that may warm up. c.mu must be held.
func (c *checker) countWarmupArrival(server string, at time.Time) {
	w := c.warming[server]
	if w == nil || at.Sub(w.since) < warmupSettleTime || at.Sub(c.lastDisturbance) < settleTime {
		return
	}
	w.arrivals = append(w.arrivals, at)
	for at.Sub(w.arrivals[0]) >= warmupWindow {
		w.arrivals = w.arrivals[1:]
	}
	if n, most := len(w.arrivals), warmupRate*warmupMargin+warmupSlack; float64(n) > most {
		c.addViolation(guaranteeWarmup, "%s, which takes %d/s while it warms up, got %d requests in %v; at most %.0f are allowed", server, warmupRate, n, warmupWindow, most)
	}
}

// warmupResources returns the resources of the configuration that set the warm-up rate of the services.
func warmupResources() []any {
	var rs []any
	for _, s := range []string{serviceLedger, serviceArchive, serviceVault} {
		rs = append(rs, map[string]any{"ResourceKind": "Services", "Metadata": map[string]string{"Name": s}, "Specification": map[string]any{
			"HealthPath": "/health", "MaxConnections": 1000, "WarmupS": slowStart.Seconds(), "WarmupPerS": warmupRate,
		}})
	}
	return rs
}

// putDrains writes again to the store which failure domains are drained. f.mu must be held.
func (f *fleet) putDrains() {
	for _, d := range slices.Sorted(maps.Keys(f.drained)) {
		f.store.Put(topicConfiguration, drainKey(d), []byte("{}"))
	}
	for _, d := range failureDomains {
		if !f.drained[d] {
			f.store.Put(topicConfiguration, drainKey(d), nil)
		}
	}
}
