package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// beat is the interval of an instance's reports to the store.
const beat = 1500 * time.Millisecond

// run is one run of a request at an instance.
type run struct {
	id, tenant string
	at         time.Time
	// ended is when the instance stopped work on it.
	ended time.Time
}

// instance is a sound instance that runs each request for a time and answers it.
type instance struct {
	id, service, zone string
	at                string
	work              time.Duration
	body              string
	f                 *fleet

	mu   sync.Mutex
	runs []run
}

// newInstance starts an instance that reports itself to the store until the fleet is closed.
func (f *fleet) newInstance(id, service, zone string, work time.Duration) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, service: service, zone: zone, at: l.Addr().String(), work: work, body: "from " + id, f: f}
	s := &http.Server{Handler: i, ReadHeaderTimeout: ready}
	go func() { _ = s.Serve(l) }()
	go i.report(time.Now().UnixMilli())
	return i, nil
}

func (i *instance) report(born int64) {
	for n := int64(1); ; n++ {
		i.f.store.Register(i.id, emulator.Heartbeat{
			Address: i.at, Service: i.service, FailureDomain: i.zone, State: "ready", Slots: 4, SequenceNumber: n, StartedAtMs: born,
		})
		select {
		case <-i.f.stop:
			return
		case <-time.After(beat):
		}
	}
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	i.mu.Lock()
	k := len(i.runs)
	i.runs = append(i.runs, run{id: id, tenant: r.Header.Get("Tenant"), at: at})
	i.mu.Unlock()
	i.f.record.addf("%s runs %s of %q", i.id, id, r.Header.Get("Tenant"))
	dropped := false
	select {
	case <-time.After(i.work):
	case <-r.Context().Done(): // The connection has closed.
		dropped = true
	}
	i.mu.Lock()
	i.runs[k].ended = time.Now()
	i.mu.Unlock()
	if dropped {
		i.f.record.addf("%s drops %s", i.id, id)
		return
	}
	w.Header().Set("Server-Signature", "sig-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(i.body)))
	_, _ = io.WriteString(w, i.body) // The machine may have gone.
}

// executed returns the runs so far.
func (i *instance) executed() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}
