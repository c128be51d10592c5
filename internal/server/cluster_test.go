package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthproxy/jacinthproxy/internal/caller"
	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/publisher"
	"github.com/jacinthproxy/jacinthproxy/internal/watcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
)

// stepTimeout bounds each step of a test; it is far longer than any step takes.
const stepTimeout = 60 * time.Second

// fakePlatform is an in-memory log and VM list.
type fakePlatform struct {
	mu          sync.Mutex
	streams     map[string][][]byte
	machines    []watcher.VM
	tag         int
	unavailable bool
}

var errUnavailable = errors.New("platform is unavailable")

// platformView is the platform as seen by one VM, which can be cut off from it.
type platformView struct {
	*fakePlatform
	disconnected *atomic.Bool
}

func (v platformView) checkReachable() error {
	if v.unavailable || v.disconnected.Load() {
		return errUnavailable
	}
	return nil
}

func (v platformView) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.checkReachable(); err != nil {
		return 0, err
	}
	v.streams[stream] = append(v.streams[stream], data)
	return uint64(len(v.streams[stream]) - 1), nil
}

func (v platformView) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (follower.Batch, error) {
	end := time.Now().Add(wait)
	for {
		v.mu.Lock()
		err := v.checkReachable()
		b := follower.Batch{Next: uint64(len(v.streams[stream]))}
		for o := from; o < b.Next; o++ {
			b.Entries = append(b.Entries, follower.Entry{Offset: o, Data: v.streams[stream][o]})
		}
		v.mu.Unlock()
		if err != nil || len(b.Entries) > 0 || time.Now().After(end) {
			return b, err
		}
		select {
		case <-ctx.Done():
			return b, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (v platformView) List(context.Context, string) ([]watcher.VM, string, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machines, fmt.Sprint(v.tag), false, v.checkReachable()
}

// daemon is one server of a test fleet.
type daemon struct {
	*Server
	stop context.CancelFunc
	kill context.CancelFunc
	done chan error
	// logCut is set while the VM is cut off from the platform, and linksCut while it is cut off from its peers.
	logCut   *atomic.Bool
	linksCut *atomic.Bool
}

// cluster is a fleet of daemons in one process with a shared platform and backend server.
type cluster struct {
	t        *testing.T
	platform *fakePlatform
	daemons  []*daemon
	backend  *httptest.Server
	runs     sync.Map
	linksCut sync.Map
	workTime atomic.Int64
	// finished and dropped count the requests that the backend server worked on to the end, and those whose connection closed before.
	finished, dropped atomic.Int64
	// head is the beginning of the head that the backend server writes instead of its own.
	head     atomic.Value
	received bytes.Buffer
	logs     bytes.Buffer
	mu       sync.Mutex
	key      string
	prefix   string
}

// clusters counts the clusters, so that each test has addresses of its own.
var clusters atomic.Int64

const testDocument = `{
  "clientAccounts": {"a": {"rate": 10000, "burst": 10000, "keys": {"k": %q}}},
  "services": {"s": {"slots": 64, "instances": [{"address": %q, "failureDomain": "a"}]}},
  "routes": [
    {"path": "/get/", "service": "s", "timeout": "20s", "idempotent": true},
    {"path": "/post/", "service": "s", "timeout": "20s"},
    {"path": "/open/", "service": "s", "timeout": "20s", "idempotent": true, "open": true},
  ],
}`

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	t.Parallel()
	c := &cluster{
		t: t, platform: &fakePlatform{streams: map[string][][]byte{}}, key: "0123456789abcdef-the-key",
		prefix: fmt.Sprintf("127.1.%d.", clusters.Add(1)),
	}
	c.backend = httptest.NewServer(http.HandlerFunc(c.serveBackend))
	t.Cleanup(c.backend.Close)
	for i := range n {
		c.start(i)
	}
	c.publish(fmt.Sprintf(testDocument, merger.HashKey(c.key), c.backend.Listener.Addr()), 0)
	for _, d := range c.daemons {
		c.eventually(func() bool {
			return d.InContact() && len(d.follower.Map().Members()) == n && len(d.follower.Index().Versions) == 1 &&
				d.recorder.Status().Waiting == 0 && d.owner.Status().Partitions[limiter.StateWaiting] == 0
		}, "the fleet has formed and each VM has taken over its partitions")
	}
	return c
}

func (c *cluster) serveBackend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	fmt.Fprintln(&c.received, r.RequestURI, r.Header, string(body))
	c.mu.Unlock()
	n, _ := c.runs.LoadOrStore(r.Header.Get("X-Job"), new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	if s, _ := c.head.Load().(string); s != "" {
		respondWithHead(w, r, s)
		return
	}
	select {
	case <-time.After(time.Duration(c.workTime.Load())):
	case <-r.Context().Done():
		c.dropped.Add(1)
		return
	}
	c.finished.Add(1)
	_, _ = io.WriteString(w, "job "+r.Header.Get("X-Job"))
}

// respondWithHead writes a response whose head has a beginning that need not be valid.
func respondWithHead(w http.ResponseWriter, r *http.Request, head string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := dispatcher.HeaderRequestID + ": " + r.Header.Get(dispatcher.HeaderRequestID) + "\r\n"
	body := "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 5\r\n\r\ninner"
	_, _ = fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
}

// Write collects the daemons' log output.
func (c *cluster) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logs.Write(p)
}

func (c *cluster) address(i, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s%d:%d", c.prefix, i+1, port))
}

func (c *cluster) start(i int) *daemon {
	c.t.Helper()
	s := DefaultSettings()
	s.Fleet = FleetSettings{Name: "test", FailureDomains: []string{"a", "b", "c"}}
	s.FailureDomain = s.Fleet.FailureDomains[i%3]
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = c.address(i, 8080), c.address(i, 7000), c.address(i, 7070)
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), zapcore.AddSync(c), zap.DebugLevel)
	if i > 0 {
		s.Peers.Seeds = []netip.AddrPort{c.address(0, 7000)}
	}
	d := &daemon{done: make(chan error, 1), logCut: &atomic.Bool{}, linksCut: c.linkCut(c.address(i, 7000))}
	v := platformView{c.platform, d.logCut}
	var err error
	d.Server, err = New(s, Platform{Log: v, Lister: v}, clockwork.NewRealClock(), zap.New(core), func(v asserter.Violation) { c.t.Error(v) })
	require.NoError(c.t, err)
	dial := d.messenger.Dial
	d.messenger.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if d.linksCut.Load() || c.linkCut(to).Load() {
			return nil, errUnavailable
		}
		conn, err := dial(ctx, to)
		return droppingConn{conn, d.linksCut, c.linkCut(to)}, err
	}
	run, stop := context.WithCancel(context.Background())
	kill, cut := context.WithCancel(context.Background())
	d.stop, d.kill = stop, cut
	go func() { d.done <- d.Run(run, kill) }()
	if i < len(c.daemons) {
		c.daemons[i] = d
	} else {
		c.daemons = append(c.daemons, d)
	}
	c.updateVMList()
	c.t.Cleanup(func() { d.terminate() })
	return d
}

