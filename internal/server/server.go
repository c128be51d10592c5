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

// Platform has the services of the platform that a daemon uses.
type Platform struct {
	Log    follower.Log
	Lister watcher.Lister
	// Traffic counts the bytes received from and sent to the platform; it may be nil.
	Traffic *messenger.Traffic
}

// NewHTTPPlatform returns HTTP clients for the platform's services at the URLs in the settings.
func NewHTTPPlatform(s PlatformSettings) (Platform, error) {
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

// Server is one daemon of the fleet. Create it with New and start it with Run.
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
	admitter   *admitter
	sender     *sender
	events     *operator.Events
	proposals  proposalState
	stopping   atomic.Bool
	// running ends when the stop is over, and end ends it.
	running context.Context
	end     context.CancelFunc
	// finishing counts the results that are being sent to the holders of their records.
	finishing atomic.Int64
	// stopsAt is when a stop that has begun cuts off requests; nil before.
	stopsAt atomic.Pointer[time.Time]
	// broadcast triggers heartbeats to all neighbours when the known VMs changed.
	broadcast chan struct{}
	tasks     sync.WaitGroup
	certs     certificates
}

type certificates struct {
	callers *certificate
}

// New returns a daemon that is ready to run. It reads the TLS files that the settings name. The report function is
// called for each violation of a guarantee, after an event for it is logged.
func New(st Settings, p Platform, clock clockwork.Clock, logger *zap.Logger, report func(asserter.Violation)) (*Server, error) {
	s := &Server{
		settings: st, shards: mapper.Shards(st.Fleet.FailureDomains), platform: p, clock: clock, logger: logger,
		self: placer.VM{
			Address: st.Peers.AdvertisedAddress(), CallerAddress: st.Callers.AdvertisedAddress(), Domain: st.FailureDomain,
			Incarnation: placer.NewIncarnation(clock.Now()),
		},
		witness:   witness.New(maxContactAge, maxLogReadAge),
		events:    operator.NewEvents(maxEvents, clock, logger),
		broadcast: make(chan struct{}, 1),
	}
	s.asserter = asserter.New(func(v asserter.Violation) {
		s.addEvent("violation", "rule", v.Rule.String(), "detail", v.Detail)
		report(v)
	})
	random := rand.New(rand.NewPCG(s.self.Incarnation, placer.Hash(s.self.ID())))
	s.gossiper = gossiper.New(s.self, random)
	s.owner = limiter.NewOwner(s.self, guardPeriod, s.asserter)
	s.recorder = recorder.New(s.self, guardPeriod)
	s.follower = follower.New(follower.Options{
		Log: p.Log, Clock: clock, Logger: logger, Asserter: s.asserter, Witness: s.witness,
		OnMap: s.onMap, OnConfiguration: s.onConfiguration,
	})
	s.watcher = watcher.New(p.Lister, clock, logger, func() { s.dispatcher.Update() })
	s.dispatcher = dispatcher.New(dispatcher.Options{
		Clock: clock, Logger: logger, Asserter: s.asserter, Index: s.follower.Index,
		Leaving: s.watcher.Leaving, OnStateChange: s.onInstanceStateChange, Seed: s.self.Incarnation,
	})
	s.admitter = newAdmitter(s)
	s.sender = &sender{server: s, demoted: map[netip.AddrPort]time.Time{}}
	s.proposals.proposer = mapper.NewProposer(guardPeriod)
	if err := s.initMessenger(); err != nil {
		return nil, err
	}
	m, err := operator.NewMetrics(s.gauges())
	if err != nil {
		return nil, err
	}
	s.metrics = m
	s.running, s.end = context.WithCancel(context.Background())
	s.caller = caller.New(caller.Options{
		Fleet: s, Admitter: s.admitter, Sender: s.sender, Recorder: quorumRecorder{s}, Observer: s.metrics, Index: s.follower.Index,
		Limits: caller.Limits{MaxBody: st.Callers.MaxBody, BodyTimeout: st.Callers.BodyTimeout, MaxRequests: st.Callers.MaxRequests},
		Clock:  clock, Logger: logger, Asserter: s.asserter,
	})
	return s, nil
}

// initMessenger reads the certificates and creates the messenger.
func (s *Server) initMessenger() error {
	o := messenger.Options{
		Self: s.self, Fleet: s.settings.Fleet.Name, Layout: s.settings.layout(), Handler: s, Dial: messenger.DialFrom(s.settings.Peers.Listen.Addr()),
		Logger: s.logger, Clock: s.clock,
	}
	if t := s.settings.Peers.TLS; t != nil {
		c, err := newCertificate(*t, s.clock, s.logger)
		if err != nil {
			return errors.Wrap(err, "peers.tls")
		}
		if o.ClientTLS, o.ServerTLS, err = c.mutualConfigs(); err != nil {
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

// InContact reports whether this VM may act on its configuration: it has a state, and proved contact with the
// fleet recently.
func (s *Server) InContact() bool { return s.follower.Ready() && s.witness.InContact(s.clock.Now()) }

// Stopping reports whether a planned stop of this VM has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// StopsAt implements caller.Fleet.
func (s *Server) StopsAt() time.Time {
	if at := s.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// liveView returns the live VMs, including this one unless it is stopping.
func (s *Server) liveView() placer.View {
	live := s.gossiper.Live()
	if !s.Stopping() {
		live = append(live, s.self)
	}
	return placer.NewView(live)
}

// Addresses returns up to n addresses of live VMs for the caller with address c, spread over the failure domains.
// This VM is included only if it is in contact and not stopping.
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

// addEvent logs an event and keeps it for dumps.
func (s *Server) addEvent(name string, fields ...any) { s.events.Add(name, fields...) }
