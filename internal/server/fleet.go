package server

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/detector"
	"github.com/jacinthproxy/jacinthproxy/pkg/gossiper"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

// fleet is this VM's part in keeping the fleet map.
type fleet struct {
	proposer *mapper.Proposer
	// wantedAt is when a change of the map was first seen to be called for.
	wantedAt time.Time
	// proposedAt is when this VM last appended a change.
	proposedAt time.Time
}

// onMap moves the hard roles to a new fleet map.
func (s *Server) onMap(old, next *mapper.Map, gap bool) {
	now := s.clock.Now()
	if gap {
		s.owner.ApplyAfterGap(now, old, next, s.shards)
		s.recorder.Skip(now, next)
	} else {
		s.owner.Apply(now, old, next, s.shards)
		s.recorder.Apply(now, old, next)
	}
	var contacts []netip.AddrPort
	for _, v := range gossiper.RingNeighbours(s.self, next.ActiveVMs()) {
		contacts = append(contacts, v.Address)
	}
	s.witness.SetPeers(contacts)
	for _, v := range next.ActiveVMs() {
		s.gossiper.Merge(now, gossiper.VMState{VM: v, Kind: gossiper.KindUp})
	}
	s.event("fleetMap", "version", next.Version, "members", len(next.Members()), "gap", gap)
}

// onConfiguration notes what became of a record of the configuration.
func (s *Server) onConfiguration(r merger.Result) {
	switch r.Outcome {
	case merger.OutcomeAccepted:
		s.event("configurationInForce", "team", r.Record.Team, "version", r.Version, "change", r.Record.ID,
			"sinceWritten", s.clock.Since(r.Record.At).String())
	case merger.OutcomeStale, merger.OutcomeInvalid, merger.OutcomeUnreadable:
		s.event("configurationRefused", "team", r.Record.Team, "outcome", r.Outcome.String(),
			"change", r.Record.ID, "reason", r.Err.Error())
	case merger.OutcomePending, merger.OutcomeRepeated:
	}
	s.tasks.Go(s.dispatcher.Update)
}

func (s *Server) onJudged(e detector.Event) {
	s.metrics.Judged(e.To.String())
	s.event("backendJudged", "instance", e.Instance, "from", e.From.String(), "to", e.To.String(), "evidence", e.Evidence)
}

