package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/canceler"
	"github.com/jacinthproxy/jacinthproxy/internal/operator"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
)

// Run serves until ctx ends and then stops gracefully; the end of kill, such as by a second signal, cuts the stop
// short. It returns an error if a listener could not be opened or if requests were cut off.
func (s *Server) Run(ctx, kill context.Context) error {
	callers, peers, operators, err := s.listen()
	if err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	var loops sync.WaitGroup
	for _, f := range []func(context.Context){s.follower.Run, s.watcher.Run, s.heartbeatLoop, s.fleetLoop} {
		loops.Go(func() { f(run) })
	}
	loops.Go(func() { s.logServeError(s.messenger.Serve(run, peers)) })
	callerServer := s.newCallerServer()
	loops.Go(func() { s.logServeError(s.serveCallers(callerServer, callers)) })
	operatorServer := &http.Server{Handler: operator.Handler(func() any { return s.Dump() }, s.events, s.metrics), ReadHeaderTimeout: s.settings.Callers.HeaderTimeout}
	loops.Go(func() { s.logServeError(operatorServer.Serve(operators)) })
	s.addEvent("started", "incarnation", s.self.Incarnation, "domain", s.self.Domain, "peers", s.self.Address.String(),
		"callers", s.self.CallerAddress.String())
	<-ctx.Done()
	err = s.stop(kill, callerServer)
	cancel()
	s.end()
	_ = operatorServer.Close()
	_ = peers.Close()
	s.messenger.Close()
	s.dispatcher.Close()
	loops.Wait()
	s.tasks.Wait()
	s.addEvent("stopped")
	return err
}

// listen opens the listeners for callers, peers and operators.
func (s *Server) listen() (callers, peers, operators net.Listener, err error) {
	open := func(name string, l ListenSettings) net.Listener {
		if err != nil {
			return nil
		}
		var ln net.Listener
		ln, e := net.Listen("tcp", l.Listen.String())
		if e != nil {
			err = errors.Wrap(e, name+".listen")
			return nil
		}
		return ln
	}
	peers = open("peers", s.settings.Peers.ListenSettings)
	callers = open("callers", s.settings.Callers.ListenSettings)
	operators = open("operators", s.settings.Operators)
	return callers, peers, operators, err
}

// logServeError logs the error that made a listener stop serving, unless its server was closed.
func (s *Server) logServeError(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("listener stopped serving", zap.Error(err))
	}
}

// newCallerServer returns the HTTP server for callers: HTTP/1 and HTTP/2, also unencrypted, with TLS if configured.
func (s *Server) newCallerServer() *http.Server {
	c := s.settings.Callers
	h := &http.Server{
		Handler: canceler.NewHandler(s.caller.Handler()), ConnContext: canceler.ConnContext, ReadHeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout,
		MaxHeaderBytes: c.MaxHeader, ErrorLog: zap.NewStdLog(s.logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		Protocols: new(http.Protocols),
	}
	h.Protocols.SetHTTP1(true)
	h.Protocols.SetHTTP2(true)
	h.Protocols.SetUnencryptedHTTP2(true)
	if s.certs.callers != nil {
		h.TLSConfig = s.certs.callers.listenerConfig()
	}
	return h
}

func (s *Server) serveCallers(h *http.Server, l net.Listener) error {
	l = canceler.NewListener(l, s.clock)
	if h.TLSConfig != nil {
		return h.ServeTLS(l, "", "")
	}
	return h.Serve(l)
}

// stop drains the daemon: it announces that this VM leaves, which takes it off the directory and the fleet map,
// waits for the requests in flight and hands over the VM's partitions. Requests that still run after StopTimeout,
// or when kill ends, are cut off; an error is returned then.
func (s *Server) stop(kill context.Context, callerServer *http.Server) error {
	at := s.clock.Now().Add(s.settings.StopTimeout - answerMargin)
	s.stopsAt.Store(&at)
	s.stopping.Store(true)
	s.addEvent("stopping")
	ctx, cancel := context.WithTimeout(kill, s.settings.StopTimeout)
	defer cancel()
	for _, a := range s.neighbours() {
		go s.exchangeHeartbeat(ctx, a)
	}
	s.sleep(ctx, stopGracePeriod)
	err := callerServer.Shutdown(ctx)
	s.asserter.Check(err == nil || kill.Err() != nil, asserter.RuleStop, "requests were cut after %s", s.settings.StopTimeout)
	if err != nil {
		s.logger.Error("planned stop cut off requests in flight", zap.Error(err))
		_ = callerServer.Close()
	}
	s.handOver(ctx)
	return errors.Wrap(err, "planned stop")
}

// handOver waits until other VMs have taken over the rate partitions of this VM, and then until its dispatchers
// have no more requests and all results are recorded at their holders. It gives up after handOverTimeout.
func (s *Server) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for ctx.Err() == nil && s.witness.ReadsLog(s.clock.Now()) && s.holdsPartitions() {
		s.sleep(ctx, 100*time.Millisecond)
	}
	for ctx.Err() == nil && (s.dispatcher.Busy() || s.finishing.Load() > 0) {
		s.sleep(ctx, 100*time.Millisecond)
	}
}

// holdsPartitions reports whether this VM still has rate partitions that other live VMs can take over.
func (s *Server) holdsPartitions() bool {
	if len(s.gossiper.Live()) == 0 {
		return false
	}
	p := s.owner.Status().Partitions
	return p[limiter.StateHeld]+p[limiter.StateFrozen]+p[limiter.StateWaiting] > 0
}
