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

// heartbeatLoop exchanges heartbeats with the neighbours, spread over the heartbeat interval, and with all of them at
// once when the known VMs change, until ctx ends.
func (s *Server) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		ns := s.neighbours()
		pause := s.heartbeatInterval() / time.Duration(max(1, len(ns)))
		if len(ns) == 0 {
			s.sleep(ctx, pause)
		}
		for _, a := range ns {
			go s.exchangeHeartbeat(ctx, a)
			if s.waitOrBroadcast(ctx, pause/2+rand.N(pause)) {
				break
			}
		}
	}
}

// heartbeatInterval returns the interval between heartbeats to one neighbour. It is halved while this VM cannot read
// the log, because then only heartbeats prove contact.
func (s *Server) heartbeatInterval() time.Duration {
	if s.witness.ReadsLog(s.clock.Now()) {
		return heartbeatInterval
	}
	return heartbeatInterval / 2
}

// waitOrBroadcast waits for d. If the known VMs change meanwhile, it sends heartbeats to all neighbours, waits for
// minBroadcastInterval and returns true. It also returns true if ctx ended.
func (s *Server) waitOrBroadcast(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return true
	case <-s.clock.After(d):
		return false
	case <-s.broadcast:
	}
	for _, a := range s.neighbours() {
		go s.exchangeHeartbeat(ctx, a)
	}
	s.sleep(ctx, minBroadcastInterval)
	return true
}

// triggerBroadcast makes the heartbeat loop send heartbeats to all neighbours at once.
func (s *Server) triggerBroadcast() {
	select {
	case s.broadcast <- struct{}{}:
	default:
	}
}

// sleep waits for d or until ctx ends.
func (s *Server) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}

// neighbours returns the addresses to exchange heartbeats with: the contacts, whose answers prove contact, and
// the gossip neighbours. While there are none, it returns the seeds and some VMs of the VM list.
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
		if len(as) < maxBootstrapPeers {
			add(a)
		}
	}
	return as
}

// maxBootstrapPeers bounds the addresses that a VM that knows no other sends heartbeats to: VMs of the VM list are
// added to the seeds only while there are fewer.
const maxBootstrapPeers = 4

// contacts returns the addresses of the members of the fleet map whose answers prove contact while the log is
// unavailable.
func (s *Server) contacts() []netip.AddrPort {
	var as []netip.AddrPort
	for _, v := range gossiper.RingNeighbours(s.self, s.follower.Map().ActiveVMs()) {
		as = append(as, v.Address)
	}
	return as
}

