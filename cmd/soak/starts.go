package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

const (
	// maxDowntime is the upper bound of the time between the end of a server's process and the start of the next one.
	maxDowntime = 300 * time.Millisecond
	// addressReuse is the shortest time between the end of a server and the start of one of another service at its address, and
	// minServers is how many servers a service keeps.
	addressReuse = 2 * time.Second
	minServers   = 2
	// maxSilence is the time without heartbeats after which an entry is removed.
	maxSilence = 3 * heartbeatInterval
	// maxIdleWait is how long a process that does not crash waits for the end of its requests.
	maxIdleWait = 500 * time.Millisecond
	// maxStartsInARow and maxStartPause bound how often, and how soon, a server starts again and again.
	maxStartsInARow = 4
	maxStartPause   = 800 * time.Millisecond
)

// serverStarts are the faults in which backend servers end and start again. They are injected beside the others. Most starts have
// another ID.
var serverStarts = []fault{
	startsUnderAnotherID, startsUnderAnotherID, startsUnderAnotherID,
	{"server's address goes to another service", false, func(f *fleet, r *rand.Rand) (func(), string) {
		from, to := serviceLedger, serviceArchive
		if r.IntN(2) == 0 {
			from, to = to, from
		}
		s := f.randomServerOf(from, r)
		if s.service != from || f.countServers(from) <= minServers {
			return noop, "none"
		}
		next := f.startAgain(s, f.nextID(), to, r)
		if next == nil {
			return noop, "none"
		}
		next.refuse(r)
		return next.refuseNoMore, s.ID + ", " + next.ID + " of " + to
	}},
	{"server starts again under its ID", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		next := f.startAgain(s, s.ID, s.service, r)
		if next == nil {
			return noop, "none"
		}
		next.refuse(r)
		return next.refuseNoMore, s.ID
	}},
}

var startsUnderAnotherID = fault{"server starts again under another ID", false, func(f *fleet, r *rand.Rand) (func(), string) {
	s := f.randomServer(r)
	if r.IntN(3) > 0 {
		s = f.randomServerOf(serviceVault, r)
	}
	ids := s.ID
	for range 1 + r.IntN(maxStartsInARow) {
		next := f.startAgain(s, f.nextID(), s.service, r)
		if next == nil {
			break
		}
		next.refuse(r)
		s = next
		ids += ", " + s.ID
		time.Sleep(time.Duration(r.Int64N(int64(maxStartPause))))
	}
	return s.refuseNoMore, ids
}}

// refuse lets a server refuse a random share of its requests, and copy a random share of its refusals.
func (s *server) refuse(r *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusalCopyShare = 1 - r.Float64()/2
	if r.IntN(2) == 0 {
		s.shedShare, s.pauseShare = r.Float64()/2, r.Float64()/50
	}
}

func (s *server) refuseNoMore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusalCopyShare, s.shedShare, s.pauseShare = 0, 0, 0
}

// countServers returns the number of running servers of a service.
func (f *fleet) countServers(service string) (n int) {
	for _, s := range f.runningServers() {
		if s.service == service {
			n++
		}
	}
	return n
}

// randomServerOf returns a random server of a service, or of any if none is of it.
func (f *fleet) randomServerOf(service string, r *rand.Rand) *server {
	ss := slices.DeleteFunc(f.runningServers(), func(s *server) bool { return s.service != service })
	if len(ss) == 0 {
		return f.randomServer(r)
	}
	return ss[r.IntN(len(ss))]
}

// nextID returns an ID that no server had before.
func (f *fleet) nextID() string { return fmt.Sprint("again-", f.newIDs.Add(1)) }

// startAgain ends the process of a server, which crashes or is idle, and starts one with an ID at the same address. The entry of
// before lapses, or is removed earlier. It returns the new server; nil if the process has already ended.
func (f *fleet) startAgain(s *server, id, service string, r *rand.Rand) *server {
	in, err := emulator.NewInstance(id)
	if err != nil {
		return nil
	}
	downtime := time.Duration(max(0, r.Int64N(2*int64(maxDowntime))-int64(maxDowntime)))
	if service != s.service {
		downtime += addressReuse
	}
	if downtime == 0 {
		s.awaitIdle()
	}
	s.mu.Lock()
	ended := s.ended
	s.ended = true
	s.mu.Unlock()
	if ended {
		in.Close()
		return nil
	}
	s.SetBehavior(emulator.Reset)
	s.Close()
	if id != s.ID {
		listed := maxSilence - time.Duration(r.Int64N(int64(heartbeatInterval)))
		if r.IntN(4) == 0 {
			listed = time.Duration(r.Int64N(int64(listed)))
		}
		time.AfterFunc(listed, func() { f.removeEntry(s.ID) })
	}
	if downtime > 0 {
		s.proxy.setTarget("")
		time.Sleep(downtime)
	}
	next := f.newServer(in, s.proxy, s.domain, service, r.Uint64())
	f.mu.Lock()
	f.servers[slices.Index(f.servers, s)] = next
	f.mu.Unlock()
	s.proxy.setTarget(in.Address().String())
	f.heartbeat(next)
	return next
}

// awaitIdle waits for a moment without a request at a server.
func (s *server) awaitIdle() {
	for until := time.Now().Add(maxIdleWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		idle := s.atWork == 0
		s.mu.Unlock()
		if idle {
			return
		}
	}
}

// removeEntry removes the entry of a server that will not run again.
func (f *fleet) removeEntry(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endedIDs = append(f.endedIDs, id)
	f.store.Put(topicRegistry, id, nil)
}

// removeEndedEntries removes the entries that a restored store has again.
func (f *fleet) removeEndedEntries() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.endedIDs {
		f.store.Put(topicRegistry, id, nil)
	}
}
