package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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

// server is one start of an emulated backend server behind a fault-injecting proxy, which has its address.
type server struct {
	*emulator.Instance
	// name is unique to the start; the ID may be that of an earlier one.
	name   string
	proxy  *proxy
	domain string
	// service is the service that the server belongs to.
	service string

	mu    sync.Mutex
	state string
	// ended is set when the process has ended, and atWork counts the requests that it works on.
	ended  bool
	atWork int
	// slots holds a value for each slot that is taken; nil if there is no bound.
	slots chan struct{}
	// startMs is the start time in Unix milliseconds, and heartbeats counts the heartbeats.
	startMs    int64
	heartbeats int64
	// failShare, shedShare, hangShare and cutShare are the shares of requests that end with an error, are refused, get no
	// answer or get a truncated one, and copyShare of those whose answer or refusal is sent once more, late. extraDelay is
	// added to the time of each request.
	failShare float64
	shedShare float64
	hangShare float64
	cutShare  float64
	copyShare float64
	// refusalCopyShare is the share of refusals that are sent once more on their connection, before a later answer.
	refusalCopyShare float64
	// closeShare is the share of responses after which the connection is closed, as they announce.
	closeShare float64
	// earlyShare is the share of requests that are answered before their body is read.
	earlyShare float64
	extraDelay time.Duration
	// pauseShare is the share of requests that are refused with a pause, endlessShare of those that get bytes without end, and
	// headCutShare of those whose answer ends in its head.
	pauseShare, endlessShare, headCutShare float64
	// strayShare is the share of answers with a refusal that names no request before them.
	strayShare float64
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
	// acceptedAt is when the newest configuration was accepted.
	acceptedAt time.Time
}

