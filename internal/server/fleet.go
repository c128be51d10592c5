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

// proposalState is the state of this VM's proposals of fleet maps. Only the fleet loop uses it.
type proposalState struct {
	proposer *mapper.Proposer
	// neededSince is when this VM first saw that the current map needs a change, or zero if it needs none.
	neededSince time.Time
	// proposedAt is when this VM last tried to append a change.
	proposedAt time.Time
}

// onMap applies a new fleet map to the roles that own partitions (rates and idempotency records), to the peers
// that prove contact, and to the VMs known as up. The flag gap says that maps between old and next were missed.
func (s *Server) onMap(old, next *mapper.Map, gap bool) {
	now := s.clock.Now()
	if gap {
		s.owner.ApplyAfterGap(now, old, next, s.shards)
		s.recorder.ApplyAfterGap(now, next)
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
	s.addEvent("fleetMap", "version", next.Version, "members", len(next.Members()), "gap", gap)
}

// onConfiguration logs an event for the outcome of a configuration record and updates the dispatchers.
func (s *Server) onConfiguration(r merger.Result) {
	switch r.Outcome {
	case merger.OutcomeAccepted:
		s.addEvent("configurationInForce", "team", r.Record.Team, "version", r.Version, "change", r.Record.ID,
			"sinceWritten", s.clock.Since(r.Record.At).String())
	case merger.OutcomeStale, merger.OutcomeInvalid, merger.OutcomeUnreadable:
		s.addEvent("configurationRefused", "team", r.Record.Team, "outcome", r.Outcome.String(),
			"change", r.Record.ID, "reason", r.Err.Error())
	case merger.OutcomePending, merger.OutcomeRepeated:
	}
	s.tasks.Go(s.dispatcher.Update)
}

// onInstanceStateChange counts and logs a state change of an instance.
func (s *Server) onInstanceStateChange(e detector.Event) {
	s.metrics.CountStateChange(e.To.String())
	s.addEvent("backendJudged", "instance", e.Instance, "from", e.From.String(), "to", e.To.String(), "evidence", e.Evidence)
}

// fleetLoop proposes changes of the fleet map, takes over the partitions that this VM owns, and periodically
// removes unused state and writes snapshots, until ctx ends.
func (s *Server) fleetLoop(ctx context.Context) {
	sweptAt := s.clock.Now()
	for ctx.Err() == nil {
		s.sleep(ctx, fleetInterval)
		s.propose(ctx)
		s.takeOver(ctx)
		if now := s.clock.Now(); now.Sub(sweptAt) > sweepInterval {
			sweptAt = now
			s.sweep(now)
			s.writeSnapshots(ctx)
		}
	}
}

// sweep removes unused state and closes idle sessions.
func (s *Server) sweep(now time.Time) {
	s.admitter.sweep(now)
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
	s.messenger.CloseIdle(sessionIdleTimeout)
}

// evidence returns what this VM knows of the fleet's VMs: those in the VM list, and those seen by gossip.
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

// propose appends a change of the fleet map if the map has needed one for this VM's proposal delay. The VMs have
// staggered delays in rendezvous order, so that most changes are proposed only once.
func (s *Server) propose(ctx context.Context) {
	now := s.clock.Now()
	m := s.follower.Map()
	c := s.proposals.proposer.Propose(now, m, s.evidence())
	if c.Empty() || !s.follower.Ready() || !s.witness.ReadsLog(now) {
		s.proposals.neededSince = time.Time{}
		return
	}
	if s.proposals.neededSince.IsZero() {
		s.proposals.neededSince = now
	}
	if now.Sub(s.proposals.neededSince) < s.proposalDelay(m) || now.Sub(s.proposals.proposedAt) < minProposalInterval {
		return
	}
	s.proposals.proposedAt = now
	if m.Version == 0 {
		c.Members, c.Replaces = initialMembers(c), s.follower.BootstrapBase()
	}
	s.append(ctx, follower.StreamFleet, c)
}

// initialMembers returns the members of the first fleet map.
func initialMembers(c mapper.Change) []mapper.Member {
	ms := make([]mapper.Member, len(c.Added))
	for i, v := range c.Added {
		ms[i].VM = v
	}
	return ms
}

// proposalDelay returns how long this VM waits before it proposes a successor of m: longer the later it comes in the
// rendezvous order for m.
func (s *Server) proposalDelay(m *mapper.Map) time.Duration {
	for i, v := range placer.Rank(m.String(), s.liveView().Live()) {
		if v.Same(s.self) {
			return firstProposalDelay + time.Duration(i)*proposalStagger
		}
	}
	return firstProposalDelay
}

// append encodes a record and appends it to a stream of the log. It logs failures; callers retry on a later round.
func (s *Server) append(ctx context.Context, stream string, record interface{ Encode() ([]byte, error) }) {
	b, err := record.Encode()
	if err != nil {
		s.logger.Error("failed to encode a record for the log", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.platform.Log.Append(ctx, stream, b); err != nil {
		s.logger.Warn("failed to append a record to the log", zap.String("stream", stream), zap.Error(err))
	}
}

// takeOver requests the state of the partitions that this VM has become an owner of from their previous owners.
func (s *Server) takeOver(ctx context.Context) {
	m := s.follower.Map()
	for _, n := range s.owner.PendingReleases() {
		s.fetchPartition(ctx, m, n)
	}
	for _, n := range s.recorder.PendingCopies() {
		s.fetchRecords(ctx, m, n)
	}
}

// fetchPartition requests the handoff of a rate partition from its previous owner. On failure the need remains
// and the next round of the fleet loop retries it.
func (s *Server) fetchPartition(ctx context.Context, m *mapper.Map, n limiter.PendingRelease) {
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

// fetchRecords requests copies of a partition's idempotency records from the VMs that have them.
func (s *Server) fetchRecords(ctx context.Context, m *mapper.Map, n recorder.PendingCopy) {
	for _, from := range n.From {
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		rep, err := s.messenger.Call(ctx, from.Address, &wire.Request{Body: &wire.Request_Copy{
			Copy: &wire.Copy{Partition: uint32(n.Partition), MapVersion: m.Version},
		}})
		cancel()
		if err == nil {
			s.recorder.ApplyCopy(s.clock.Now(), n.Partition, from, fromRecords(rep.GetRecords()))
		}
	}
}

// writeSnapshots appends records again that the log may soon drop, if this VM can read the log and is the first
// live VM in rendezvous order.
func (s *Server) writeSnapshots(ctx context.Context) {
	live := s.liveView().Live()
	if !s.witness.ReadsLog(s.clock.Now()) || len(live) == 0 || !placer.Rank("snapshots", live)[0].Same(s.self) {
		return
	}
	age := s.settings.Platform.Retention / snapshotDivisor
	for _, r := range s.follower.DueSnapshots(age) {
		s.append(ctx, follower.StreamConfiguration, r)
	}
	if c, due := s.follower.DueMapSnapshot(age); due {
		s.append(ctx, follower.StreamFleet, c)
	}
}
