package runner

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/picker"
	"github.com/jacinthproxy/jacinthproxy/internal/receiver"
	"github.com/jacinthproxy/jacinthproxy/internal/relayer"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Fleet is what those outside ask about the fleet.
type Fleet interface {
	// Ready reports whether this VM serves callers.
	Ready() bool
	// Addresses returns callers' addresses for a caller in a failure domain, and how long they may be kept.
	Addresses(domain string) ([]netip.AddrPort, time.Duration)
}

// Options are what a Runner needs.
type Options struct {
	Settings Settings
	Source   relayer.Source
	Dialect  receiver.Dialect
	// Entry makes the handler of the calls for addresses and readiness.
	Entry  func(Fleet) http.Handler
	Clock  clockwork.Clock
	Logger *zap.Logger
}

// Runner is one daemon.
type Runner struct {
	Options
	tracker   *tracker.Tracker
	picker    *picker.Picker
	relayer   *relayer.Relayer
	messenger *messenger.Messenger
	forwarder *forwarder.Forwarder
	frontend  *frontend
	metrics   *metrics
	servers   []*http.Server
	listeners []net.Listener
}

// New returns a daemon; Run starts it.
func New(o Options) (*Runner, error) {
	s := o.Settings
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	r := &Runner{Options: o, tracker: tracker.New(o.Clock, o.Logger), metrics: m}
	r.picker = picker.New(picker.Options{
		Domain: s.Domain, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Clock: o.Clock,
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, RetryWindow: s.Bounds.RetryWindow, VMs: func() int { return len(r.tracker.Members()) },
	})
	r.tracker.OnInstances(func() { r.picker.SetInstances(r.tracker.Usable()) })
	self := placer.VM{
		Address: s.Peers, CallerAddress: s.Callers, Domain: s.Domain, Incarnation: placer.NewIncarnation(o.Clock.Now()),
	}
	r.relayer = relayer.New(relayer.Options{
		Self: self, Capacity: s.Capacity(), LinkSpeed: s.Link, RateWindow: s.Bounds.RateWindow, Tracker: r.tracker, Source: o.Source, Hearer: r.picker, Clock: o.Clock, Logger: o.Logger,
	})
	r.picker.SetReporter(r.relayer)
	r.messenger = messenger.New(messenger.Options{
		Self: self, Dial: messenger.DialFrom(s.Peers.Addr()), Handler: r.relayer, Logger: o.Logger, Clock: o.Clock,
	})
	r.relayer.SetMessenger(r.messenger)
	r.forwarder = forwarder.New(o.Dialect.Headers, int(idleShare*float64(s.Descriptors)), o.Clock)
	return r, errors.CombineErrors(m.observe(r.gauges()), r.listen())
}

// listen opens the daemon's addresses.
func (r *Runner) listen() error {
	s := r.Settings
	front, err := net.Listen("tcp", s.Callers.String())
	if err != nil {
		return errors.Wrap(err, "callers' address")
	}
	handler := receiver.New(receiver.Options{
		Dialect: r.Dialect, Believer: r.tracker, Admitter: r.relayer, Picker: r.picker, Sender: r.forwarder, Observer: r.metrics,
		KeyAge: s.Bounds.KeyAge, Started: r.Clock.Now(), Leaving: r.leaving, Clock: r.Clock, Logger: r.Logger,
	})
	r.frontend = newFrontend(front, handler, r.limits)
	peers, err := net.Listen("tcp", s.Peers.String())
	if err != nil {
		return errors.Wrap(err, "peers' address")
	}
	r.listeners = append(r.listeners, peers)
	go func() { _ = r.messenger.Serve(context.Background(), peers) }() // It ends with the listener.
	for a, h := range map[netip.AddrPort]http.Handler{s.Readiness: r.Entry(r), s.Directory: r.Entry(r), s.Operators: r.operators()} {
		if err := r.serve(a, h); err != nil {
			return err
		}
	}
	return nil
}

// entryIdle is how long connections of those who ask for addresses or readiness are kept.
const entryIdle = 10 * time.Second

func (r *Runner) serve(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.Wrapf(err, "address %s", a)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: entryIdle, IdleTimeout: entryIdle, ErrorLog: log.New(io.Discard, "", 0)}
	r.servers = append(r.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.Logger.Error("listener ended", zap.Stringer("address", a), logger.Cause(err))
		}
	}()
	return nil
}