// newHeartbeat returns a heartbeat message with this VM's state and the latest gossip.
func (s *Server) newHeartbeat() *wire.Heartbeat {
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

// mergeHeartbeat merges what a heartbeat reports of its sender and of other VMs into the gossip state. A change
// triggers heartbeats to all neighbours.
func (s *Server) mergeHeartbeat(now time.Time, h *wire.Heartbeat) {
	from, err := messenger.FromVM(h.GetFrom())
	if err != nil {
		return
	}
	kind := gossiper.KindUp
	if h.GetLeaving() {
		kind = gossiper.KindLeaving
	}
	changed := s.gossiper.Merge(now, gossiper.VMState{VM: from, Kind: kind, At: now})
	for _, r := range h.GetRumors() {
		vm, err := messenger.FromVM(r.GetVm())
		if err != nil {
			continue
		}
		at := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		changed = s.gossiper.Merge(now, gossiper.VMState{VM: vm, Kind: gossiper.Kind(r.GetKind()), At: at}) || changed
	}
	if changed {
		s.triggerBroadcast()
	}
}

// handleHeartbeat merges a peer's heartbeat, catches up with the peer in the background if this VM is behind, and
// answers with a heartbeat.
func (s *Server) handleHeartbeat(from placer.VM, h *wire.Heartbeat) *wire.Reply {
	s.mergeHeartbeat(s.clock.Now(), h)
	if s.behind(h) {
		s.tasks.Go(func() { s.catchUp(context.Background(), from.Address, h) })
	}
	return &wire.Reply{Body: &wire.Reply_Heartbeat{Heartbeat: s.newHeartbeat()}}
}

// exchangeHeartbeat exchanges heartbeats with a VM and catches up with it if this VM is behind. Only if this VM
// then has a state and is not behind, the reply counts as contact. The contact is dated by when the exchange
// began, since the reply may have waited unread for long.
func (s *Server) exchangeHeartbeat(ctx context.Context, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := s.clock.Now()
	rep, err := s.messenger.Call(ctx, to, &wire.Request{Body: &wire.Request_Heartbeat{Heartbeat: s.newHeartbeat()}})
	now := s.clock.Now()
	if err != nil {
		if s.gossiper.ObserveMiss(now, to) {
			s.addEvent("peerDown", "peer", to.String(), "error", err.Error())
			s.messenger.Reset(to)
			s.triggerBroadcast()
		}
		return
	}
	h := rep.GetHeartbeat()
	s.mergeHeartbeat(now, h)
	if s.behind(h) || !s.follower.Ready() {
		s.catchUp(ctx, to, h)
	}
	if s.behind(h) || !s.follower.Ready() {
		return
	}
	s.witness.ObservePeer(to, sentAt, h.GetReadsLog())
	age := time.Duration(h.GetContactAgeMs()) * time.Millisecond
	if age > 0 && age < maxContactAge {
		s.witness.ObserveRelay(sentAt.Add(-age))
	}
}

// behind reports whether the sender of a heartbeat has applied more of the log than this VM.
func (s *Server) behind(h *wire.Heartbeat) bool {
	p := s.follower.Position()
	return h.GetConfigurationNext() > p.ConfigurationNext || h.GetFleetNext() > p.FleetNext || h.GetMapVersion() > p.MapVersion
}

// catchUp fetches the records that this VM lacks from a peer that is ahead. It fetches the peer's whole state
// instead if this VM has no state yet, if the peer no longer keeps the records, or if the peer has a newer fleet
// map although it has read no more of its stream.
func (s *Server) catchUp(ctx context.Context, from netip.AddrPort, h *wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	p := s.follower.Position()
	wholeState := !s.follower.Ready() || h.GetMapVersion() > p.MapVersion && h.GetFleetNext() <= p.FleetNext
	if !wholeState && h.GetConfigurationNext() > p.ConfigurationNext {
		wholeState = !s.fetchLog(ctx, from, follower.StreamConfiguration, p.ConfigurationNext)
	}
	if !wholeState && h.GetFleetNext() > p.FleetNext {
		wholeState = !s.fetchLog(ctx, from, follower.StreamFleet, p.FleetNext)
	}
	if !wholeState {
		return
	}
	rep, err := s.messenger.Call(ctx, from, &wire.Request{Body: &wire.Request_State{State: &wire.State{}}})
	if err != nil {
		return
	}
	if err := s.follower.Restore(rep.GetState().GetState()); err != nil {
		s.logger.Warn("failed to restore the state received from a peer", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	s.mergeMembers()
	s.dispatcher.Update()
}

// fetchLog applies the records of a stream from offset next on, as fetched from a peer. It returns false only if the
// peer no longer keeps them; a failed call returns true, since a later heartbeat retries it.
func (s *Server) fetchLog(ctx context.Context, from netip.AddrPort, stream string, next uint64) bool {
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

// mergeMembers marks the members of the fleet map as up in the gossip state. The zero time lets any other
// observation of them override that.
func (s *Server) mergeMembers() {
	now := s.clock.Now()
	for _, v := range s.follower.Map().ActiveVMs() {
		s.gossiper.Merge(now, gossiper.VMState{VM: v, Kind: gossiper.KindUp, At: time.Time{}})
	}
}
