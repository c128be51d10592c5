package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// The names that the platform's protocol fixes, and the soak's own.
const (
	topicConfiguration = "keyed.op"
	topicRegistry      = "keyed.servers"
	host               = "soak.example"
	beatPeriod         = 1500 * time.Millisecond
	// workTime is how long a request runs at a backend server at most.
	workTime = 60 * time.Millisecond
)

// domains are the failure domains of daemons and backend servers, in turn.
var domains = []string{"a", "b", "c"}

// daemon is one address at which daemons run, one after the other.
type daemon struct {
	index   int
	binary  string
	work    string
	storeBy *proxy

	mu      sync.Mutex
	process *os.Process
	// starts counts the processes; stopping says that the current one was asked to stop.
	starts   int
	stopping bool
	ended    chan struct{}
}

func (d *daemon) ip() string      { return fmt.Sprintf("127.0.5.%d", d.index) }
func (d *daemon) callers() string { return d.ip() + ":8405" }

// run names the current process.
func (d *daemon) run() (name string, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("daemon %d run %d", d.index, d.starts), d.stopping
}

// start starts a process, if none runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		return nil
	}
	path := filepath.Join(d.work, fmt.Sprintf("daemon-%d.json", d.index))
	out, err := os.OpenFile(filepath.Join(d.work, fmt.Sprintf("daemon-%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	cmd := exec.Command(d.binary, "gateway", "--settings", path) //nolint:gosec // The program is what is tested.
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	d.starts++
	d.process, d.stopping, d.ended = cmd.Process, false, make(chan struct{})
	ended := d.ended
	go func() {
		_ = cmd.Wait() // How it ended shows in the log.
		_ = out.Close()
		d.mu.Lock()
		d.process = nil
		d.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the current process, and returns a channel that is closed when that has ended.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	d.stopping = d.stopping || s == syscall.SIGTERM
	_ = d.process.Signal(s) // It may just have ended.
	return d.ended
}

// server is a backend server behind a proxy.
type server struct {
	*emulator.Instance
	proxy  *proxy
	domain string

	mu      sync.Mutex
	state   string
	born    int64
	beats   int64
	fail    float64
	shed    float64
	hang    float64
	cutting float64
	slow    time.Duration
}

// fleet is all that a soak runs.
type fleet struct {
	checker *checker
	store   *emulator.Store
	daemons []*daemon
	servers []*server

	mu      sync.Mutex
	version int
	// keys are those of each client account.
	keys map[string][]string
	// ackedAt is when the newest configuration was accepted.
	ackedAt time.Time
}

func newFleet(c *checker, o options, r *rand.Rand) (*fleet, error) {
	f := &fleet{checker: c, store: emulator.NewStore(), keys: map[string][]string{}}
	l, err := net.Listen("tcp", "127.0.6.250:9100")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	s := &http.Server{Handler: f.store, ReadHeaderTimeout: keyAge}
	go func() { _ = s.Serve(l) }() // It ends with the program.
	for i := range o.Servers {
		if err := f.addServer(i, r.Uint64()); err != nil {
			return nil, err
		}
	}
	for a := range accounts {
		f.keys[a] = []string{"key-" + a}
	}
	f.configure()
	for i := range o.Daemons {
		if err := f.addDaemon(i+1, o); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addDaemon(i int, o options) error {
	p, err := newProxy(fmt.Sprintf("127.0.6.%d:9100", i), "127.0.6.250:9100")
	if err != nil {
		return err
	}
	d := &daemon{index: i, binary: o.Binary, work: o.Work, storeBy: p}
	b, err := json.Marshal(map[string]any{
		"NodeName": fmt.Sprint("daemon-", i), "IpAddress": d.ip(), "Zone": domains[i%len(domains)],
		"ListenAddresses":   map[string]string{"Front": d.callers(), "Readiness": d.ip() + ":8406", "Directory": d.ip() + ":8404"},
		"InternalPortRange": []int{7660, 7675},
		"Limits":            map[string]any{"CpuShare": 0.5, "MemoryMb": 256, "FileDescriptors": 4096, "LinkMbps": 1000},
		"Bounds":            []string{"RevocationS=5", "GracePeriodS=6", "QuotaWindowS=5"},
		"Platform":          map[string]string{"Address": p.listener.Addr().String()},
	})
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := os.WriteFile(filepath.Join(o.Work, fmt.Sprintf("daemon-%d.json", i)), b, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	f.daemons = append(f.daemons, d)
	return nil
}

func (f *fleet) addServer(i int, seed uint64) error {
	in, err := emulator.NewInstance(fmt.Sprint("i-", i+1))
	if err != nil {
		return err
	}
	p, err := newProxy("127.0.0.1:0", in.Address().String())
	if err != nil {
		return err
	}
	s := &server{Instance: in, proxy: p, domain: domains[i%len(domains)], state: "ready", born: time.Now().UnixMilli()}
	r := rand.New(rand.NewPCG(seed, 1))
	in.SetBehavior(func(c net.Conn, req *http.Request, in *emulator.Instance) { f.serve(s, r, c, req, in) })
	f.servers = append(f.servers, s)
	f.beat(s)
	return nil
}

// serve handles a request as a backend server with the troubles of the moment.
func (f *fleet) serve(s *server, r *rand.Rand, c net.Conn, req *http.Request, in *emulator.Instance) {
	s.mu.Lock()
	x, work := r.Float64(), s.slow+time.Duration(r.Int64N(int64(workTime)))
	fail, shed, hang, cutting := s.fail, s.shed, s.hang, s.cutting
	s.mu.Unlock()
	if x < shed {
		emulator.Shed(c, req, in)
		return
	}
	id := req.Header.Get("Request-Id")
	f.checker.ran(id, req.Header.Get("Tenant"), req.Header.Get("X-Api-Key"), s.ID, time.Now())
	time.Sleep(work)
	switch {
	case x < shed+fail:
		emulator.Fail(c, req, in)
	case x < shed+fail+hang:
		emulator.Hang(c, req, in)
	case x < shed+fail+hang+cutting:
		emulator.Truncate(c, req, in)
	default:
		emulator.Answer(c, req, in)
	}
}

// beat writes what a server says of itself to the registry.
func (f *fleet) beat(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	f.store.Register(s.ID, emulator.Heartbeat{
		Address: s.proxy.listener.Addr().String(), Service: "ledger", FailureDomain: s.domain, State: s.state, Slots: 8, SequenceNumber: s.beats, StartedAtMs: s.born,
	})
}

// setState makes a server say that it is in a state.
func (f *fleet) setState(s *server, state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	f.beat(s)
}

// configure writes the next version of the configuration, which adds a route.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(name, kind string, open bool) map[string]any {
		return map[string]any{"ResourceKind": "Routes", "Metadata": map[string]string{"Name": name}, "Specification": map[string]any{
			"Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutS": 2, "TargetLatencyS": 0.5, "Attempts": 2,
			"Service": "ledger", "Public": open,
		}}
	}
	rs := []any{
		route("safe", "safe", false), route("once", "non_idempotent", false), route("open", "safe", true),
		map[string]any{"ResourceKind": "Limits", "Metadata": map[string]string{}, "Specification": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
		}},
	}
	for v := 1; v <= f.version; v++ {
		rs = append(rs, route(versionRoute(v), "safe", true))
	}
	for a, limit := range accounts {
		rs = append(rs, map[string]any{"ResourceKind": "Tenants", "Metadata": map[string]string{"Name": a}, "Specification": map[string]any{
			"ApiKeys": f.keys[a], "RatePerS": limit, "Burst": limit,
		}})
	}
	b, err := json.Marshal(map[string]any{"Version": f.version, "Resources": rs})
	if err != nil {
		panic(err) // It is built of constants.
	}
	f.store.Put(topicConfiguration, "config", b)
	f.ackedAt = time.Now()
}

// newest returns the newest version of the configuration and when it was accepted.
func (f *fleet) newest() (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.ackedAt
}

func versionRoute(v int) string { return fmt.Sprint("v", v) }