func (r *Runner) limits() router.Limits {
	if t, _ := r.tracker.Table(); t != nil {
		return t.Limits
	}
	return router.DefaultLimits()
}

func (r *Runner) leaving() bool { return r.relayer.Role() == tracker.RoleLeaving }

// Ready implements Fleet.
func (r *Runner) Ready() bool { return r.relayer.Role() == tracker.RoleReady }

// Addresses implements Fleet.
func (r *Runner) Addresses(domain string) ([]netip.AddrPort, time.Duration) {
	var near, far []netip.AddrPort
	for _, m := range r.tracker.Members() {
		if m.Role != tracker.RoleReady || r.relayer.Suspected(m.Address) {
			continue
		}
		if m.Domain == domain {
			near = append(near, m.CallerAddress)
		} else {
			far = append(far, m.CallerAddress)
		}
	}
	shuffle := func(as []netip.AddrPort) { rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] }) }
	shuffle(near)
	if len(near) < leastAddresses {
		shuffle(far)
		near = append(near, far...)
	}
	return near[:min(len(near), maxAddresses)], min(addressLife, r.Settings.Bounds.MaxAddressLife)
}

// Run serves until stop ends, and then for as long as it takes to end what runs.
func (r *Runner) Run(stop context.Context) error {
	r.Logger.Info("start", zap.String("vm", r.Settings.Name), zap.String("failureDomain", r.Settings.Domain),
		zap.Stringer("callers", r.Settings.Callers), zap.Stringer("peers", r.Settings.Peers), zap.Float64("capacity", r.Settings.Capacity()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g sync.WaitGroup
	g.Go(func() { r.relayer.Run(ctx) })
	g.Go(func() { r.housekeep(ctx) })
	failed := make(chan error, 1)
	go func() { failed <- r.frontend.Run() }()
	var err error
	select {
	case <-stop.Done():
		err = r.stop()
	case err = <-failed:
	}
	cancel()
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.messenger.Close()
	g.Wait()
	r.Logger.Info("stopped", logger.Cause(err))
	return err
}

// stop lets callers go elsewhere, and ends when all requests have ended or the time is up.
func (r *Runner) stop() error {
	began := r.Clock.Now()
	grace := r.Settings.Bounds.StopGrace
	r.Logger.Info("stopping", zap.Duration("grace", grace))
	r.relayer.SetRole(tracker.RoleLeaving)
	<-r.Clock.After(time.Duration(acceptShare * float64(grace)))
	left := time.Duration(finishShare*float64(grace)) - r.Clock.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	return errors.Wrap(r.frontend.Stop(ctx), "requests cut by the stop")
}

// housekeep becomes ready when enough is known, and looks after connections and the log.
func (r *Runner) housekeep(ctx context.Context) {
	sweep := r.Clock.NewTicker(sweepPeriod)
	defer sweep.Stop()
	summary := r.Clock.NewTicker(summaryPeriod)
	defer summary.Stop()
	look := r.Clock.NewTicker(readyPeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.Chan():
			r.lookReady()
		case <-sweep.Chan():
			r.forwarder.Keep(r.picker.Used)
			r.messenger.Retire(peerIdle)
		case <-summary.Chan():
			r.summarize()
		}
	}
}

const (
	// readyPeriod is how often a daemon that starts looks whether it knows enough.
	readyPeriod = 50 * time.Millisecond
	// peerIdle is how long a session to a peer is kept without use.
	peerIdle = 5 * time.Second
)

// lookReady makes a daemon ready that knows the configuration and the instances.
func (r *Runner) lookReady() {
	if r.relayer.Role() != tracker.RoleStarting {
		return
	}
	t, _ := r.tracker.Table()
	if t != nil && len(r.tracker.Usable()) > 0 {
		r.Logger.Info("ready", zap.Int64("version", t.Version), zap.Int("instances", len(r.tracker.Usable())))
		r.relayer.SetRole(tracker.RoleReady)
	}
}

// summarize logs what ended well since the last time.
func (r *Runner) summarize() {
	table, entries := r.tracker.Ages()
	opened, kept := r.forwarder.Stats()
	r.Logger.Info("summary", zap.String("requests", r.metrics.summaryText()), zap.Duration("configurationAge", table),
		zap.Duration("instancesAge", entries), zap.Int64("connectionsOpened", opened), zap.Int("connectionsKept", kept))
}
