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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// topicConfiguration and topicRegistry are the names of the platform's topics. The other values are the soak's own.
const (
	topicConfiguration = "keyed.op"
	topicRegistry      = "keyed.servers"
	host               = "soak.example"
	// The services. Uploads go to the archive, payments to the vault, which has few servers, split requests to the ledger and the
	// archive, and all others to the ledger.
	serviceLedger     = "ledger"
	serviceArchive    = "archive"
	serviceVault      = "vault"
	heartbeatInterval = 1500 * time.Millisecond
	// initialHeader and raisedHeader are the limits on headers before and after a change, in bytes.
	initialHeader = 16 << 10
	raisedHeader  = 64 << 10
	// statedPause is the pause that backend servers ask for.
	statedPause = 2 * time.Second
	// routeAttempts is how many backend servers a request may be sent to.
	routeAttempts = 2
	// paymentAttempts is the same for a payment.
	paymentAttempts = 3
	// usualSlots are the slots that a server states, and queueLength is how many requests may wait for one of few slots.
	usualSlots  = 8
	queueLength = 2
	// Requests take slowFactor times as long until slowStart after the start of a server.
	slowStart  = 1500 * time.Millisecond
	slowFactor = 3
	// usualCloseShare is the share of responses after which a server closes the connection.
	usualCloseShare = 0.02
	// usualEarlyShare is the share of requests that a server answers before it reads their body.
	usualEarlyShare = 0.05
	// minIdleTimeout and maxIdleTimeout bound the random time after which a server closes idle connections.
	minIdleTimeout = 300 * time.Millisecond
	maxIdleTimeout = 5 * time.Second
	// maxWorkTime bounds the random time that a request takes at a backend server that is not slow.
	maxWorkTime = 60 * time.Millisecond
)

// failureDomains are the failure domains, which are assigned to daemons and to backend servers round-robin.
var failureDomains = []string{"a", "b", "c"}

// daemon is one daemon of the fleet. It runs as one process at a time, always at the same address.
type daemon struct {
	index      int
	binary     string
	workDir    string
	storeProxy *proxy

	mu      sync.Mutex
	process *os.Process
	// starts counts the processes. stopping is set when the current process has been sent SIGTERM.
	starts   int
	stopping bool
	// exited is closed when the current process has exited.
	exited chan struct{}
}

func (d *daemon) ip() string            { return fmt.Sprintf("127.0.5.%d", d.index) }
func (d *daemon) callerAddress() string { return d.ip() + ":8405" }

// currentProcess returns a name that is unique to the current process, and whether it has been sent SIGTERM.
func (d *daemon) currentProcess() (name string, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprintf("daemon %d run %d", d.index, d.starts), d.stopping
}

// start starts a process unless one is running. It does not wait until the daemon is ready.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		return nil
	}
	path := filepath.Join(d.workDir, fmt.Sprintf("daemon-%d.json", d.index))
	out, err := os.OpenFile(filepath.Join(d.workDir, fmt.Sprintf("daemon-%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the daemon's log file")
	}
	cmd := exec.Command(d.binary, "gateway", "--settings", path) //nolint:gosec // The program is what is tested.
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start the daemon")
	}
	d.starts++
	d.process, d.stopping, d.exited = cmd.Process, false, make(chan struct{})
	exited := d.exited
	go func() {
		_ = cmd.Wait() // The daemon's log shows how it ended.
		_ = out.Close()
		d.mu.Lock()
		d.process = nil
		d.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process, and returns a channel that is closed when the process has exited. The
// channel is already closed if no process is running.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		c := make(chan struct{})
		close(c)
		return c
	}
	d.stopping = d.stopping || s == syscall.SIGTERM
	_ = d.process.Signal(s) // The process may just have exited.
	return d.exited
}

// fleet consists of the daemons, the store and the backend servers of a soak.
type fleet struct {
	checker *checker
	store   *emulator.Store
	daemons []*daemon

	mu sync.Mutex
	// servers are the running backend servers, starts counts their starts, and endedIDs are the IDs whose entries were removed
	// because no server will have them again.
	servers  []*server
	starts   int
	endedIDs []string
	// newIDs counts the IDs of servers that started again.
	newIDs  atomic.Int64
	version int
	// keys are the API keys of each client account.
	keys map[string][]string
	// maxHeader and idleTimeout, in bytes and seconds, are limits of the configuration.
	maxHeader, idleTimeout int
	// headerRaised is when maxHeader was raised, as nanoseconds since the Unix epoch; zero before.
	headerRaised atomic.Int64
	// unusedRoutes is the number of routes in the configuration that no caller uses.
	unusedRoutes int
	// oddEntries counts the entries of the registry that another writer left.
	oddEntries atomic.Int64
	// leaves counts the servers that left; every second one does not announce it.
	leaves atomic.Int64
	// drained are the failure domains that are drained.
	drained map[string]bool
	// acceptedAt is when the newest configuration was accepted.
	acceptedAt time.Time
}

