package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type backendCommand struct {
	Listen  string        `required:"" help:"Address of the backend server."`
	Slots   int           `default:"4" help:"Requests run at once."`
	Latency time.Duration `default:"20ms" help:"Median time of a request."`
}

// backendFaults are the faults that a backend server simulates. The health endpoint keeps answering 200,
// unless HealthFails is set.
type backendFaults struct {
	SlowFactor  float64 `json:"slowFactor"`
	FailShare   float64 `json:"failShare"`
	SilentShare float64 `json:"silentShare"`
	CutShare    float64 `json:"cutShare"`
	CrossShare  float64 `json:"crossShare"`
	// FlapMs turns the faults on and off in turn, each for this many milliseconds; zero leaves them on.
	FlapMs int `json:"flapMs"`
	// SilenceOpen leaves requests unanswered on connections that were opened before the faults were set.
	SilenceOpen bool `json:"silenceOpen"`
	Drain       bool `json:"drain"`
	Shed        bool `json:"shed"`
	HealthFails bool `json:"healthFails"`
}

type backend struct {
	slots   chan struct{}
	latency time.Duration
	mu      sync.Mutex
	faults  backendFaults
	setAt   time.Time
	runs    map[string]int
	started int
	seen    bytes.Buffer
}

// maxSeen is the size of the recorded request text, in bytes, from which on no further requests are recorded.
const maxSeen = 4 << 20

// connBorn is the context key of the time at which a connection was accepted.
type connBorn struct{}

func (c backendCommand) Run() error {
	b := newBackend(c.Slots, c.Latency)
	s := &http.Server{
		Addr: c.Listen, Handler: b.handler(), ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connBorn{}, time.Now())
		},
	}
	return s.ListenAndServe()
}

func newBackend(slots int, latency time.Duration) *backend {
	return &backend{slots: make(chan struct{}, slots), latency: latency, runs: map[string]int{}}
}

func (b *backend) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT /faults", b.setFaults)
	m.HandleFunc("GET /runs", b.stats)
	m.HandleFunc("GET /health", b.health)
	m.HandleFunc("/", b.serve)
	return m
}

func (b *backend) setFaults(w http.ResponseWriter, r *http.Request) {
	var f backendFaults
	if !readJSON(w, r, &f) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults, b.setAt = f, time.Now()
}

// stats returns the number of executions in total and per job, and whether any recorded request contains
// the text of the query parameter "text".
func (b *backend) stats(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := r.FormValue("text")
	writeJSON(w, map[string]any{
		"started": b.started, "jobs": b.runs, "seen": text != "" && strings.Contains(b.seen.String(), text),
	})
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	f := b.current()
	if f.Drain {
		w.Header().Set("X-Backend-State", "draining")
	}
	if f.HealthFails {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// current returns the faults that apply now, which with FlapMs are none in every second period.
func (b *backend) current() backendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults
	if f.FlapMs > 0 && (time.Since(b.setAt).Milliseconds()/int64(f.FlapMs))%2 == 1 {
		return backendFaults{}
	}
	return f
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	f := b.current()
	body, _ := io.ReadAll(r.Body)
	b.remember(r, body)
	if state := b.refuses(f); state != "" {
		w.Header().Set("X-Backend-State", state)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.run(r)
	if born, _ := r.Context().Value(connBorn{}).(time.Time); f.SilenceOpen && born.Before(b.setAt) || hit(f.SilentShare) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !b.work(r, f) {
		return
	}
	b.answer(w, r, f, body)
}

func (b *backend) refuses(f backendFaults) string {
	if f.Drain {
		return "draining"
	}
	if f.Shed {
		return "shedding"
	}
	select {
	case b.slots <- struct{}{}:
		return ""
	default:
		return "shedding"
	}
}

func (b *backend) remember(r *http.Request, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen.Len() < maxSeen {
		fmt.Fprintf(&b.seen, "%s %s %v\n%s\n", r.Method, r.RequestURI, r.Header, body)
	}
}

func (b *backend) run(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started++
	if job := r.Header.Get("X-Job"); job != "" {
		b.runs[job]++
	}
}

// spread is the standard deviation of the natural logarithm of the latency, which is log-normal.
const spread = 0.3

// work waits for a random processing time and reports false if the caller closed the connection before its end.
func (b *backend) work(r *http.Request, f backendFaults) bool {
	d := float64(b.latency) * math.Exp(spread*rand.NormFloat64())
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	t := time.NewTimer(time.Duration(d))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *backend) answer(w http.ResponseWriter, r *http.Request, f backendFaults, body []byte) {
	id := r.Header.Get("X-Request-Id")
	if hit(f.CrossShare) {
		id = "crossed"
	}
	w.Header().Set("X-Request-Id", id)
	if hit(f.FailShare) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s %s %d %s\n", r.Method, r.URL.Path, r.Header.Get("X-Job"), len(body), r.Header.Get("X-Client-Account"))
	if n, _ := strconv.Atoi(r.FormValue("size")); n > 0 {
		text = strings.Repeat("0123456789abcdef", n/16+1)[:n]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if hit(f.CutShare) {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func hit(share float64) bool { return rand.Float64() < share }
