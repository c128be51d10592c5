package witness

import (
	"net/netip"
	"sync"
	"time"
)

//go:generate go tool enumer -type=Reason -trimprefix=Reason -transform=title-lower -text

// Reason is why a VM is in contact, or that it is not.
type Reason int

// The reasons.
const (
	// ReasonNone means that the VM is not in contact.
	ReasonNone Reason = iota
	// ReasonLog means that the VM read the log to its end itself, and has applied all of it.
	ReasonLog
	// ReasonRelay means that the VM has applied the log up to an end offset that a peer reported.
	ReasonRelay
	// ReasonMajority means that a majority of the peers responds and none of them can read the log.
	ReasonMajority
)

// contact is the latest heartbeat exchanged with a peer, and whether the peer could read the log then.
type contact struct {
	at      time.Time
	logRead bool
}

// Witness records the latest contacts of one VM. It is safe for concurrent use.
type Witness struct {
	mu sync.Mutex
	// bound is how long a contact counts.
	bound time.Duration
	// logBound is how long after a read of the log this VM reports that it can read the log. It
	// is shorter than bound, so that all VMs detect an outage of the log before any of them is out
	// of contact.
	logBound time.Duration
	// log and relay are the times as of which the log was applied to its end, by own reads and as
	// reported by peers.
	log   time.Time
	relay time.Time
	peers map[netip.AddrPort]contact
	// quiet is the set of peers whose majority counts, or nil before the first SetPeers.
	quiet map[netip.AddrPort]bool
}

// New returns a Witness for which a contact counts for the time bound, and that reports that it
// can read the log for the time logBound after a read.
func New(bound, logBound time.Duration) *Witness {
	return &Witness{bound: bound, logBound: logBound, peers: map[netip.AddrPort]contact{}}
}

// Log records that this VM has applied the log up to the end that a read found; the read began at t.
func (w *Witness) Log(t time.Time) { w.advance(&w.log, t) }

// Relay records that this VM has applied the log up to the end offset that a peer reported in reply
// to a heartbeat. The time t is when the heartbeat was sent, minus the age of the offset in the reply.
func (w *Witness) Relay(t time.Time) { w.advance(&w.relay, t) }

func (w *Witness) advance(at *time.Time, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.After(*at) {
		*at = t
	}
}

// Peer records a heartbeat exchanged with the peer at address a. The exchange began at t, and
// readsLog is the peer's ReadsLog.
func (w *Witness) Peer(a netip.AddrPort, t time.Time, readsLog bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[a] = contact{at: t, logRead: readsLog}
}

// SetPeers sets the peers whose majority, in which this VM counts too, must respond while the log
// is unavailable.
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

// Verdict returns why the VM is in contact at now, or ReasonNone.
func (w *Witness) Verdict(now time.Time) Reason {
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

// Age returns the time since this VM was last known to have applied the whole log, or false if it
// never was.
func (w *Witness) Age(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.log
	if w.relay.After(at) {
		at = w.relay
	}
	return now.Sub(at), !at.IsZero()
}

// Fresh reports whether the VM is in contact at now.
func (w *Witness) Fresh(now time.Time) bool { return w.Verdict(now) != ReasonNone }

// ReadsLog reports whether the VM has itself read the log recently. Right after an outage begins,
// it still returns true.
func (w *Witness) ReadsLog(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.log) <= w.logBound
}

// majority reports whether this VM and the peers that responded are more than half of this VM and
// all peers, and none of those that responded can read the log.
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
