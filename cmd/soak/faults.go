package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// fault is a kind of fault that the soak can inject.
type fault struct {
	name string
	// suspendsTimeBounds means that the time bounds are suspended while the fault is active and for settleTime afterwards.
	suspendsTimeBounds bool
	// start starts the fault. It returns a function that ends it, and a description of what the fault affects.
	start func(f *fleet, r *rand.Rand) (end func(), what string)
}

const (
	// settleTime is how long the time bounds stay suspended after the end of a fault.
	settleTime = 3 * time.Second
	// maxFaultDuration is the upper bound on the duration of a fault.
	maxFaultDuration = 5 * time.Second
	// maxCopyAge is the upper bound of the age of the copy from which the store is restored, and maxRepublishDelay that of the
	// time until the operator writes the configuration again.
	maxCopyAge        = 8 * time.Second
	maxRepublishDelay = 300 * time.Millisecond
	// maxUnusedRoutes is the upper bound of the number of routes that no caller uses.
	maxUnusedRoutes = 3000
	// maxConcurrentFaults and maxConcurrentStarts are the maximum numbers of faults, and of starts of servers beside them, that are
	// active at the same time.
	maxConcurrentFaults = 3
	maxConcurrentStarts = 3
)

func noop() {}

// faults are all kinds of faults. A seed selects them by their index, so their order matters.
var faults = []fault{
	{"kill", true, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.randomDaemon(r)
		d.signal(syscall.SIGKILL)
		return func() { _ = d.start() }, d.callerAddress()
	}},
	{"kill all", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		for _, d := range f.daemons {
			d.signal(syscall.SIGKILL)
		}
		return f.startAll, "all daemons"
	}},
	{"planned stop", false, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.randomDaemon(r)
		ended := d.signal(syscall.SIGTERM)
		return func() {
			<-ended
			_ = d.start()
		}, d.callerAddress()
	}},
	{"pause", true, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.randomDaemon(r)
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }, d.callerAddress()
	}},
	{"hangup", false, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.randomDaemon(r)
		d.signal(syscall.SIGHUP)
		return noop, d.callerAddress()
	}},
	{"store busy", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.store.SetInterceptor(emulator.Unavailable)
		return func() { f.store.SetInterceptor(nil) }, "store"
	}},
	{"store silent", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.store.SetInterceptor(emulator.Unresponsive)
		return func() { f.store.SetInterceptor(nil) }, "store"
	}},
	{"store slow", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.store.SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(400 * time.Millisecond)
			return false
		})
		return func() { f.store.SetInterceptor(nil) }, "store"
	}},
	{"store drops old records", false, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.store.DiscardRecords(topicConfiguration)
		f.store.DiscardRecords(topicRegistry)
		return noop, "store"
	}},
	{"store restored from a copy", true, func(f *fleet, r *rand.Rand) (func(), string) {
		age, late := time.Duration(r.Int64N(int64(maxCopyAge))), time.Duration(r.Int64N(int64(maxRepublishDelay)))
		f.store.SetInterceptor(emulator.Unavailable)
		return func() {
			f.store.Restore(age)
			f.store.SetInterceptor(nil)
			time.Sleep(late)
			f.republishConfiguration()
			f.removeEndedEntries()
		}, fmt.Sprintf("copy %v old", age.Round(time.Millisecond))
	}},
	{"store rejects some calls", false, func(f *fleet, r *rand.Rand) (func(), string) {
		var mu sync.Mutex // It guards r.
		share := r.Float64() / 3
		f.store.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
			mu.Lock()
			rejects := r.Float64() < share
			mu.Unlock()
			if rejects {
				w.WriteHeader(http.StatusTooManyRequests)
			}
			return rejects
		})
		return func() { f.store.SetInterceptor(nil) }, fmt.Sprintf("%.2f of them", share)
	}},
	{"daemon's link to the store impaired", true, func(f *fleet, r *rand.Rand) (func(), string) {
		p := f.randomDaemon(r).storeProxy
		ts := []impairment{{dropUp: true}, {dropDown: true}, {dropUp: true, dropDown: true}, {refuse: true}, {delay: 300 * time.Millisecond}}
		t := ts[r.IntN(len(ts))]
		p.setImpairment(t)
		if t.refuse {
			p.resetConnections()
		}
		return func() { p.setImpairment(impairment{}) }, fmt.Sprintf("%s %+v", p.listener.Addr(), t)
	}},
	{"store connections silent", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		for _, d := range f.daemons {
			d.storeProxy.silenceConnections()
		}
		return noop, "all daemons"
	}},
	{"server link impaired", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		ts := []impairment{{dropUp: true}, {dropDown: true}, {refuse: true}, {delay: 200 * time.Millisecond}}
		t := ts[r.IntN(len(ts))]
		s.proxy.setImpairment(t)
		return func() { s.proxy.setImpairment(impairment{}) }, fmt.Sprintf("%s %+v", s.ID, t)
	}},
	{"server connections reset", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.proxy.resetConnections()
		return noop, s.ID
	}},
	{"server connections silent", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.proxy.silenceConnections()
		return noop, s.ID
	}},
	{"server degraded", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.mu.Lock()
		s.failShare, s.shedShare, s.hangShare, s.cutShare = r.Float64()/3, r.Float64()/3, r.Float64()/6, r.Float64()/6
		s.extraDelay = time.Duration(r.Int64N(int64(500 * time.Millisecond)))
		what := fmt.Sprintf("%s fail %.2f shed %.2f hang %.2f cut %.2f slow %v", s.ID, s.failShare, s.shedShare, s.hangShare, s.cutShare, s.extraDelay)
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.failShare, s.shedShare, s.hangShare, s.cutShare, s.extraDelay = 0, 0, 0, 0, 0
		}, what
	}},
	{"server leaves", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		state := "draining"
		if f.leaves.Add(1)%2 == 0 {
			state = stateRemoved
		}
		f.setState(s, state)
		f.checker.recordLeaving(s.name, time.Now())
		return func() {
			f.checker.recordLeaving(s.name, time.Time{})
			f.setState(s, "ready")
		}, s.ID + " " + state
	}},
	{"server states a limit", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s, limit := f.randomServer(r), 0.5+10*r.Float64()
		s.SetLimit(limit)
		f.checker.recordLimit(s.name, limit, time.Now())
		return func() {
			time.Sleep(limitSettleTime + limitWindow)
			f.checker.recordLimit(s.name, 0, time.Now())
			s.SetLimit(0)
		}, fmt.Sprintf("%s %.1f/s", s.ID, limit)
	}},
	{"server states that it leaves", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.SetLeaving(true)
		return func() {
			f.startAgain(s, s.ID, s.service, r) // The statement holds for the incarnation.
		}, s.ID
	}},
	{"server asks for pauses", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		share := r.Float64()
		s.mu.Lock()
		s.pauseShare = share
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pauseShare = 0
		}, fmt.Sprintf("%s %.2f", s.ID, share)
	}},
	{"server sends no whole answers", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.mu.Lock()
		s.endlessShare, s.headCutShare, s.noStatusShare = r.Float64()/2, r.Float64()/2, r.Float64()/2
		s.resetShare, s.badFieldShare = r.Float64()/2, r.Float64()/2
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endlessShare, s.headCutShare, s.noStatusShare = 0, 0, 0
			s.resetShare, s.badFieldShare = 0, 0
		}, s.ID
	}},
	{"server sends refusals of no request", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.mu.Lock()
		s.strayShare = r.Float64()
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.strayShare = 0
		}, s.ID
	}},
	{"server has few slots", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s, n := f.randomServer(r), 1+r.IntN(2)
		setSlots := func(slots chan struct{}) {
			s.mu.Lock()
			s.slots = slots
			s.mu.Unlock()
			f.heartbeat(s)
		}
		setSlots(make(chan struct{}, n))
		return func() { setSlots(nil) }, fmt.Sprint(s.ID, " ", n)
	}},
	{"server keeps few connections", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s, n := f.randomServer(r), 1+r.IntN(len(f.daemons))
		share := r.Float64()
		s.proxy.setMaxConns(n)
		s.mu.Lock()
		s.closeShare = share
		s.mu.Unlock()
		return func() {
			s.proxy.setMaxConns(0)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.closeShare = usualCloseShare
		}, fmt.Sprintf("%s %d, closes %.2f", s.ID, n, share)
	}},
	{"limits changed", false, func(f *fleet, r *rand.Rand) (func(), string) {
		f.mu.Lock()
		f.maxHeader, f.idleTimeout = raisedHeader, 10+r.IntN(10)
		f.mu.Unlock()
		f.publishConfiguration()
		f.headerRaised.CompareAndSwap(0, time.Now().UnixNano())
		return noop, "headers raised"
	}},
	{"new configurations", false, func(f *fleet, r *rand.Rand) (func(), string) {
		n := 1 + r.IntN(5)
		for range n {
			f.publishConfiguration()
		}
		return noop, fmt.Sprint(n)
	}},
	{"many routes", false, func(f *fleet, r *rand.Rand) (func(), string) {
		n := r.IntN(maxUnusedRoutes)
		f.mu.Lock()
		f.unusedRoutes = n
		f.mu.Unlock()
		f.publishConfiguration()
		return noop, fmt.Sprint(n)
	}},
	{"odd registration", false, func(f *fleet, r *rand.Rand) (func(), string) {
		entry := oddEntries[r.IntN(len(oddEntries))]
		id := fmt.Sprint("odd-", f.oddEntries.Add(1))
		f.store.Put(topicRegistry, id, []byte(entry))
		return func() { f.store.Put(topicRegistry, id, nil) }, entry[:min(len(entry), 60)]
	}},
	{"server repeats answers", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		s.mu.Lock()
		s.copyShare, s.refusalCopyShare, s.shedShare = 1, r.Float64(), r.Float64()/2
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.copyShare, s.refusalCopyShare, s.shedShare = 0, 0, 0
		}, s.ID
	}},
	{"key withdrawn", false, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.mu.Lock()
		f.keys["leaving"] = []string{}
		f.mu.Unlock()
		f.publishConfiguration()
		f.checker.recordWithdrawal("leaving", time.Now())
		return noop, "leaving"
	}},
}