func newFleet(c *checker, o options, r *rand.Rand) (*fleet, error) {
	f := &fleet{checker: c, store: emulator.NewStore(), keys: map[string][]string{}, maxHeader: initialHeader, idleTimeout: 15}
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

// newServer returns a server that was just started.
func (f *fleet) newServer(in *emulator.Instance, p *proxy, domain, service string, seed uint64) *server {
	f.mu.Lock()
	f.starts++
	name := fmt.Sprintf("%s start %d", in.ID, f.starts)
	f.mu.Unlock()
	s := &server{Instance: in, name: name, proxy: p, domain: domain, service: service, state: "ready", startMs: time.Now().UnixMilli(), closeShare: usualCloseShare, earlyShare: usualEarlyShare}
	in.Body = answerPrefix + name
	r := rand.New(rand.NewPCG(seed, 1))
	in.SetBehavior(func(c net.Conn, req *http.Request, in *emulator.Instance) { f.serve(s, r, c, req, in) })
	in.SetCopies(func() bool { return s.chance(r, &s.refusalCopyShare) })
	in.SetCloses(func() bool { return s.chance(r, &s.closeShare) })
	in.SetEarly(func() bool { return s.chance(r, &s.earlyShare) })
	in.SetMisdirectedObserver(func(req *http.Request) {
		f.checker.recordMisdirected(s.service, req.Header.Get("Request-Id"), time.Now())
	})
	in.SetBodyObserver(func(req *http.Request, body []byte, whole bool) {
		f.checker.recordBody(req.Header.Get("Request-Id"), s.name, body, whole)
	})
	in.SetIdleTimeout(minIdleTimeout + time.Duration(r.Int64N(int64(maxIdleTimeout-minIdleTimeout))))
	return s
}

// chance returns true with the probability that one of the server's shares states.
func (s *server) chance(r *rand.Rand, share *float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Float64() < *share
}

// answerPrefix precedes the name of a server in the bodies of its answers.
const answerPrefix = "from "

// serve handles a request at a backend server with the faults that are currently injected there.
func (f *fleet) serve(s *server, r *rand.Rand, c net.Conn, req *http.Request, in *emulator.Instance) {
	defer s.finishWork()
	p := s.plan(r, req)
	id := req.Header.Get("Request-Id")
	f.checker.recordArrival(s.name, s.service, id, time.Now())
	ms, err := strconv.ParseInt(req.Header.Get("Deadline-Ms"), 10, 64)
	if err != nil {
		ms = math.MaxInt32 // The server would work for ever.
	}
	limit := time.Duration(ms) * time.Millisecond
	f.checker.recordDeadline(id, limit, time.Now())
	if p.full || !awaitSlot(p.slots, limit) {
		emulator.Shed(c, req, in)
		return
	}
	if p.slots != nil {
		defer func() { <-p.slots }()
	}
	if p.pauses {
		f.checker.recordPause(s.name, id, time.Now())
	}
	if !p.refuses {
		f.checker.recordRun(id, req.Header.Get("Tenant"), req.Header.Get("X-Api-Key"), s.name, s.service, time.Now())
		time.Sleep(p.work)
	}
	p.respond(c, req, in)
}

// plan is what a server does with a request. Respond responds after the work.
type plan struct {
	work time.Duration
	// slots are those of the server, and full is set if too many requests wait for them.
	slots           chan struct{}
	full            bool
	refuses, pauses bool
	respond         emulator.Behavior
}

// plan counts a request as being at the server, and draws what happens to it.
func (s *server) plan(r *rand.Rand, req *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atWork++
	p := plan{slots: s.slots, full: s.slots != nil && s.atWork > cap(s.slots)+queueLength}
	x := r.Float64()
	p.work = s.extraDelay + time.Duration(r.Int64N(int64(maxWorkTime)))
	if time.Since(time.UnixMilli(s.startMs)) < slowStart {
		p.work *= slowFactor
	}
	p.pauses = r.Float64() < s.pauseShare
	p.refuses = p.pauses || x < s.shedShare
	part, headPart := 1.0, r.Float64()
	if r.IntN(4) == 0 {
		part = r.Float64()
	}
	late := func(b emulator.Behavior) emulator.Behavior {
		return emulator.LatePart(b, time.Duration(r.Int64N(int64(maxWorkTime))), func(n int) int { return int(part * float64(n)) })
	}
	copied := r.Float64() < s.copyShare
	switch x -= s.shedShare; {
	case p.pauses:
		p.respond = emulator.Pause(statedPause)
	case p.refuses:
		p.respond = emulator.Refuse(refusalStatuses[r.IntN(len(refusalStatuses))])
		if copied && r.IntN(2) == 0 {
			p.respond = late(p.respond)
		}
	case r.Float64() < s.endlessShare:
		p.respond = emulator.Endless("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x")
	case r.Float64() < s.headCutShare:
		p.respond = emulator.CutHead(func(n int) int { return int(headPart * float64(n)) })
	case x < s.failShare:
		p.respond = emulator.Fail
	case x < s.failShare+s.hangShare:
		p.respond = emulator.Hang
	case x < s.failShare+s.hangShare+s.cutShare && req.Method != http.MethodHead: // The answer to HEAD is whole without a body.
		p.respond = emulator.Truncate
	case copied:
		p.respond = late(emulator.Answer)
	case r.Float64() < s.strayShare:
		p.respond = emulator.StrayRefusal(strayStatuses[r.IntN(len(strayStatuses))], emulator.Answer)
	default:
		p.respond = emulator.Answer
	}
	return p
}

// awaitSlot waits until one of the slots is free, and takes it. It returns false if none is within the time limit.
func awaitSlot(slots chan struct{}, limit time.Duration) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-time.After(limit):
		return false
	}
}

func (s *server) finishWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atWork--
}

// refusalStatuses are the statuses with which a server refuses a request.
var refusalStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest}

// strayStatuses are the statuses of refusals that name no request.
var strayStatuses = []int{http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

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
		Address: s.proxy.listener.Addr().String(), Service: s.service, FailureDomain: s.domain, State: s.state, Slots: slots, SequenceNumber: s.heartbeats, StartedAtMs: s.startMs,
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
