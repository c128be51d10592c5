package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["entry"] = playEntry }

// stranger is a server that is no instance: it has none of the paths that it is asked for.
type stranger struct {
	record *record
	mu     sync.Mutex
	ids    map[string]bool
}

// ServeHTTP implements http.Handler.
func (s *stranger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.ids[id] = true
	s.mu.Unlock()
	s.record.printf("stranger: got %s %s with id %s of tenant %q", r.Method, r.RequestURI, id, r.Header.Get("Tenant"))
	http.NotFound(w, r)
}

// playEntry lets another writer leave one entry that lacks fields among those of the instances.
func playEntry(root string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(root, rec, 3, 8, 4, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer d.stop()
	s := &stranger{record: rec, ids: map[string]bool{}}
	at, err := net.Listen("tcp", d.storeIP+":0")
	if err != nil {
		return false, err
	}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}).Serve(at) }()
	d.publish()
	if err := d.start(); err != nil {
		return false, err
	}
	l := d.newLoad(func() request {
		if rand.IntN(2) == 0 {
			return lookup
		}
		return dispatch
	})
	l.run(60, 4*time.Second)
	if trouble {
		e := fmt.Sprintf(`{"Address":%q,"ServerInfo":{"Service":"ledger","Zone":%q,"Slots":4},"Status":{"State":"ready","SequenceNumber":1}}`, at.Addr(), zones[0])
		d.store.Put("keyed.servers", "x-1", []byte(e))
		rec.printf("store: another writer left the entry x-1: %s", e)
	}
	l.run(60, 30*time.Second)
	time.Sleep(2 * time.Second)
	return checkDenied(rec, l.sentSoFar(), s, d.instances), nil
}

// checkDenied checks DENIED: no more than 5 + one in 500 of all requests, which all are proper and allowed by the only
// configuration, end with a 3xx or 4xx (other than 408, 421, 429) that no instance gave.
func checkDenied(rec *record, out []sent, s *stranger, instances []*instance) bool {
	ran := map[string]bool{}
	for _, i := range instances {
		for _, a := range i.arrivals() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	denied, failed := 0, 0
	for _, o := range out {
		switch {
		case o.status >= 300 && o.status < 500 && o.status != 408 && o.status != 421 && o.status != 429 && !o.signed:
			denied++
			rec.printf("DENIED: %s was answered %d, ran at an instance: %v, went to the stranger: %v", o.id, o.status, ran[o.id], s.ids[o.id])
		case o.status != 200:
			failed++
		}
	}
	allowed := 5 + len(out)/500
	rec.verdict("DENIED: of %d requests %d were denied with an answer that no instance gave, allowed are %d; %d reached the stranger; %d failed otherwise", len(out), denied, allowed, len(s.ids), failed)
	return denied > allowed
}
