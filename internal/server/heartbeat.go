package server

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/gossiper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// beatLoop exchanges heartbeats with the neighbours, spread over the period, and with all of
// them when there is news.
func (s *Server) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		ns := s.neighbours()
		pause := s.beatPeriod() / time.Duration(max(1, len(ns)))
		if len(ns) == 0 {
			s.sleep(ctx, pause)
		}
		for _, a := range ns {
			go s.beat(ctx, a)
			if s.hear(ctx, pause/2+rand.N(pause)) {
				break
			}
		}
	}
}

// beatPeriod returns how often each neighbour gets a heartbeat: more often while the log cannot
// be read, for then the heartbeats alone prove contact.
func (s *Server) beatPeriod() time.Duration {
	if s.witness.ReadsLog(s.clock.Now()) {
		return beatPeriod
	}
	return beatPeriod / 2
}

// hear waits, and reports whether there was news, of which the neighbours were told.
func (s *Server) hear(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return true
	case <-s.clock.After(d):
		return false
	case <-s.news:
	}
	for _, a := range s.neighbours() {
		go s.beat(ctx, a)
	}
	s.sleep(ctx, newsPause)
	return true
}

// wake makes the heartbeats tell of news at once.
func (s *Server) wake() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

func (s *Server) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// neighbours returns the addresses to exchange heartbeats with: those whose answers prove
// contact, the neighbours among the live VMs, and, while few are known, the listed ones.
func (s *Server) neighbours() []netip.AddrPort {
	as := s.contacts()
	seen := map[netip.AddrPort]bool{s.self.Address: true}
	for _, a := range as {
		seen[a] = true
	}
	add := func(a netip.AddrPort) {
		if !seen[a] {
			seen[a] = true
			as = append(as, a)
		}
	}
	for _, v := range s.gossiper.Neighbours() {
		add(v.Address)
	}
	if len(as) > 0 {
		return as
	}
	for _, a := range s.settings.Peers.Seeds {
		add(a)
	}
	entries, _ := s.watcher.EntryVMs()
	for a := range entries {
		if len(as) < maxStrangers {
			add(a)
		}
	}
	return as
}

// maxStrangers is how many listed VMs a newcomer begins with.
const maxStrangers = 4

// contacts returns the members of the fleet map whose answers prove contact while the log is away.
func (s *Server) contacts() []netip.AddrPort {
	var as []netip.AddrPort
	for _, v := range gossiper.RingNeighbours(s.self, s.follower.Map().ActiveVMs()) {
		as = append(as, v.Address)
	}
	return as
}

func (s *Server) heartbeat() *wire.Heartbeat {
	now := s.clock.Now()
	p := s.follower.Position()
	h := &wire.Heartbeat{
		From: messenger.ToVM(s.self), Leaving: s.Stopping(), MapVersion: p.MapVersion,
		ConfigurationNext: p.ConfigurationNext, FleetNext: p.FleetNext,
		InContact: s.InContact(), ReadsLog: s.witness.ReadsLog(now),
	}
	if age, ok := s.witness.LogAge(now); ok {
		h.ContactAgeMs = uint32(min(age.Milliseconds()+1, int64(time.Hour/time.Millisecond)))
	}
	for _, f := range s.gossiper.Updates(now) {
		h.Rumors = append(h.Rumors, &wire.Rumor{
			Vm: messenger.ToVM(f.VM), Kind: wire.RumorKind(f.Kind), AgeMs: uint32(now.Sub(f.At).Milliseconds()),
		})
	}
	return h
}

// learn takes what a heartbeat says of its sender and others.
func (s *Server) learn(now time.Time, h *wire.Heartbeat) {
	from, err := messenger.FromVM(h.GetFrom())
	if err != nil {
		return
	}
	kind := gossiper.KindUp
	if h.GetLeaving() {
		kind = gossiper.KindLeaving
	}
	news := s.gossiper.Merge(now, gossiper.VMState{VM: from, Kind: kind, At: now})
	for _, r := range h.GetRumors() {
		vm, err := messenger.FromVM(r.GetVm())
		if err != nil {
			continue
		}
		at := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		news = s.gossiper.Merge(now, gossiper.VMState{VM: vm, Kind: gossiper.Kind(r.GetKind()), At: at}) || news
	}
	if news {
		s.wake()
	}
}

