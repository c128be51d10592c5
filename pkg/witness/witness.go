package witness

import (
	"net/netip"
	"sync"
	"time"
)

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=title-lower -text

// Reason says why a VM is in contact, or that it is not.
type Reason int

// The reasons for a verdict.
const (
	// ReasonNone means that the VM is not in contact.
	ReasonNone Reason = iota
	// ReasonLog means that the VM read the log's tip itself, and has applied it.
	ReasonLog
	// ReasonRelay means that a peer relayed a tip, and the VM has applied it.
	ReasonRelay
	// ReasonMajority means that most peers answer and none of them can read the log.
	ReasonMajority
)

type contact struct {
	at      time.Time
	logRead bool
}

// Witness keeps the latest contacts of one VM. It is safe for concurrent use.
type Witness struct {
	mu    sync.Mutex
	bound time.Duration
	// logBound is how old the log's end may be for this VM to say that it can read the log. It
	// is shorter than bound, so that an outage is known to all before any is out of contact.
	logBound time.Duration
	log      time.Time
	relay    time.Time
	peers    map[netip.AddrPort]contact
	quiet    map[netip.AddrPort]bool
}

// New returns a Witness for which a contact counts for bound, and that says it can read the log
// for logBound after it did.
func New(bound, logBound time.Duration) *Witness {
	return &Witness{bound: bound, logBound: logBound, peers: map[netip.AddrPort]contact{}}
}

// ObserveLog records that everything up to a tip read from the log is applied; the read began at t.
func (w *Witness) ObserveLog(t time.Time) { w.advance(&w.log, t) }

// ObserveRelay records that everything up to a tip relayed by a peer is applied. The
// time t is when the heartbeat that brought it was sent for, less the tip's age.
func (w *Witness) ObserveRelay(t time.Time) { w.advance(&w.relay, t) }

func (w *Witness) advance(at *time.Time, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.After(*at) {
		*at = t
	}
}

// ObservePeer records a heartbeat exchanged with a peer: begun at t, and whether the
// peer has read the log within the bound.
func (w *Witness) ObservePeer(a netip.AddrPort, t time.Time, readsLog bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[a] = contact{at: t, logRead: readsLog}
}

// SetPeers names the peers of which more than half must answer while the log is away.
func (w *Witness) SetPeers(as []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = make(map[netip.AddrPort]bool, len(as))
	for _, a := range as {
		w.quiet[a] = true
	}
	for a := range w.peers {
		if !w.quiet[a] {
			delete(w.peers, a)
		}
	}
}

// Reason returns why the VM is in contact at now, or ReasonNone.
func (w *Witness) Reason(now time.Time) Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case now.Sub(w.log) <= w.bound:
		return ReasonLog
	case now.Sub(w.relay) <= w.bound:
		return ReasonRelay
	case w.majority(now):
		return ReasonMajority
	}
	return ReasonNone
}

// LogAge returns how long ago this VM was last sure to have applied all of the log, and false if never.
func (w *Witness) LogAge(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.log
	if w.relay.After(at) {
		at = w.relay
	}
	return now.Sub(at), !at.IsZero()
}

// InContact reports whether the VM is in contact at now.
func (w *Witness) InContact(now time.Time) bool { return w.Reason(now) != ReasonNone }

// ReadsLog reports whether the VM itself can read the log, as far as it knows.
func (w *Witness) ReadsLog(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.log) <= w.logBound
}

// majority counts this VM among the peers.
func (w *Witness) majority(now time.Time) bool {
	n := 1
	for a, c := range w.peers {
		if !w.quiet[a] || now.Sub(c.at) > w.bound {
			continue
		}
		if c.logRead {
			return false
		}
		n++
	}
	return w.quiet != nil && 2*n > len(w.quiet)+1
}
