package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type options struct {
	Seed    uint64        `default:"1" help:"Seed of the faults."`
	Length  time.Duration `default:"30s" help:"How long faults are injected."`
	Daemons int           `default:"6" help:"How many daemons to run."`
	Servers int           `default:"8" help:"How many backend servers to play."`
	Callers int           `default:"12" help:"How many callers to play."`
	Binary  string        `default:"bin/jacinthproxy" type:"existingfile" help:"The program."`
	Outages bool          `help:"Inject only faults that let most servers fail or most daemons start again."`
	Timed   bool          `default:"true" negatable:"" help:"Check promises with a bound of time, too."`
	Work    string        `help:"Directory for settings and logs; a new one if empty."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("soak"), kong.Description("Injects random faults into daemons on loopback and checks the promises."))
	ok, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// run runs one soak and reports whether all guarantees held.
func run(o options) (bool, error) {
	if o.Work == "" {
		dir, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return false, errors.Wrap(err, "create the work directory")
		}
		o.Work = dir
	}
	start := time.Now()
	log := func(text string) { fmt.Printf("%7.2fs %s\n", time.Since(start).Seconds(), text) }
	log(fmt.Sprintf("seed %d, %d daemons, %d servers, %d callers, logs in %s", o.Seed, o.Daemons, o.Servers, o.Callers, o.Work))
	r := rand.New(rand.NewPCG(o.Seed, 7))
	c := newChecker(accounts)
	f, err := newFleet(c, o, r)
	if err != nil {
		return false, err
	}
	defer f.killDaemons()
	f.startAll()
	if !f.awaitReady(recoveryTimeout) {
		return false, errors.New("not all daemons became ready after the start")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var g sync.WaitGroup
	g.Go(func() { f.sendHeartbeats(ctx) })
	for i := range o.Callers {
		g.Go(func() { newCaller(f, i, o.Seed).run(ctx) })
	}
	for _, d := range f.daemons {
		g.Go(func() { f.watchConfiguration(ctx, d) })
	}
	injecting, cancel := context.WithTimeout(ctx, o.Length)
	injected := faults
	if o.Outages {
		injected = outages
	}
	var injectors sync.WaitGroup
	injectors.Go(func() { f.inject(injecting, r, injected, maxConcurrentFaults, log) })
	injectors.Go(func() {
		f.inject(injecting, rand.New(rand.NewPCG(o.Seed, 8)), serverStarts, maxConcurrentStarts, log)
	})
	injectors.Go(func() {
		f.inject(injecting, rand.New(rand.NewPCG(o.Seed, 9)), drainsAndWarmups, 1, log)
	})
	injectors.Wait()
	cancel()
	log("fault injection finished")
	f.startAll()
	f.awaitReady(recoveryTimeout)
	for _, d := range f.daemons {
		if !f.ready(d) {
			process, _ := d.currentProcess()
			c.recordNotReady(process)
		}
	}
	stop()
	g.Wait()
	time.Sleep(requestTimeout) // Requests that still run may reveal a refusal that wrongly reported them as not run.
	sent, ran := c.counts()
	found, repeats := c.report(o.Timed)
	log(fmt.Sprintf("%d requests sent, %d ran; repeats reached %.2f of what is allowed", sent, ran, repeats))
	for _, l := range found {
		log(l)
	}
	return len(found) == 0, nil
}

// sendHeartbeats writes the heartbeats of all servers periodically until the context ends.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range f.runningServers() {
			f.heartbeat(s)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// ready reports whether a daemon's readiness endpoint returns 200.
func (f *fleet) ready(d *daemon) bool {
	c := http.Client{Timeout: time.Second}
	rep, err := c.Get("http://" + d.ip() + ":8406/jacinthproxy/ready")
	if err != nil {
		return false
	}
	_ = rep.Body.Close()
	return rep.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready, and returns false if they are not within the timeout.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, d := range f.daemons {
			all = all && f.ready(d)
		}
		if all {
			return true
		}
	}
	return false
}

// killDaemons kills the daemons that the soak started and waits for their exit. A stopped process is resumed first.
func (f *fleet) killDaemons() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		<-d.signal(syscall.SIGKILL)
	}
}
