package follower

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// Relay returns the records of a stream from an offset on for a peer, and false if
// they are not kept any more.
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

// ApplyRelayed takes records that a peer relayed; those that do not come next are ignored.
func (f *Follower) ApplyRelayed(stream string, es []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.position(stream); p.begun {
		f.apply(stream, p, es)
	}
}

// State is all that a VM has applied, for a peer that lacks too much to be sent records.
type State struct {
	Configuration merger.State
	MapVersion    uint64
	Members       []mapper.Member
	FleetNext     uint64
}

// State returns all that is applied.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.chain.Current()
	return State{f.tree.State(), m.Version, m.Members(), f.fleet.next}
}

// Encode returns the state as bytes.
func (s State) Encode() ([]byte, error) { return json.Marshal(s) }

// Restore takes the state of a peer where it is newer than this VM's.
func (f *Follower) Restore(b []byte) error {
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "state of a peer")
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
	if s.FleetNext > f.fleet.next || f.lost && s.FleetNext == f.fleet.next {
		f.restoreMap(s)
	}
	f.conf.begun, f.fleet.begun = true, true
	return nil
}

func (f *Follower) restoreMap(s State) {
	f.fleet.next = s.FleetNext
	f.fleet.tail.reset()
	f.lost = false
	old := f.chain.Current()
	if s.MapVersion <= old.Version {
		return
	}
	f.chain = mapper.NewChainFromMap(mapper.NewMap(s.MapVersion, s.Members))
	f.OnMap(old, f.chain.Current(), old.Version != 0)
}

// Due returns the records that should be written again because the log may soon drop
// the ones they repeat: those not written for longer than age.
func (f *Follower) Due(age time.Duration) []merger.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	var rs []merger.Record
	for _, s := range f.tree.Teams() {
		if now.Sub(f.written[s.Team]) <= age {
			continue
		}
		if r, ok := f.tree.Snapshot(s.Team); ok {
			r.At = now
			rs = append(rs, r)
		}
	}
	return rs
}

// maxDeltas is how many changes of the fleet map may follow a whole one.
const maxDeltas = 256

// DueMap returns a snapshot of the fleet map if it should be written again.
func (f *Follower) DueMap(age time.Duration) (mapper.Change, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.chain.Current()
	if m.Version == 0 {
		return mapper.Change{}, false
	}
	old := f.Clock.Now().Sub(f.fleetAt) > age && !f.fleetAt.IsZero()
	if !old && m.Version-f.fleetWritten < maxDeltas {
		return mapper.Change{}, false
	}
	return m.Snapshot(), true
}

// Status is what a dump shows of the follower.
type Status struct {
	Position
	Teams    map[string]uint64 `json:"teams"`
	LogError string            `json:"logError,omitempty"`
}

// Status returns the follower's state.
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
