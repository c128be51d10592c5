package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// fault is one kind of trouble.
type fault struct {
	name string
	// disturbs says that it excuses bounds of time while it is on and a while after.
	disturbs bool
	// begin starts it and returns what ends it.
	begin func(f *fleet, r *rand.Rand) (end func(), what string)
}

const (
	// settleTime is how long after a fault it still excuses bounds of time.
	settleTime = 3 * time.Second
	// longestFault bounds how long a fault is on.
	longestFault = 5 * time.Second
	// mostAtOnce bounds the faults that overlap.
	mostAtOnce = 3
)

func nothing() {}

// faults are all kinds of trouble; a seed draws from them in order.
var faults = []fault{
	{"kill", true, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.anyDaemon(r)
		d.signal(syscall.SIGKILL)
		return func() { _ = d.start() }, d.callers()
	}},
	{"kill all", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		for _, d := range f.daemons {
			d.signal(syscall.SIGKILL)
		}
		return f.startAll, "all daemons"
	}},
	{"planned stop", false, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.anyDaemon(r)
		ended := d.signal(syscall.SIGTERM)
		return func() {
			<-ended
			_ = d.start()
		}, d.callers()
	}},
	{"pause", true, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.anyDaemon(r)
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }, d.callers()
	}},
	{"hangup", false, func(f *fleet, r *rand.Rand) (func(), string) {
		d := f.anyDaemon(r)
		d.signal(syscall.SIGHUP)
		return nothing, d.callers()
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
	{"store forgets", false, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.store.DiscardRecords(topicConfiguration)
		f.store.DiscardRecords(topicRegistry)
		return nothing, "store"
	}},
	{"daemon cut from the store", true, func(f *fleet, r *rand.Rand) (func(), string) {
		p := f.anyDaemon(r).storeBy
		ts := []trouble{{dropUp: true}, {dropDown: true}, {dropUp: true, dropDown: true}, {refuse: true}, {delay: 300 * time.Millisecond}}
		t := ts[r.IntN(len(ts))]
		p.set(t)
		if t.refuse {
			p.reset()
		}
		return func() { p.set(trouble{}) }, fmt.Sprintf("%s %+v", p.listener.Addr(), t)
	}},
	{"store connections silent", true, func(f *fleet, _ *rand.Rand) (func(), string) {
		for _, d := range f.daemons {
			d.storeBy.silence()
		}
		return nothing, "all daemons"
	}},
	{"server cut", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.anyServer(r)
		ts := []trouble{{dropUp: true}, {dropDown: true}, {refuse: true}, {delay: 200 * time.Millisecond}}
		t := ts[r.IntN(len(ts))]
		s.proxy.set(t)
		return func() { s.proxy.set(trouble{}) }, fmt.Sprintf("%s %+v", s.ID, t)
	}},
	{"server connections reset", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.anyServer(r)
		s.proxy.reset()
		return nothing, s.ID
	}},
	{"server connections silent", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.anyServer(r)
		s.proxy.silence()
		return nothing, s.ID
	}},
	{"server sick", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.anyServer(r)
		s.mu.Lock()
		s.fail, s.shed, s.hang, s.cutting = r.Float64()/3, r.Float64()/3, r.Float64()/6, r.Float64()/6
		s.slow = time.Duration(r.Int64N(int64(500 * time.Millisecond)))
		what := fmt.Sprintf("%s fail %.2f shed %.2f hang %.2f cut %.2f slow %v", s.ID, s.fail, s.shed, s.hang, s.cutting, s.slow)
		s.mu.Unlock()
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.fail, s.shed, s.hang, s.cutting, s.slow = 0, 0, 0, 0, 0
		}, what
	}},
	{"server leaves", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.anyServer(r)
		f.setState(s, "draining")
		f.checker.leaves(s.ID, time.Now())
		return func() {
			f.checker.leaves(s.ID, time.Time{})
			f.setState(s, "ready")
		}, s.ID
	}},
	{"configurations", false, func(f *fleet, r *rand.Rand) (func(), string) {
		n := 1 + r.IntN(5)
		for range n {
			f.configure()
		}
		return nothing, fmt.Sprint(n)
	}},
	{"key withdrawn", false, func(f *fleet, _ *rand.Rand) (func(), string) {
		f.mu.Lock()
		f.keys["leaving"] = []string{}
		f.mu.Unlock()
		f.configure()
		f.checker.withdraw("leaving", time.Now())
		return nothing, "leaving"
	}},
}

func (f *fleet) anyDaemon(r *rand.Rand) *daemon { return f.daemons[r.IntN(len(f.daemons))] }
func (f *fleet) anyServer(r *rand.Rand) *server { return f.servers[r.IntN(len(f.servers))] }

func (f *fleet) startAll() {
	for _, d := range f.daemons {
		_ = d.start() // One that cannot start is found at the end.
	}
}

// disturbed reports whether a fault is on, or was on just now, that excuses bounds of time.
func (f *fleet) disturbed() bool {
	f.checker.mu.Lock()
	defer f.checker.mu.Unlock()
	return time.Since(f.checker.troubled) < settleTime
}

// disturb keeps the checker informed while a fault is on that excuses bounds of time.
func (f *fleet) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		f.checker.trouble(time.Now())
		time.Sleep(callerPause)
	}
}

// inject draws faults until the context ends, and returns when all are over. What disturbs comes in the first two
// thirds of each cycle of 15 s, so that the bounds of time are checked, too.
func (f *fleet) inject(ctx context.Context, r *rand.Rand, say func(string)) {
	slots := make(chan struct{}, mostAtOnce)
	began := time.Now()
	for ctx.Err() == nil {
		x := faults[r.IntN(len(faults))]
		lasts := time.Duration(r.Int64N(int64(longestFault)))
		pause := time.Duration(r.Int64N(int64(2 * time.Second)))
		seed := r.Uint64()
		if x.disturbs && time.Since(began)%(15*time.Second) > 8*time.Second {
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			over, stop := context.WithCancel(context.WithoutCancel(ctx))
			defer stop()
			if x.disturbs {
				f.checker.trouble(time.Now())
				go f.disturb(over)
			}
			end, what := x.begin(f, rand.New(rand.NewPCG(seed, 3)))
			say(fmt.Sprintf("%s: %s for %v", x.name, what, lasts.Round(time.Millisecond)))
			time.Sleep(lasts)
			end()
		}()
		time.Sleep(pause)
	}
	for range mostAtOnce {
		slots <- struct{}{}
	}
}
