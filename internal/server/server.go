package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/caller"
	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/operator"
	"github.com/jacinthproxy/jacinthproxy/internal/watcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/gossiper"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

var errNoContact = errors.New("this VM is cut off from its fleet")

// Platform is what a daemon uses of the platform.
type Platform struct {
	Log    follower.Log
	Lister watcher.Lister
	// Traffic counts the bytes to and from the platform; it may be nil.
	Traffic *messenger.Traffic
}

// HTTPPlatform returns the platform's services as the settings name them.
func HTTPPlatform(s PlatformSettings) (Platform, error) {
	log, err := url.Parse(s.Log)
	if err != nil {
		return Platform{}, errors.Wrap(err, "platform.log")
	}
	machines, err := url.Parse(s.Machines)
	if err != nil {
		return Platform{}, errors.Wrap(err, "platform.machines")
	}
	d := &net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}
	t := &messenger.Traffic{}
	c := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.Wrap(conn), nil
		},
	}}
	return Platform{follower.NewHTTPLog(log, c), watcher.NewHTTPLister(machines, c), t}, nil
}

// Server is one daemon.
type Server struct {
	settings   Settings
	shards     []mapper.Shard
	self       placer.VM
	platform   Platform
	clock      clockwork.Clock
	logger     *zap.Logger
	asserter   *asserter.Asserter
	witness    *witness.Witness
	follower   *follower.Follower
	watcher    *watcher.Watcher
	gossiper   *gossiper.Gossiper
	messenger  *messenger.Messenger
	owner      *limiter.Owner
	recorder   *recorder.Recorder
	dispatcher *dispatcher.Dispatcher
	caller     *caller.Server
	metrics    *operator.Metrics
	rates      *rates
	sender     *sender
	events     *operator.Events
	fleet      fleet
	stopping   atomic.Bool
	// news wakes the heartbeats when something changed that the neighbours should hear of soon.
	news  chan struct{}
	tasks sync.WaitGroup
	certs certificates
}

type certificates struct {
	callers *certificate
}

// New returns a daemon that is ready to run. The report function is called for
// each violation of a guarantee, after it is logged.
func New(st Settings, p Platform, clock clockwork.Clock, logger *zap.Logger, report func(asserter.Violation)) (*Server, error) {
	s := &Server{
		settings: st, shards: mapper.Shards(st.Fleet.FailureDomains), platform: p, clock: clock, logger: logger,
		self: placer.VM{
			Address: st.Peers.Public(), CallerAddress: st.Callers.Public(), Domain: st.FailureDomain,
			Incarnation: placer.NewIncarnation(clock.Now()),
		},
		witness: witness.New(contactBound, logBound),
		events:  operator.NewEvents(maxEvents, clock, logger),
		news:    make(chan struct{}, 1),
	}
	s.asserter = asserter.New(func(v asserter.Violation) {
		s.event("violation", "rule", v.Rule.String(), "detail", v.Detail)
		report(v)
	})
	random := rand.New(rand.NewPCG(s.self.Incarnation, placer.Hash(s.self.ID())))
	s.gossiper = gossiper.New(s.self, random)
	s.owner = limiter.NewOwner(s.self, guard, s.asserter)
	s.recorder = recorder.New(s.self, guard)
	s.follower = follower.New(follower.Options{
		Log: p.Log, Clock: clock, Logger: logger, Asserter: s.asserter, Witness: s.witness,
		OnMap: s.onMap, OnConfiguration: s.onConfiguration,
	})
	s.watcher = watcher.New(p.Lister, clock, logger, func() { s.dispatcher.Update() })
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Clock: clock, Logger: logger, Asserter: s.asserter, Index: s.follower.Index,
		Leaving: s.watcher.Leaving, OnStateChange: s.onJudged, Seed: s.self.Incarnation,
	})
	s.rates = newRates(s)
	s.sender = &sender{server: s, shunned: map[netip.AddrPort]time.Time{}}
	s.fleet.proposer = mapper.NewProposer(guard)
	if err := s.secure(); err != nil {
		return nil, err
	}
	m, err := operator.NewMetrics(s.gauges())
	if err != nil {
		return nil, err
	}
	s.metrics = m
	s.caller = caller.New(caller.Options{
		Fleet: s, Admitter: s.rates, Sender: s.sender, Recorder: keeper{s}, Observer: s.metrics, Index: s.follower.Index,
		Limits: caller.Limits{MaxBody: st.Callers.MaxBody, BodyTimeout: st.Callers.BodyTimeout, MaxRequests: st.Callers.MaxRequests},
		Clock:  clock, Logger: logger, Asserter: s.asserter,
	})
	return s, nil
}

// secure makes the messenger and reads the certificates.
func (s *Server) secure() error {
	o := messenger.Options{
		Self: s.self, Fleet: s.settings.Fleet.Name, Layout: s.settings.layout(), Handler: s, Dial: messenger.DialFrom(s.settings.Peers.Listen.Addr()),
		Logger: s.logger, Clock: s.clock,
	}
	if t := s.settings.Peers.TLS; t != nil {
		c, err := newCertificate(*t, s.clock, s.logger)
		if err != nil {
			return errors.Wrap(err, "peers.tls")
		}
		if o.ClientTLS, o.ServerTLS, err = c.mutual(); err != nil {
			return errors.Wrap(err, "peers.tls")
		}
	}
	if t := s.settings.Callers.TLS; t != nil {
		c, err := newCertificate(*t, s.clock, s.logger)
		if err != nil {
			return errors.Wrap(err, "callers.tls")
		}
		s.certs.callers = c
	}
	s.messenger = messenger.New(o)
	return nil
}

// InContact reports whether this VM may act on the configuration it has.
func (s *Server) InContact() bool { return s.follower.Ready() && s.witness.InContact(s.clock.Now()) }

// Stopping reports whether this VM is about to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// view returns the live VMs, this one included unless it stops.
func (s *Server) view() placer.View {
	live := s.gossiper.Live()
	if !s.Stopping() {
		live = append(live, s.self)
	}
	return placer.NewView(live)
}

// Addresses returns callers' addresses of live VMs, spread over the failure domains.
func (s *Server) Addresses(c netip.Addr, n int) []netip.AddrPort {
	live := s.gossiper.Live()
	if !s.Stopping() && s.InContact() {
		live = append(live, s.self)
	}
	var as []netip.AddrPort
	for _, vm := range placer.NewView(live).Spread(c.String(), n) {
		as = append(as, vm.CallerAddress)
	}
	return as
}

// event notes something an operator may want to watch.
func (s *Server) event(name string, fields ...any) { s.events.Add(name, fields...) }
