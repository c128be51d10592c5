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
	"strconv"
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
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Fleet answers queries of callers and the platform about the fleet.
type Fleet interface {
	// Ready reports whether this VM serves callers.
	Ready() bool
	// Addresses returns the addresses of VMs that serve callers, for a caller in a failure domain, and how long
	// the caller may cache them.
	Addresses(domain string) ([]netip.AddrPort, time.Duration)
}

// Options are the settings and dependencies of a Runner.
type Options struct {
	Settings    Settings
	Source      relayer.Source
	HeaderNames receiver.HeaderNames
	// NewHandler returns the handler of the platform's calls for addresses and readiness.
	NewHandler func(Fleet) http.Handler
	// HedgeShare limits hedges to a share of a service's requests, over all VMs. If it is nil, only the retry budget does.
	HedgeShare *float64
	Clock      clockwork.Clock
	Logger     *zap.Logger
}

// Runner is a daemon.
type Runner struct {
	Options
	tracker *tracker.Tracker
	picker  *picker.Picker
	// hedges is nil unless hedges have a limit.
	hedges    *picker.Hedges
	relayer   *relayer.Relayer
	messenger *messenger.Messenger
	forwarder *forwarder.Forwarder
	receiver  *receiver.Receiver
	frontend  *frontend
	metrics   *metrics
	servers   []*http.Server
	listeners []net.Listener
}

// New returns a daemon that listens on its addresses; Run starts it. It also sets the garbage collection
// target and the soft memory limit of the process. After an error the addresses may still be open.
func New(o Options) (*Runner, error) {
	s := o.Settings
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory)))
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	r := &Runner{Options: o, tracker: tracker.New(o.Clock, o.Logger), metrics: m}
	r.picker = picker.New(picker.Options{
		Domain: s.Domain, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Clock: o.Clock,
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, RetryWindow: s.Bounds.RetryWindow, VMCount: func() int { return len(r.tracker.Members()) },
	})
	r.tracker.OnInstancesChange(func() { r.picker.SetInstances(r.tracker.UsableInstances()) })
	self := placer.VM{
		Address: s.Peers, CallerAddress: s.Callers, Domain: s.Domain, Incarnation: placer.NewIncarnation(o.Clock.Now()),
	}
	r.relayer = relayer.New(relayer.Options{
		Self: self, Capacity: s.Capacity(), LinkSpeed: s.Link, RateWindow: s.Bounds.RateWindow, DrainTimeout: s.Bounds.DrainTimeout,
		WarmupBound: limiter.WarmupBound{Overshoot: s.Bounds.WarmupOvershoot, Slack: s.Bounds.WarmupSlack}, Tracker: r.tracker, Source: o.Source, InstanceStats: r.picker, Clock: o.Clock, Logger: o.Logger,
	})
	r.picker.SetReporter(r.relayer)
	r.messenger = messenger.New(messenger.Options{
		Self: self, Dial: messenger.DialFrom(s.Peers.Addr()), Handler: r.relayer, Logger: o.Logger, Clock: o.Clock,
	})
	r.relayer.SetMessenger(r.messenger)
	r.forwarder = forwarder.New(o.HeaderNames.HeaderNames, int(idleConnFraction*float64(s.Descriptors)), int64(bodyMemoryFraction*float64(s.Memory)), o.Clock)
	return r, errors.CombineErrors(m.registerGauges(r.gauges()), r.listen())
}

