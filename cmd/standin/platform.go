package main

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/watcher"
)

type platformCommand struct {
	Listen string `required:"" help:"Address of the service."`
}

// platformFaults are the faults that the platform simulates.
type platformFaults struct {
	// Outage makes all requests to the log and the VM list fail with 503.
	Outage bool `json:"outage"`
	// LoseAnswers makes appends take effect but aborts the connection instead of responding.
	LoseAnswers bool `json:"loseAnswers"`
	// DelayMs delays each request, in milliseconds.
	DelayMs int `json:"delayMs"`
	// Retention is the number of records that a stream keeps; zero keeps all.
	Retention int `json:"retention"`
	// LagMs delays the publication of a new VM list, in milliseconds.
	LagMs int `json:"lagMs"`
}

type stream struct {
	first    uint64
	entries  []follower.Entry
	appended chan struct{}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.entries)) }

type platform struct {
	mu       sync.Mutex
	faults   platformFaults
	streams  map[string]*stream
	machines []watcher.VM
	tag      int
}

func (c platformCommand) Run() error {
	p := &platform{streams: map[string]*stream{}}
	return (&http.Server{Addr: c.Listen, Handler: p.handler(), ReadHeaderTimeout: time.Second}).ListenAndServe()
}

func (p *platform) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /streams/{name}", p.withFaults(p.append))
	m.HandleFunc("GET /streams/{name}", p.withFaults(p.read))
	m.HandleFunc("GET /machines", p.withFaults(p.listMachines))
	m.HandleFunc("PUT /machines", p.setMachines)
	m.HandleFunc("PUT /faults", p.setFaults)
	return m
}

func (p *platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f platformFaults
	if !readJSON(w, r, &f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	for _, s := range p.streams {
		p.trim(s)
		// Wake waiting readers, so that an outage fails their requests too.
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

func (p *platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *platform) trim(s *stream) {
	if n := len(s.entries) - p.faults.Retention; p.faults.Retention > 0 && n > 0 {
		s.entries = slices.Clone(s.entries[n:])
		s.first += uint64(n)
	}
}

func (p *platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxControlBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	s := p.stream(r.PathValue("name"))
	offset := s.next()
	s.entries = append(s.entries, follower.Entry{Offset: offset, Data: data})
	p.trim(s)
	close(s.appended)
	s.appended = make(chan struct{})
	loseAnswer := p.faults.LoseAnswers
	p.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": offset})
}

func (p *platform) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	end := time.After(wait)
	for waited := false; ; waited = true {
		p.mu.Lock()
		s := p.stream(r.PathValue("name"))
		b := follower.Batch{First: s.first, Next: s.next(), Entries: []follower.Entry{}}
		if from < b.Next {
			b.Entries = s.entries[max(from, s.first)-s.first:]
		}
		appended, outage := s.appended, p.faults.Outage
		p.mu.Unlock()
		if outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if len(b.Entries) > 0 || wait == 0 || waited && wait < 0 {
			writeJSON(w, b)
			return
		}
		select {
		case <-appended:
		case <-end:
			wait = -1
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) listMachines(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tag := strconv.Itoa(p.tag)
	ms := p.machines
	if r.FormValue("tag") == tag {
		ms = nil
	}
	writeJSON(w, map[string]any{"tag": tag, "machines": ms})
}

func (p *platform) setMachines(w http.ResponseWriter, r *http.Request) {
	var ms []watcher.VM
	if !readJSON(w, r, &ms) {
		return
	}
	p.mu.Lock()
	lag := time.Duration(p.faults.LagMs) * time.Millisecond
	p.mu.Unlock()
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.machines = ms
		p.tag++
	})
}
