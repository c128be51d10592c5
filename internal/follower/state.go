package follower

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// Relay returns the records of a stream from an offset on, to send to a peer, and the
// offset of the next record that this VM will apply. It returns false if it no longer
// keeps the record at the requested offset.
func (f *Follower) Relay(stream string, from uint64) ([]Entry, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.position(stream)
	if from >= p.next {
		return nil, p.next, true
	}
	es, ok := p.tail.from(from)
	return es, p.next, ok
}

// ApplyRelayed applies records relayed by a peer. It ignores records that do not continue the stream, and all records
// before the stream has a position.
func (f *Follower) ApplyRelayed(stream string, es []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.position(stream); p.positioned {
		f.apply(stream, p, es)
	}
}

// State is the complete state of a VM, for a peer that is too far behind to catch up from relayed records.
type State struct {
	Configuration merger.State
	MapVersion    uint64
	Members       []mapper.Member
	FleetNext     uint64
}

// State returns the configuration and the fleet map as applied so far.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.chain.Current()
	return State{f.tree.State(), m.Version, m.Members(), f.fleet.next}
}

// Encode returns the state as JSON.
func (s State) Encode() ([]byte, error) { return json.Marshal(s) }

// Restore replaces the configuration and the fleet map, each on its own, with those of a peer's encoded state if the
// peer has applied more, or as much while records missed by this VM are still unknown. It returns an error if the
// state cannot be decoded.
func (f *Follower) Restore(b []byte) error {
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "decode state of peer")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	newer, err := f.tree.Restore(s.Configuration)
	if err != nil {
		return err
	}
	if newer {
		f.conf.next = s.Configuration.Next
		f.conf.tail.reset()
		f.index.Store(f.tree.Index(f.index.Load()))
	}
	if s.FleetNext > f.fleet.next || f.fleetGap && s.FleetNext == f.fleet.next {
		f.restoreMap(s)
	}
	f.conf.positioned, f.fleet.positioned = true, true
	return nil
}

// restoreMap moves the fleet stream to the peer's position, and applies its map if that is newer.
func (f *Follower) restoreMap(s State) {
	f.fleet.next = s.FleetNext
	f.fleet.tail.reset()
	f.fleetGap = false
	old := f.chain.Current()
	if s.MapVersion <= old.Version {
		return
	}
	f.chain = mapper.NewChainFromMap(mapper.NewMap(s.MapVersion, s.Members))
	f.OnMap(old, f.chain.Current(), old.Version != 0)
}

// DueSnapshots returns snapshots of the teams whose latest snapshot in the log is older than age, or that have none.
// They must be appended before the log drops the records that they replace.
func (f *Follower) DueSnapshots(age time.Duration) []merger.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	var rs []merger.Record
	for _, s := range f.tree.Teams() {
		if now.Sub(f.snapshotAt[s.Team]) <= age {
			continue
		}
		if r, ok := f.tree.Snapshot(s.Team); ok {
			r.At = now
			rs = append(rs, r)
		}
	}
	return rs
}

// maxVersionsPerSnapshot is the number of versions after which the fleet map is due for another snapshot.
const maxVersionsPerSnapshot = 256

// DueMapSnapshot returns a snapshot of the fleet map if one should be appended: the latest one that this VM applied
// from the log is older than age, or maxVersionsPerSnapshot or more versions behind.
func (f *Follower) DueMapSnapshot(age time.Duration) (mapper.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.chain.Current()
	if m.Version == 0 {
		return mapper.Change{}, false
	}
	old := f.Clock.Now().Sub(f.fleetSnapshotAt) > age && !f.fleetSnapshotAt.IsZero()
	if !old && m.Version-f.fleetSnapshotVersion < maxVersionsPerSnapshot {
		return mapper.Change{}, false
	}
	return m.Snapshot(), true
}

// Status is the part of the dump that shows the follower.
type Status struct {
	Position
	// Teams holds the version of each team's subtree.
	Teams map[string]uint64 `json:"teams"`
	// LogError is the error of the latest read of the fleet stream, or else of the configuration stream, if it failed.
	LogError string `json:"logError,omitempty"`
}

// Status returns the current status of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Position: Position{f.conf.next, f.fleet.next, f.chain.Current().Version}, Teams: f.Index().Versions}
	for _, p := range []*position{&f.conf, &f.fleet} {
		if p.err != nil {
			s.LogError = p.err.Error()
		}
	}
	return s
}