func (s *Server) handleHeartbeat(from placer.VM, h *wire.Heartbeat) *wire.Reply {
	s.learn(s.clock.Now(), h)
	if s.behind(h) {
		s.tasks.Go(func() { s.catchUp(context.Background(), from.Address, h) })
	}
	return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: s.heartbeat()}}
}

// beat exchanges a heartbeat with a VM. What the reply proves is dated by when the
// exchange began, since a reply may have lain unread for long.
func (s *Server) beat(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := s.clock.Now()
	rep, err := s.messenger.Call(ctx, to, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: s.heartbeat()}})
	now := s.clock.Now()
	if err != nil {
		if s.gossiper.ObserveMiss(now, to) {
			s.event("peerDown", "peer", to.String(), "error", err.Error())
			s.messenger.Reset(to)
			s.wake()
		}
		return
	}
	h := rep.GetHeartbeat()
	s.learn(now, h)
	if s.behind(h) || !s.follower.Ready() {
		s.catchUp(ctx, to, h)
	}
	if s.behind(h) || !s.follower.Ready() {
		return
	}
	s.witness.ObservePeer(to, sent, h.GetReadsLog())
	age := time.Duration(h.GetContactAgeMs()) * time.Millisecond
	if age > 0 && age < contactBound {
		s.witness.ObserveRelay(sent.Add(-age))
	}
}

// behind reports whether a peer has applied more of the log.
func (s *Server) behind(h *wire.Heartbeat) bool {
	p := s.follower.Position()
	return h.GetConfigurationNext() > p.ConfigurationNext || h.GetFleetNext() > p.FleetNext || h.GetMapVersion() > p.MapVersion
}

// catchUp takes from a peer the records that this VM lacks, or its whole state.
func (s *Server) catchUp(ctx context.Context, from netip.AddrPort, h *wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	p := s.follower.Position()
	whole := !s.follower.Ready() || h.GetMapVersion() > p.MapVersion && h.GetFleetNext() <= p.FleetNext
	if !whole && h.GetConfigurationNext() > p.ConfigurationNext {
		whole = !s.fetch(ctx, from, follower.StreamConfiguration, p.ConfigurationNext)
	}
	if !whole && h.GetFleetNext() > p.FleetNext {
		whole = !s.fetch(ctx, from, follower.StreamFleet, p.FleetNext)
	}
	if !whole {
		return
	}
	rep, err := s.messenger.Call(ctx, from, &wire.Request{Body: &wire.Request_State{State: &wire.State{}}})
	if err != nil {
		return
	}
	if err := s.follower.Restore(rep.GetState().GetState()); err != nil {
		s.logger.Warn("state of a peer cannot be used", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	s.learnMembers()
	s.dispatcher.Update()
}

// fetch takes the records of a stream from a peer and reports false if it keeps them no more.
func (s *Server) fetch(ctx context.Context, from netip.AddrPort, stream string, next uint64) bool {
	rep, err := s.messenger.Call(ctx, from, &wire.Request{Body: &wire.Request_Read{
		Read: &wire.Read{Stream: stream, From: next},
	}})
	if err != nil {
		return true
	}
	rs := rep.GetLogRecords()
	if rs.GetGap() {
		return false
	}
	var es []follower.Entry
	for _, r := range rs.GetRecords() {
		es = append(es, follower.Entry{Offset: r.GetOffset(), Data: r.GetData()})
	}
	s.follower.ApplyRelayed(stream, es)
	s.dispatcher.Update()
	return true
}

// learnMembers takes the members of the fleet map as up until there is news of them.
func (s *Server) learnMembers() {
	now := s.clock.Now()
	for _, v := range s.follower.Map().ActiveVMs() {
		s.gossiper.Merge(now, gossiper.VMState{VM: v, Kind: gossiper.KindUp, At: time.Time{}})
	}
}