// fleetLoop looks after the fleet map: changes that are called for, what this VM has to
// take over, and snapshots.
func (s *Server) fleetLoop(ctx context.Context) {
	swept := s.clock.Now()
	for ctx.Err() == nil {
		s.sleep(ctx, fleetPeriod)
		s.propose(ctx)
		s.takeOver(ctx)
		if now := s.clock.Now(); now.Sub(swept) > sweepPeriod {
			swept = now
			s.sweep(now)
			s.writeSnapshots(ctx)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	s.rates.sweep(now)
	s.sender.sweep(now)
	s.recorder.Expire(now)
	entries, _ := s.watcher.EntryVMs()
	m := s.follower.Map()
	known := func(a netip.AddrPort) bool {
		_, listed := entries[a]
		_, member := m.Member(a)
		return listed || member
	}
	s.gossiper.Expire(now, known)
	s.messenger.Forget(known)
	s.messenger.Retire(sessionIdle)
}

func (s *Server) evidence() mapper.Evidence {
	entries, at := s.watcher.EntryVMs()
	e := mapper.Evidence{Listed: map[netip.AddrPort]bool{}, ListedAt: at, Alive: map[netip.AddrPort]mapper.AliveVM{}}
	for a := range entries {
		e.Listed[a] = true
	}
	for _, f := range s.gossiper.States() {
		if f.Kind != gossiper.KindDown {
			e.Alive[f.VM.Address] = mapper.AliveVM{VM: f.VM, Leaving: f.Kind == gossiper.KindLeaving}
		}
	}
	e.Alive[s.self.Address] = mapper.AliveVM{VM: s.self, Leaving: s.Stopping()}
	return e
}

// propose appends a change of the map when one is called for and it is this VM's turn: the
// VMs wait in rendezvous order, so most changes are proposed once.
func (s *Server) propose(ctx context.Context) {
	now := s.clock.Now()
	m := s.follower.Map()
	c := s.fleet.proposer.Propose(now, m, s.evidence())
	if c.Empty() || !s.follower.Ready() || !s.witness.ReadsLog(now) {
		s.fleet.wantedAt = time.Time{}
		return
	}
	if s.fleet.wantedAt.IsZero() {
		s.fleet.wantedAt = now
	}
	if now.Sub(s.fleet.wantedAt) < s.turn(m) || now.Sub(s.fleet.proposedAt) < mapPause {
		return
	}
	s.fleet.proposedAt = now
	if m.Version == 0 {
		c.Members, c.Replaces = founders(c), s.follower.Founding()
	}
	s.append(ctx, follower.StreamFleet, c)
}

// founders returns the members of the first map.
func founders(c mapper.Change) []mapper.Member {
	ms := make([]mapper.Member, len(c.Added))
	for i, v := range c.Added {
		ms[i].VM = v
	}
	return ms
}

// turn returns how long this VM waits before it proposes a successor of a map.
func (s *Server) turn(m *mapper.Map) time.Duration {
	for i, v := range placer.Rank(m.String(), s.view().Live()) {
		if v.Same(s.self) {
			return firstDelay + time.Duration(i)*proposeDelay
		}
	}
	return firstDelay
}

func (s *Server) append(ctx context.Context, stream string, record interface{ Encode() ([]byte, error) }) {
	b, err := record.Encode()
	if err != nil {
		s.logger.Error("record cannot be encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.platform.Log.Append(ctx, stream, b); err != nil {
		s.logger.Warn("append to the log failed", zap.String("stream", stream), zap.Error(err))
	}
}

// takeOver asks the VMs before for what this VM has to own.
func (s *Server) takeOver(ctx context.Context) {
	m := s.follower.Map()
	for _, n := range s.owner.PendingReleases() {
		s.takePartition(ctx, m, n)
	}
	for _, n := range s.recorder.PendingCopies() {
		s.takeRecords(ctx, m, n)
	}
}

func (s *Server) takePartition(ctx context.Context, m *mapper.Map, n limiter.PendingRelease) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	rep, err := s.messenger.Call(ctx, n.From.Address, &wire.Request{Body: &wire.Request_Release{Release: &wire.Release{
		Shard: toShard(n.Partition.Shard), Index: uint32(n.Partition.Index), MapVersion: m.Version, To: messenger.ToVM(s.self),
	}}})
	if err != nil {
		return
	}
	if h, err := fromHandoff(rep.GetHandoff()); err == nil {
		s.owner.ApplyHandoff(s.clock.Now(), n, h)
	}
}

func (s *Server) takeRecords(ctx context.Context, m *mapper.Map, n recorder.PendingCopy) {
	for _, from := range n.From {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		rep, err := s.messenger.Call(ctx, from.Address, &wire.Request{Body: &wire.Request_Copy{
			Copy: &wire.Copy{Partition: uint32(n.Partition), MapVersion: m.Version},
		}})
		cancel()
		if err == nil {
			s.recorder.Receive(s.clock.Now(), n.Partition, from, fromRecords(rep.GetRecords()))
		}
	}
}

// writeSnapshots writes again what the log may soon drop, if it is this VM's turn.
func (s *Server) writeSnapshots(ctx context.Context) {
	live := s.view().Live()
	if !s.witness.ReadsLog(s.clock.Now()) || len(live) == 0 || !placer.Rank("snapshots", live)[0].Same(s.self) {
		return
	}
	age := s.settings.Platform.Retention / snapshotShare
	for _, r := range s.follower.Due(age) {
		s.append(ctx, follower.StreamConfiguration, r)
	}
	if c, due := s.follower.DueMap(age); due {
		s.append(ctx, follower.StreamFleet, c)
	}
}