// outages are the faults that use up the budget of retries and let it be earned again.
var outages = []fault{
	{"most servers degraded", false, func(f *fleet, r *rand.Rand) (func(), string) {
		set := func(fail, shed, cut float64) {
			for i, s := range f.runningServers() {
				if i%8 == 0 {
					continue
				}
				s.mu.Lock()
				s.failShare, s.shedShare, s.cutShare = fail, shed, cut
				s.mu.Unlock()
			}
		}
		fail, shed, cut := 0.4+r.Float64()/3, r.Float64()/6, r.Float64()/10
		set(fail, shed, cut)
		return func() { set(0, 0, 0) }, fmt.Sprintf("fail %.2f shed %.2f cut %.2f", fail, shed, cut)
	}},
	{"kill most", true, func(f *fleet, r *rand.Rand) (func(), string) {
		n := len(f.daemons)/2 + r.IntN(len(f.daemons)/2)
		for _, i := range r.Perm(len(f.daemons))[:n] {
			f.daemons[i].signal(syscall.SIGKILL)
		}
		return f.startAll, fmt.Sprint(n, " daemons")
	}},
}

// strangerAddress is the address of a server that is no backend server.
const strangerAddress = "127.0.6.251:9100"

// oddEntries are entries of the registry that name no server to use.
var oddEntries = []string{
	`{"Address":"` + strangerAddress + `","ServerInfo":{"Service":"ledger","Zone":"a","Slots":4},"Status":{"State":"ready","SequenceNumber":1}}`,
	"", "\xff\xfe", "null", "[]", `{"Address":1}`, strings.Repeat("[", 100_000),
	`{"Address":"127.0.0.1:70000","ServerInfo":{"Service":"ledger","Zone":"a","Slots":4},"Status":{"State":"ready","SequenceNumber":1}}`,
	`{"Address":"127.0.0.1:0","ServerInfo":{"Service":"ledger","Zone":"a","Slots":4},"Status":{"State":"ready","SequenceNumber":1}}`,
	`{"Address":"127.0.0.1:9","ServerInfo":{"Service":"ledger","Zone":"a","Slots":1e400},"Status":{"State":"ready","SequenceNumber":1}}`,
	`{"Address":"127.0.0.1:9","ServerInfo":{"Service":"` + strings.Repeat("x", 1<<20) + `","Zone":"a","Slots":4},"Status":{"State":"ready","SequenceNumber":1}}`,
}

