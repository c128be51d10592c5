package main

import (
	"cmp"
	"slices"
	"time"
)

// Figures of the quota case: those of the pages' example of a tenant, and of the site chembu-gateway.
const (
	quotaRate      = 43.0
	quotaBurst     = 43.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	// hotFactor is how many times its usual rate the hot tenant sends; its usual rate is its limit divided by 1.6.
	hotFactor = 7.5
)

func init() { cases["quota"] = playQuota }

// playQuota restarts each machine twice, the second time 2.5 s after a tenant began to send many times its usual.
func playQuota(root string, rec *record, trouble bool) (bool, error) {
	return withHotTenant(root, rec, func(f *fleet, l *load) {
		const usual = quotaRate / 1.6
		for _, m := range f.machines {
			// The first restart is under the usual load, the second one while the tenant sends many times its usual.
			if trouble {
				go f.restart(m)
			}
			l.run(usual, 12*time.Second)
			rec.printf("tenant: sends %v times its usual", hotFactor)
			l.run(hotFactor*usual, 2500*time.Millisecond)
			if trouble {
				go f.restart(m)
			}
			l.run(hotFactor*usual, 3500*time.Millisecond)
			rec.printf("tenant: sends its usual")
			l.run(usual, 6*time.Second)
		}
	})
}

// withHotTenant plays a case with a small deployment and one tenant, and checks QUOTA.
func withHotTenant(root string, rec *record, play func(*fleet, *load)) (bool, error) {
	d, err := newDeployment(root, rec, 3, 8, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.fleet.publish(
		route("lookup", "safe", 5),
		resource("Tenants", "hot", map[string]any{"ApiKeys": []string{"key-of-hot"}, "Priority": 1, "RatePerS": quotaRate, "Burst": quotaBurst}),
	)
	if err := d.start(); err != nil {
		return false, err
	}
	l := d.newLoad(func() request {
		return request{method: "GET", path: "/lookup/x", key: "key-of-hot", limit: 5 * time.Second}
	})
	l.run(quotaRate/1.6, 6*time.Second)
	play(d.fleet, l)
	time.Sleep(time.Second)
	return checkQuota(rec, l.sentSoFar(), d.instances), nil
}

// checkQuota checks QUOTA: in no window of QuotaWindowS more requests of the tenant are both sent and arrive at an instance
// that runs them than (rate x window + burst) x (1 + QuotaOvershoot) + QuotaSlack.
func checkQuota(rec *record, out []sent, instances []*instance) bool {
	sentAt := map[string]time.Time{}
	for _, s := range out {
		sentAt[s.id] = s.at
	}
	type pair struct{ sent, arrived time.Time }
	var ran []pair
	for _, i := range instances {
		for _, a := range i.arrivals() {
			if at, ok := sentAt[a.id]; ok && a.ran {
				ran = append(ran, pair{at, a.at})
			}
		}
	}
	slices.SortFunc(ran, func(a, b pair) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	most, mostAt := 0, time.Time{}
	for k, first := range ran {
		n := 0
		for _, p := range ran[k:] {
			if p.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if p.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.sent
		}
	}
	rec.verdict("QUOTA: %d requests sent, %d run; at most %d in %v (from %s s on), allowed are %.1f", len(out), len(ran), most, quotaWindow, rec.since(mostAt), allowed)
	return float64(most) > allowed
}
