package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// run is one request that arrived at an instance.
type run struct {
	id, instance, tenant string
	at                   time.Time
	// ran is false if the instance rejected the request.
	ran bool
}

// instance is a sound instance of a service.
type instance struct {
	id, zone string
	slots    int
	work     time.Duration
	// cut is closed when the instance is cut off from the store.
	cut chan struct{}
	// workOf is the work of requests with a path of their own.
	workOf  map[string]time.Duration
	record  *record
	server  *http.Server
	address string
	born    time.Time

	mu      sync.Mutex
	busy    int
	leaving bool
	seq     int64
	runs    []run
}

// startInstance starts an instance that serves on a free port of an address.
func startInstance(rec *record, ip, id, zone string, slots int, work time.Duration) (*instance, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, zone: zone, slots: slots, work: work, record: rec, address: l.Addr().String(), born: time.Now(), cut: make(chan struct{})}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }()
	return i, nil
}

// heartbeat writes the instance's entry.
func (i *instance) heartbeat(s *emulator.Store, state string) {
	i.mu.Lock()
	i.seq++
	n := i.seq
	i.mu.Unlock()
	s.Register(i.id, emulator.Heartbeat{
		Address: i.address, Service: service, FailureDomain: i.zone, State: state, Slots: i.slots, SequenceNumber: n, StartedAtMs: i.born.UnixMilli(),
	})
}

// beat writes the instance's entry every 1.5 s until stop or cut is closed.
func (i *instance) beat(s *emulator.Store, stop <-chan struct{}) {
	for {
		i.heartbeat(s, "ready")
		select {
		case <-stop:
			return
		case <-i.cut:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// setLeaving makes all further answers say that the instance leaves.
func (i *instance) setLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	e := run{id: id, instance: i.id, tenant: r.Header.Get("Tenant"), at: time.Now()}
	if x := r.Header.Get("Expected-Instance"); x != "" && x != i.id {
		h.Set("Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	if i.leaving {
		h.Set("Server-Leaving", "1")
	}
	e.ran = i.busy < 4*i.slots
	if e.ran {
		i.busy++
	}
	wait := i.work
	if d, ok := i.workOf[r.URL.Path]; ok {
		wait = d
	}
	if i.busy > i.slots {
		wait = wait * time.Duration(i.busy) / time.Duration(i.slots)
	}
	i.runs = append(i.runs, e)
	leaving := i.leaving
	i.mu.Unlock()
	if !e.ran {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.record.printf("%s: runs %s of tenant %s, leaving=%v", i.id, id, e.tenant, leaving)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	time.Sleep(wait)
	i.mu.Lock()
	i.busy--
	i.mu.Unlock()
	answer := fmt.Sprintf("%s %s %s %d", i.id, r.Method, r.RequestURI, len(body))
	h.Set("Server-Signature", "sig-"+i.id+"-"+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// arrivals returns what arrived so far.
func (i *instance) arrivals() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}