// listen opens the daemon's addresses and serves peers, the Entry handler and operators.
func (r *Runner) listen() error {
	s := r.Settings
	callers, err := net.Listen("tcp", s.Callers.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	var hedger receiver.Hedger
	if r.HedgeShare != nil {
		r.hedges = r.picker.EnableHedges(*r.HedgeShare)
		hedger = r.hedges
	}
	r.receiver = receiver.New(receiver.Options{
		HeaderNames: r.HeaderNames, Tracker: r.tracker, Admitter: r.relayer, Limiter: r.relayer, Picker: r.picker, Sender: r.forwarder, Hedger: hedger, Observer: r.metrics,
		MaxKeyAge: s.Bounds.MaxKeyAge, DrainTimeout: s.Bounds.DrainTimeout, MaxBodyMemory: int64(bodyMemoryFraction * float64(s.Memory)), Started: r.Clock.Now(), Draining: r.draining, Clock: r.Clock, Logger: r.Logger,
	})
	r.frontend = newFrontend(callers, r.receiver, r.limits, r.Clock)
	peers, err := net.Listen("tcp", s.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	r.listeners = append(r.listeners, peers)
	go func() { _ = r.messenger.Serve(context.Background(), peers) }() // Serve returns when the listener is closed.
	for a, h := range map[netip.AddrPort]http.Handler{s.Readiness: r.NewHandler(r), s.Directory: r.NewHandler(r), s.Operators: r.operatorsHandler()} {
		if err := r.serve(a, h); err != nil {
			return err
		}
	}
	return nil
}

// entryTimeout is the idle and header timeout of the readiness, directory and operators' servers.
const entryTimeout = 10 * time.Second

func (r *Runner) serve(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", a)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: entryTimeout, IdleTimeout: entryTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	r.servers = append(r.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.Logger.Error("listener ended", zap.Stringer("address", a), logger.Err(err))
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

func (r *Runner) draining() bool { return r.relayer.Role() == tracker.RoleLeaving }

// Ready implements Fleet.
func (r *Runner) Ready() bool { return r.relayer.Role() == tracker.RoleReady }

// Addresses implements Fleet.
func (r *Runner) Addresses(domain string) ([]netip.AddrPort, time.Duration) {
	var local, remote []netip.AddrPort
	for _, m := range r.tracker.Members() {
		if m.Role != tracker.RoleReady || r.relayer.Suspected(m.Address) {
			continue
		}
		if m.Domain == domain {
			local = append(local, m.CallerAddress)
		} else {
			remote = append(remote, m.CallerAddress)
		}
	}
	shuffle := func(as []netip.AddrPort) { rand.Shuffle(len(as), func(i, j int) { as[i], as[j] = as[j], as[i] }) }
	shuffle(local)
	if len(local) < minLocalAddresses {
		shuffle(remote)
		local = append(local, remote...)
	}
	return local[:min(len(local), maxAddresses)], min(addressTTL, r.Settings.Bounds.MaxAddressTTL)
}

// Run serves callers until the context stop ends, then drains: requests in flight may finish within the grace
// period. It returns an error if accepting connections failed or requests were still in flight at the end of the drain.
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
	r.Logger.Info("stopped", logger.Err(err))
	return err
}

// stop drains the daemon: it leaves the lists of addresses, accepts connections until callers have noticed, and
// waits until all requests have finished or finishFraction of the grace period has passed. Once it accepts no connections,
// a request begins only if it ends before that.
func (r *Runner) stop() error {
	startedAt := r.Clock.Now()
	grace := r.Settings.Bounds.StopGracePeriod
	r.Logger.Info("stopping", zap.Duration("grace", grace))
	r.relayer.SetRole(tracker.RoleLeaving)
	<-r.Clock.After(time.Duration(acceptFraction * float64(grace)))
	finish := startedAt.Add(time.Duration(finishFraction * float64(grace)))
	r.receiver.Stop(finish.Add(-answerMargin))
	ctx, cancel := context.WithTimeout(context.Background(), finish.Sub(r.Clock.Now()))
	defer cancel()
	return errors.Wrap(r.frontend.Stop(ctx), "drain requests")
}

// housekeep makes the daemon ready once it can serve, sweeps idle connections and logs summaries until the
// context ends.
func (r *Runner) housekeep(ctx context.Context) {
	sweep := r.Clock.NewTicker(sweepInterval)
	defer sweep.Stop()
	summary := r.Clock.NewTicker(summaryInterval)
	defer summary.Stop()
	readyCheck := r.Clock.NewTicker(readyCheckInterval)
	defer readyCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-readyCheck.Chan():
			r.updateReadiness()
		case <-sweep.Chan():
			r.frontend.ApplyLimits()
			r.forwarder.CloseUnused(r.picker.HasAddress)
			r.messenger.CloseIdle(peerIdleTimeout)
		case <-summary.Chan():
			r.logSummary()
		}
	}
}

const (
	// readyCheckInterval is the time between checks of whether a starting daemon is ready.
	readyCheckInterval = 50 * time.Millisecond
	// peerIdleTimeout is how long an unused session to a peer is kept.
	peerIdleTimeout = 5 * time.Second
)

// updateReadiness marks a starting daemon as ready once it has a configuration and a usable instance, and knows its peers.
func (r *Runner) updateReadiness() {
	if r.relayer.Role() != tracker.RoleStarting {
		return
	}
	t, _ := r.tracker.Table()
	if t != nil && r.tracker.MembersKnown() && len(r.tracker.UsableInstances()) > 0 {
		r.Logger.Info("ready", zap.Int64("version", t.Version), zap.Int("instances", len(r.tracker.UsableInstances())))
		r.relayer.SetRole(tracker.RoleReady)
	}
}

// logSummary logs the number of requests since the start by reason, and the state of the daemon.
func (r *Runner) logSummary() {
	table, entries := r.tracker.Ages()
	opened, idle := r.forwarder.Stats()
	r.Logger.Info("summary", zap.String("requests", r.metrics.formatRequestCounts()),
		zap.String("hedges", formatCounts(r.receiver.HedgeCounts())), zap.Duration("configurationAge", table),
		zap.Duration("instancesAge", entries), zap.Int64("connectionsOpened", opened), zap.Int("connectionsKept", idle),
		zap.Int64("attemptLinesOmitted", r.receiver.OmittedLines()), zap.Int64("startLinesOmitted", r.tracker.OmittedLines()))
	for _, s := range r.picker.Summaries() {
		r.logService(s)
	}
}

// logService logs how full a service is and whom this VM refused of it.
func (r *Runner) logService(s picker.Summary) {
	number := func(name string, n float64) zap.Field { return zap.String(name, strconv.FormatFloat(n, 'f', 2, 64)) }
	r.Logger.Info("service short of room or retries", zap.String("service", s.Service), number("use", s.Use),
		number("refusedShare", s.RefusedShare), number("unservedShare", s.UnservedShare), zap.String("offered", s.Offered),
		zap.String("letIn", s.LetIn), zap.String("noRoom", s.NoRoom), zap.String("noRetry", s.NoRetry), zap.String("accounts", s.Accounts),
		number("retriesLeft", s.Retries))
}
