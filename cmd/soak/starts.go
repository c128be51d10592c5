package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

const (
	// maxDowntime is the upper bound of the time between the end of a server's process and the start of the next one.
	maxDowntime = 300 * time.Millisecond
	// maxIdleWait is how long a process that does not crash waits for the end of its requests.
	maxIdleWait = 500 * time.Millisecond
	// maxStartsInARow and maxStartPause bound how often, and how soon, a server starts again and again.
	maxStartsInARow = 4
	maxStartPause   = 800 * time.Millisecond
)

// serverStarts are the faults in which backend servers end and start again. They are injected beside the others.
var serverStarts = []fault{
	{"server starts again under another ID", false, func(f *fleet, r *rand.Rand) (func(), string) {
		s := f.randomServer(r)
		if r.IntN(2) == 0 {
			s = f.randomServerOf(serviceVault, r)
		}
		service := s.service
		var before, now []*server
		for range 1 + r.IntN(maxStartsInARow) {
			next := f.startAgain(s, f.nextID(), service, r)
			if next == nil {
				break
			}
			before, now = append(before, s), append(now, next)
			next.refuse(r)
			s = next
			time.Sleep(time.Duration(r.Int64N(int64(maxStartPause))))
		}
		return func() {
			for _, s := range before {
				f.removeEntry(s.ID)
			}
			for _, s := range now {
				s.refuseNoMore()
			}
		}, describeStarts(before, s)
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

// describeStarts names the servers that ended one after another, and the one that runs.
func describeStarts(before []*server, now *server) string {
	var b strings.Builder
	for _, s := range before {
		b.WriteString(s.ID + ", ")
	}
	return b.String() + now.ID
}

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

// randomServerOf returns a random server of a service, or of any if none is of it.
func (f *fleet) randomServerOf(service string, r *rand.Rand) *server {
	ss := slices.DeleteFunc(f.runningServers(), func(s *server) bool { return s.service != service })
	if len(ss) == 0 {
		return f.randomServer(r)
	}
	return ss[r.IntN(len(ss))]
}

// nextID returns an ID that no server had before.
func (f *fleet) nextID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint("again-", f.starts+1)
}

// startAgain ends the process of a server, which crashes or is idle, and starts one with an ID at the same address. The entry of
// before stays as it is. It returns the new server; nil if the process has already ended.
func (f *fleet) startAgain(s *server, id, service string, r *rand.Rand) *server {
	in, err := emulator.NewInstance(id)
	if err != nil {
		return nil
	}
	next := f.newServer(in, s.proxy, s.domain, service, r.Uint64())
	f.mu.Lock()
	i := slices.Index(f.servers, s)
	if i >= 0 {
		f.servers[i] = next
	}
	f.mu.Unlock()
	if i < 0 {
		in.Close()
		return nil
	}
	crashes := r.IntN(2) == 0
	if !crashes {
		s.awaitIdle()
	}
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.SetBehavior(emulator.Reset)
	s.Close()
	if crashes {
		s.proxy.setTarget("")
		time.Sleep(time.Duration(r.Int64N(int64(maxDowntime))))
	}
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