// terminate kills the daemon without a graceful stop, if it still runs, and waits until it ended.
func (d *daemon) terminate() {
	d.kill()
	d.stop()
	if err, ok := <-d.done; ok {
		_ = err
		close(d.done)
	}
}

// linkCut returns the flag that says whether the VM at an address is cut off from its peers.
func (c *cluster) linkCut(a netip.AddrPort) *atomic.Bool {
	b, _ := c.linksCut.LoadOrStore(a, &atomic.Bool{})
	return b.(*atomic.Bool)
}

// droppingConn is a connection that silently drops writes while either end is cut off from its peers.
type droppingConn struct {
	net.Conn
	from, to *atomic.Bool
}

func (s droppingConn) Write(p []byte) (int, error) {
	if s.from.Load() || s.to.Load() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func (c *cluster) updateVMList() {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.platform.machines = nil
	for i := range c.daemons {
		c.platform.machines = append(c.platform.machines, watcher.VM{Address: c.address(i, 7000)})
	}
}

func (c *cluster) setUnavailable(unavailable bool) {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.platform.unavailable = unavailable
}

func (c *cluster) publish(text string, base uint64) {
	c.t.Helper()
	e, err := publisher.Publish(c.t.Context(), platformView{c.platform, &atomic.Bool{}}, publisher.Change{Team: "t", Base: base, Document: text}, time.Now)
	require.NoError(c.t, err)
	require.NoError(c.t, e.Result.Err)
}

// withdrawKey publishes a configuration that replaces the account's key.
func (c *cluster) withdrawKey() {
	c.publish(fmt.Sprintf(testDocument, merger.HashKey("another"), c.backend.Listener.Addr()), 1)
}

func (c *cluster) eventually(f func() bool, what string) {
	c.t.Helper()
	require.Eventually(c.t, f, stepTimeout, 20*time.Millisecond, what)
}

// reply is the response that a caller received.
type reply struct {
	status          int
	outcome, reason string
	body            string
}

// send sends a request to daemon i; headers are pairs of names and values.
func (c *cluster) send(i int, method, path string, headers ...string) (reply, error) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", c.address(i, 8080), path), nil)
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+c.key)
	for j := 0; j+1 < len(headers); j += 2 {
		req.Header.Set(headers[j], headers[j+1])
	}
	rep, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = rep.Body.Close() }()
	b, err := io.ReadAll(rep.Body)
	return reply{rep.StatusCode, rep.Header.Get(caller.HeaderOutcome), rep.Header.Get(caller.HeaderReason), string(b)}, err
}

func (c *cluster) answered(i int) bool {
	r, err := c.send(i, http.MethodGet, "/t/get/x")
	return err == nil && r.outcome == "answered"
}

// runCount returns how often the backend server ran a job.
func (c *cluster) runCount(job string) int64 {
	n, ok := c.runs.Load(job)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}