func (f *fleet) randomDaemon(r *rand.Rand) *daemon { return f.daemons[r.IntN(len(f.daemons))] }

// runningServers returns the running backend servers.
func (f *fleet) runningServers() []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

func (f *fleet) randomServer(r *rand.Rand) *server {
	ss := f.runningServers()
	return ss[r.IntN(len(ss))]
}

// startAll starts the daemons that are not running.
func (f *fleet) startAll() {
	for _, d := range f.daemons {
		_ = d.start() // A daemon that can't start is reported as not ready at the end of the run.
	}
}

// timeBoundsSuspended reports whether a fault that suspends time bounds is active or was active within the last
// settleTime.
func (f *fleet) timeBoundsSuspended() bool {
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	return time.Since(f.checker.lastDisturbance) < settleTime
}

// suspendTimeBounds repeatedly records that a fault that suspends time bounds is active, until the context ends.
func (f *fleet) suspendTimeBounds(ctx context.Context) {
	for ctx.Err() == nil {
		f.checker.recordDisturbance(time.Now())
		time.Sleep(callerPause)
	}
}

// inject injects random faults, some of them at once, until the context ends, and returns when all of them have ended. Faults that suspend
// time bounds start only in the first 8 s of each cycle of 15 s, so that the time bounds are checked in the rest of it.
func (f *fleet) inject(ctx context.Context, r *rand.Rand, faults []fault, atOnce int, log func(string)) {
	slots := make(chan struct{}, atOnce)
	start := time.Now()
	for ctx.Err() == nil {
		x := faults[r.IntN(len(faults))]
		duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
		pause := time.Duration(r.Int64N(int64(2 * time.Second)))
		seed := r.Uint64()
		if x.suspendsTimeBounds && time.Since(start)%(15*time.Second) > 8*time.Second {
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			faultCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			if x.suspendsTimeBounds {
				f.checker.recordDisturbance(time.Now())
				go f.suspendTimeBounds(faultCtx)
			}
			end, what := x.start(f, rand.New(rand.NewPCG(seed, 3)))
			log(fmt.Sprintf("%s: %s for %v", x.name, what, duration.Round(time.Millisecond)))
			time.Sleep(duration)
			end()
		}()
		time.Sleep(pause)
	}
	for range atOnce {
		slots <- struct{}{}
	}
}
