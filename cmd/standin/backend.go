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
	slots       chan struct{}
	latency     time.Duration
	mu          sync.Mutex
	faults      backendFaults
	faultsSetAt time.Time
	runsByJob   map[string]int
	started     int
	requestLog  bytes.Buffer
}

// maxRequestLog is the size of the recorded requests, in bytes, from which on no further ones are recorded.
const maxRequestLog = 4 << 20

// connOpenedKey is the context key of the time at which a connection was accepted.
type connOpenedKey struct{}

func (c backendCommand) Run() error {
	b := newBackend(c.Slots, c.Latency)
	s := &http.Server{
		Addr: c.Listen, Handler: b.handler(), ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpenedKey{}, time.Now())
		},
	}
	return s.ListenAndServe()
}

func newBackend(slots int, latency time.Duration) *backend {
	return &backend{slots: make(chan struct{}, slots), latency: latency, runsByJob: map[string]int{}}
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
	b.faults, b.faultsSetAt = f, time.Now()
}

// stats returns the number of executions in total and per job, and whether any recorded request contains
// the text of the query parameter "text".
func (b *backend) stats(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := r.FormValue("text")
	writeJSON(w, map[string]any{
		"started": b.started, "jobs": b.runsByJob, "seen": text != "" && strings.Contains(b.requestLog.String(), text),
	})
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	f := b.activeFaults()
	if f.Drain {
		w.Header().Set("X-Backend-State", "draining")
	}
	if f.HealthFails {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// activeFaults returns the faults that apply now, which with FlapMs are none in every second period.
func (b *backend) activeFaults() backendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.faults
	if f.FlapMs > 0 && (time.Since(b.faultsSetAt).Milliseconds()/int64(f.FlapMs))%2 == 1 {
		return backendFaults{}
	}
	return f
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	f := b.activeFaults()
	body, _ := io.ReadAll(r.Body)
	b.recordRequest(r, body)
	if state := b.admit(f); state != "" {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Backend-State", state)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.countRun(r)
	if openedAt, _ := r.Context().Value(connOpenedKey{}).(time.Time); f.SilenceOpen && openedAt.Before(b.faultsSetAt) || chance(f.SilentShare) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(r, f) {
		return
	}
	b.respond(w, r, f, body)
}

func (b *backend) admit(f backendFaults) string {
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

func (b *backend) recordRequest(r *http.Request, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requestLog.Len() < maxRequestLog {
		fmt.Fprintf(&b.requestLog, "%s %s %v\n%s\n", r.Method, r.RequestURI, r.Header, body)
	}
}

func (b *backend) countRun(r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started++
	if job := r.Header.Get("X-Job"); job != "" {
		b.runsByJob[job]++
	}
}

// latencySigma is the standard deviation of the natural logarithm of the latency, which is log-normal.
const latencySigma = 0.3

// simulateWork waits for a random processing time and reports false if the caller closed the connection before
// the end.
func (b *backend) simulateWork(r *http.Request, f backendFaults) bool {
	d := float64(b.latency) * math.Exp(latencySigma*rand.NormFloat64())
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

func (b *backend) respond(w http.ResponseWriter, r *http.Request, f backendFaults, body []byte) {
	id := r.Header.Get("X-Request-Id")
	if chance(f.CrossShare) {
		id = "crossed"
	}
	w.Header().Set("X-Request-Id", id)
	if chance(f.FailShare) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s %s %d %s\n", r.Method, r.URL.Path, r.Header.Get("X-Job"), len(body), r.Header.Get("X-Client-Account"))
	if n, _ := strconv.Atoi(r.FormValue("size")); n > 0 {
		text = strings.Repeat("0123456789abcdef", n/16+1)[:n]
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if chance(f.CutShare) {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func chance(share float64) bool { return rand.Float64() < share }
