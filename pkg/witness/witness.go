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
	at       time.Time
	readsLog bool
}

// Witness records the latest contacts of one VM. It is safe for concurrent use.
type Witness struct {
	mu sync.Mutex
	// maxContactAge is how long a contact counts.
	maxContactAge time.Duration
	// maxLogReadAge is how long after a read of the log this VM reports that it can read the log.
	// It is shorter than maxContactAge, so that all VMs detect an outage of the log before any of
	// them is out of contact.
	maxLogReadAge time.Duration
	// logAt and relayAt are the times as of which the log was applied to its end, by own reads and
	// as reported by peers.
	logAt   time.Time
	relayAt time.Time
	peers   map[netip.AddrPort]contact
	// expected is the set of peers whose majority counts, or nil before the first SetPeers.
	expected map[netip.AddrPort]bool
}

// New returns a Witness for which a contact counts for the time maxContactAge, and that reports
// that it can read the log for the time maxLogReadAge after a read.
func New(maxContactAge, maxLogReadAge time.Duration) *Witness {
	return &Witness{maxContactAge: maxContactAge, maxLogReadAge: maxLogReadAge, peers: map[netip.AddrPort]contact{}}
}

// ObserveLog records that this VM has applied the log up to the end that a read found; the read
// began at t.
func (w *Witness) ObserveLog(t time.Time) { w.advance(&w.logAt, t) }

// ObserveRelay records that this VM has applied the log up to the end offset that a peer reported in
// reply to a heartbeat. The time t is when the heartbeat was sent, minus the age of the offset in
// the reply.
func (w *Witness) ObserveRelay(t time.Time) { w.advance(&w.relayAt, t) }

func (w *Witness) advance(at *time.Time, t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.After(*at) {
		*at = t
	}
}

// ObservePeer records a heartbeat exchanged with the peer at address a. The exchange began at t, and
// readsLog is the peer's ReadsLog.
func (w *Witness) ObservePeer(a netip.AddrPort, t time.Time, readsLog bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[a] = contact{at: t, readsLog: readsLog}
}

// SetPeers sets the peers whose majority, in which this VM counts too, must respond while the log
// is unavailable.
func (w *Witness) SetPeers(as []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected = make(map[netip.AddrPort]bool, len(as))
	for _, a := range as {
		w.expected[a] = true
	}
	for a := range w.peers {
		if !w.expected[a] {
			delete(w.peers, a)
		}
	}
}

// Reason returns why the VM is in contact at now, or ReasonNone.
func (w *Witness) Reason(now time.Time) Reason {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case now.Sub(w.logAt) <= w.maxContactAge:
		return ReasonLog
	case now.Sub(w.relayAt) <= w.maxContactAge:
		return ReasonRelay
	case w.majority(now):
		return ReasonMajority
	}
	return ReasonNone
}

// LogAge returns the time since this VM was last known to have applied the whole log, or false if it
// never was.
func (w *Witness) LogAge(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.logAt
	if w.relayAt.After(at) {
		at = w.relayAt
	}
	return now.Sub(at), !at.IsZero()
}

// InContact reports whether the VM is in contact at now.
func (w *Witness) InContact(now time.Time) bool { return w.Reason(now) != ReasonNone }

// ReadsLog reports whether the VM has itself read the log recently. Right after an outage begins,
// it still returns true.
func (w *Witness) ReadsLog(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.logAt) <= w.maxLogReadAge
}

// majority reports whether this VM and the peers that responded are more than half of this VM and
// all peers, and none of those that responded can read the log.
func (w *Witness) majority(now time.Time) bool {
	n := 1
	for a, c := range w.peers {
		if !w.expected[a] || now.Sub(c.at) > w.maxContactAge {
			continue
		}
		if c.readsLog {
			return false
		}
		n++
	}
	return w.expected != nil && 2*n > len(w.expected)+1
}