func newFleet(c *checker, o options, r *rand.Rand) (*fleet, error) {
	f := &fleet{checker: c, store: emulator.NewStore(), keys: map[string][]string{}, drained: map[string]bool{}, maxHeader: initialHeader, idleTimeout: 15}
	stranger, err := net.Listen("tcp", strangerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stranger")
	}
	go func() { _ = http.Serve(stranger, http.NotFoundHandler()) }() //nolint:gosec // It runs until the program exits.
	l, err := net.Listen("tcp", "127.0.6.250:9100")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s := &http.Server{Handler: f.store, ReadHeaderTimeout: revocationBound}
	go func() { _ = s.Serve(l) }() // It runs until the program exits.
	for i := range o.Servers {
		if err := f.addServer(i, r.Uint64()); err != nil {
			return nil, err
		}
	}
	for a := range accounts {
		f.keys[a] = []string{"key-" + a}
	}
	f.publishConfiguration()
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
	d := &daemon{index: i, binary: o.Binary, workDir: o.Work, storeProxy: p}
	b, err := json.Marshal(map[string]any{
		"NodeName": fmt.Sprint("daemon-", i), "IpAddress": d.ip(), "Zone": failureDomains[i%len(failureDomains)],
		"ListenAddresses":   map[string]string{"Front": d.callerAddress(), "Readiness": d.ip() + ":8406", "Directory": d.ip() + ":8404"},
		"InternalPortRange": []int{7660, 7675},
		"Limits":            map[string]any{"CpuShare": 0.5, "MemoryMb": 256, "FileDescriptors": 4096, "LinkMbps": 1000},
		"Bounds":            []string{"RevocationS=5", "GracePeriodS=6", "QuotaWindowS=5"},
		"Platform":          map[string]string{"Address": p.listener.Addr().String()},
	})
	if err != nil {
		return errors.Wrap(err, "encode the daemon's settings")
	}
	if err := os.WriteFile(filepath.Join(o.Work, fmt.Sprintf("daemon-%d.json", i)), b, 0o600); err != nil {
		return errors.Wrap(err, "write the daemon's settings")
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
	service := serviceLedger
	switch {
	case i%4 == 3:
		service = serviceArchive
	case i%8 == 2:
		service = serviceVault
	}
	s := f.newServer(in, p, failureDomains[i%len(failureDomains)], service, seed)
	f.servers = append(f.servers, s)
	f.heartbeat(s)
	return nil
}

// stateRemoved is the state of a server whose registration ended although it never announced that it leaves.
const stateRemoved = "removed"

// heartbeat writes a heartbeat with the current state of a server to the registry, or ends its registration.
func (f *fleet) heartbeat(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.state == stateRemoved {
		f.store.Put(topicRegistry, s.ID, nil)
		return
	}
	s.heartbeats++
	slots := usualSlots
	if s.slots != nil {
		slots = cap(s.slots)
	}
	f.store.Register(s.ID, emulator.Heartbeat{
		Address: s.proxy.listener.Addr().String(), Service: s.service, FailureDomain: s.domain, State: s.state, Slots: slots, SequenceNumber: s.heartbeats, StartedAtMs: s.startMs, Warmup: max(0, time.Until(s.warmAt)),
	})
}

// setState changes the state of a server and announces it with a heartbeat.
func (f *fleet) setState(s *server, state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	f.heartbeat(s)
}

// publishConfiguration publishes the next version of the configuration, which adds a route.
func (f *fleet) publishConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.putConfiguration()
	f.acceptedAt = time.Now()
}

// republishConfiguration writes the newest version of the configuration again, after the store may have lost it.
func (f *fleet) republishConfiguration() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putConfiguration()
	f.putDrains()
}

// putConfiguration writes the newest version of the configuration to the store. f.mu must be held.
func (f *fleet) putConfiguration() {
	route := func(name, kind string, open bool) map[string]any {
		return map[string]any{"ResourceKind": "Routes", "Metadata": map[string]string{"Name": name}, "Specification": map[string]any{
			"Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutS": 2, "TargetLatencyS": 0.5, "Attempts": routeAttempts,
			"Service": serviceLedger, "Public": open,
		}}
	}
	upload, split := route("upload", "upload", false), route("split", "safe", false)
	upload["Specification"].(map[string]any)["Service"] = serviceArchive
	delete(split["Specification"].(map[string]any), "Service")
	split["Specification"].(map[string]any)["TrafficSplit"] = []map[string]any{{"Service": serviceLedger, "Weight": 3}, {"Service": serviceArchive, "Weight": 1}}
	payment := route("pay", "non_idempotent", false)
	payment["Specification"].(map[string]any)["Service"] = serviceVault
	payment["Specification"].(map[string]any)["Attempts"] = paymentAttempts
	rs := []any{
		route("safe", "safe", false), route("once", "non_idempotent", false), route("open", "safe", true), upload, split, payment,
		map[string]any{"ResourceKind": "Limits", "Metadata": map[string]string{}, "Specification": map[string]any{
			"MaxHeaderBytes": f.maxHeader, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": f.idleTimeout,
		}},
	}
	rs = append(rs, warmupResources()...)
	for v := 1; v <= f.version; v++ {
		rs = append(rs, route(versionRoute(v), "safe", true))
	}
	for i := range f.unusedRoutes {
		rs = append(rs, route(fmt.Sprint("unused", i), "safe", true))
	}
	for a, limit := range accounts {
		rs = append(rs, map[string]any{"ResourceKind": "Tenants", "Metadata": map[string]string{"Name": a}, "Specification": map[string]any{
			"ApiKeys": f.keys[a], "RatePerS": limit, "Burst": limit,
		}})
	}
	b, err := json.Marshal(map[string]any{"Version": f.version, "Resources": rs})
	if err != nil {
		panic(err) // Values of these types can always be encoded.
	}
	f.store.Put(topicConfiguration, "config", b)
}

// newestVersion returns the newest configuration version and when the store accepted it.
func (f *fleet) newestVersion() (int, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.acceptedAt
}

// versionRoute returns the name of the route that a configuration version added.
func versionRoute(v int) string { return fmt.Sprint("v", v) }
