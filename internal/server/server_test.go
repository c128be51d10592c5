package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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
	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/publisher"
	"github.com/jacinthproxy/jacinthproxy/internal/watcher"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

// patience is far beyond what any step of a test takes.
const patience = 60 * time.Second

// platform is the log and the VM list in memory.
type platform struct {
	mu       sync.Mutex
	streams  map[string][][]byte
	machines []watcher.Machine
	tag      int
	away     bool
}

var errAway = errors.New("the platform is away")

// view is what one VM sees of the platform.
type view struct {
	*platform
	cut *atomic.Bool
}

func (v view) reach() error {
	if v.away || v.cut.Load() {
		return errAway
	}
	return nil
}

func (v view) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := v.reach(); err != nil {
		return 0, err
	}
	v.streams[stream] = append(v.streams[stream], data)
	return uint64(len(v.streams[stream]) - 1), nil
}

func (v view) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (follower.Batch, error) {
	end := time.Now().Add(wait)
	for {
		v.mu.Lock()
		err := v.reach()
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

func (v view) List(context.Context, string) ([]watcher.Machine, string, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machines, fmt.Sprint(v.tag), false, v.reach()
}

// daemon is one server of a test fleet.
type daemon struct {
	*Server
	stop context.CancelFunc
	kill context.CancelFunc
	done chan error
	// log and links say that the VM is cut off from the platform, or from its peers.
	log   *atomic.Bool
	links *atomic.Bool
}

type cluster struct {
	t        *testing.T
	platform *platform
	daemons  []*daemon
	backend  *httptest.Server
	runs     sync.Map
	links    sync.Map
	work     atomic.Int64
	seen     bytes.Buffer
	logs     bytes.Buffer
	mu       sync.Mutex
	key      string
	prefix   string
}

// clusters gives each test addresses of its own.
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
		t: t, platform: &platform{streams: map[string][][]byte{}}, key: "0123456789abcdef-the-key",
		prefix: fmt.Sprintf("127.1.%d.", clusters.Add(1)),
	}
	c.backend = httptest.NewServer(http.HandlerFunc(c.serve))
	t.Cleanup(c.backend.Close)
	for i := range n {
		c.start(i)
	}
	c.publish(fmt.Sprintf(testDocument, merger.HashKey(c.key), c.backend.Listener.Addr()), 0)
	for _, d := range c.daemons {
		c.eventually(func() bool {
			return d.InContact() && len(d.follower.Map().Members()) == n && len(d.follower.Index().Versions) == 1 &&
				d.recorder.Status().Waiting == 0 && d.owner.Status().Partitions[limiter.StateWaiting] == 0
		}, "the fleet forms, and each VM has taken over what it owns")
	}
	return c
}

func (c *cluster) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	fmt.Fprintln(&c.seen, r.RequestURI, r.Header, string(body))
	c.mu.Unlock()
	n, _ := c.runs.LoadOrStore(r.Header.Get("X-Job"), new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
	<-time.After(time.Duration(c.work.Load()))
	_, _ = io.WriteString(w, "job "+r.Header.Get("X-Job"))
}

// Write takes the daemons' logs.
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
	d := &daemon{done: make(chan error, 1), log: &atomic.Bool{}, links: c.linksOf(c.address(i, 7000))}
	v := view{c.platform, d.log}
	var err error
	d.Server, err = New(s, Platform{Log: v, Lister: v}, clockwork.NewRealClock(), zap.New(core), func(v asserter.Violation) { c.t.Error(v) })
	require.NoError(c.t, err)
	dial := d.messenger.Dial
	d.messenger.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if d.links.Load() || c.linksOf(to).Load() {
			return nil, errAway
		}
		conn, err := dial(ctx, to)
		return severed{conn, d.links, c.linksOf(to)}, err
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
	c.list()
	c.t.Cleanup(func() { d.end() })
	return d
}

// end stops a daemon at once, if it still runs.
func (d *daemon) end() {
	d.kill()
	d.stop()
	if err, ok := <-d.done; ok {
		_ = err
		close(d.done)
	}
}

// linksOf returns whether the VM at an address is cut off from its peers.
func (c *cluster) linksOf(a netip.AddrPort) *atomic.Bool {
	b, _ := c.links.LoadOrStore(a, &atomic.Bool{})
	return b.(*atomic.Bool)
}

// severed loses what crosses a cut.
type severed struct {
	net.Conn
	from, to *atomic.Bool
}

func (s severed) Write(p []byte) (int, error) {
	if s.from.Load() || s.to.Load() {
		return len(p), nil
	}
	return s.Conn.Write(p)
}

func (c *cluster) list() {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.platform.machines = nil
	for i := range c.daemons {
		c.platform.machines = append(c.platform.machines, watcher.Machine{Address: c.address(i, 7000)})
	}
}

func (c *cluster) setAway(away bool) {
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	c.platform.away = away
}

func (c *cluster) publish(text string, base uint64) {
	c.t.Helper()
	e, err := publisher.Publish(c.t.Context(), view{c.platform, &atomic.Bool{}}, publisher.Change{Team: "t", Base: base, Document: text}, time.Now)
	require.NoError(c.t, err)
	require.NoError(c.t, e.Result.Err)
}

func (c *cluster) withdraw() {
	c.publish(fmt.Sprintf(testDocument, merger.HashKey("another"), c.backend.Listener.Addr()), 1)
}

func (c *cluster) eventually(f func() bool, what string) {
	c.t.Helper()
	require.Eventually(c.t, f, patience, 20*time.Millisecond, what)
}

// reply is what a caller got.
type reply struct {
	status          int
	outcome, reason string
	body            string
}

// ask sends a request to daemon i; name-value pairs are headers.
func (c *cluster) ask(i int, method, path string, headers ...string) (reply, error) {
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
	r, err := c.ask(i, http.MethodGet, "/t/get/x")
	return err == nil && r.outcome == "answered"
}

func (c *cluster) ran(job string) int64 {
	n, ok := c.runs.Load(job)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

func TestKeyStaysAtTheIngress(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 3 {
		require.True(t, c.answered(i))
		for _, h := range [][]string{{"X-Copy", c.key}, {"Cookie", "k=" + c.key}} {
			r, err := c.ask(i, http.MethodGet, "/t/get/x", h...)
			require.NoError(t, err)
			require.Equal(t, "not-run", r.outcome)
		}
		r, err := c.ask(i, http.MethodGet, "/t/open/x?key="+c.key)
		require.NoError(t, err)
		require.Equal(t, "bad-request", r.reason)
		r, err = c.ask(i, http.MethodGet, "/t/open/x", caller.HeaderKey, c.key)
		require.NoError(t, err)
		require.Equal(t, "answered", r.outcome)
	}
	var all strings.Builder
	for _, d := range c.daemons {
		b, err := json.Marshal(d.Dump())
		require.NoError(t, err)
		all.Write(b)
		rep, err := http.Get(fmt.Sprintf("http://%s/metrics", d.settings.Operators.Listen))
		require.NoError(t, err)
		_, _ = io.Copy(&all, rep.Body)
		_ = rep.Body.Close()
	}
	require.Contains(t, all.String(), "jacinthproxy_requests_total")
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, text := range map[string]string{"dumps and metrics": all.String(), "backend server": c.seen.String(), "logs": c.logs.String()} {
		require.NotEmpty(t, text)
		require.NotContains(t, text, c.key, name)
	}
}

// TestHTTP2 sends requests over one unencrypted HTTP/2 connection.
func TestHTTP2(t *testing.T) {
	c := newCluster(t, 1)
	tr := &http.Transport{Protocols: new(http.Protocols)}
	tr.Protocols.SetUnencryptedHTTP2(true)
	defer tr.CloseIdleConnections()
	for range 3 {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/t/get/x", c.address(0, 8080)), nil)
		require.NoError(t, err)
		req.Header.Set(caller.HeaderKey, c.key)
		rep, err := tr.RoundTrip(req)
		require.NoError(t, err)
		require.Equal(t, 2, rep.ProtoMajor)
		require.Equal(t, "answered", rep.Header.Get(caller.HeaderOutcome))
		require.NoError(t, rep.Body.Close())
	}
}

func TestWithdrawnKeyOnAKeptConnection(t *testing.T) {
	c := newCluster(t, 3)
	require.True(t, c.answered(0))
	c.withdraw()
	for i := range 3 {
		c.eventually(func() bool {
			r, err := c.ask(i, http.MethodGet, "/t/get/x")
			return err == nil && r.reason == "key" && r.outcome == "not-run"
		}, "refused")
	}
}

// TestWithdrawnKeyWhenOneCannotReadTheLog cuts a VM from the log alone: it learns from its peers.
func TestWithdrawnKeyWhenOneCannotReadTheLog(t *testing.T) {
	c := newCluster(t, 3)
	c.daemons[0].log.Store(true)
	c.withdraw()
	c.eventually(func() bool {
		r, err := c.ask(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "key"
	}, "told by a peer")
	c.eventually(func() bool { return c.daemons[0].witness.Verdict(time.Now()) == witness.ReasonRelay }, "in contact by relay")
}

// TestCutOffStopsServing cuts a VM from the log and its peers while a key is withdrawn.
func TestCutOffStopsServing(t *testing.T) {
	c := newCluster(t, 3)
	c.daemons[0].log.Store(true)
	c.daemons[0].links.Store(true)
	began := time.Now()
	c.withdraw()
	c.eventually(func() bool {
		r, err := c.ask(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "no-contact" && r.outcome == "not-run"
	}, "refuses")
	if took := time.Since(began); took < patience/2 {
		require.Less(t, took, contactBound+5*time.Second, "within seconds")
	}
	r, err := c.ask(0, http.MethodGet, "/t/open/x")
	require.NoError(t, err)
	require.Equal(t, "answered", r.outcome, "an open route is served")
	c.daemons[0].log.Store(false)
	c.daemons[0].links.Store(false)
	c.eventually(func() bool {
		r, err := c.ask(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "key"
	}, "back, with the withdrawal")
}

// TestLogAway checks that an outage of the platform stops nobody, and that a newcomer serves too.
func TestLogAway(t *testing.T) {
	c := newCluster(t, 3)
	c.setAway(true)
	for _, d := range c.daemons {
		c.eventually(func() bool { return d.witness.Verdict(time.Now()) == witness.ReasonMajority }, "contact by majority")
	}
	for i := range 3 {
		require.True(t, c.answered(i))
	}
	c.daemons[2].end()
	d := c.start(2)
	c.eventually(func() bool { return c.answered(2) }, "a newcomer has the state from a peer")
	require.Equal(t, uint64(1), d.follower.Index().Versions["t"])
}

// TestPlannedStopsCutNothing replaces all VMs in turn under load with long requests.
func TestPlannedStopsCutNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.work.Store(int64(300 * time.Millisecond))
	var sent, cut atomic.Int64
	var stopping sync.Map
	halt := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 3 {
		for range 4 {
			wg.Go(func() {
				for {
					select {
					case <-halt:
						return
					default:
					}
					if _, ok := stopping.Load(i); ok {
						<-time.After(10 * time.Millisecond)
						continue
					}
					sent.Add(1)
					if r, err := c.ask(i, http.MethodPost, "/t/post/x"); err != nil || r.outcome != "answered" {
						cut.Add(1)
						t.Errorf("daemon %d: %v %+v", i, err, r)
					}
				}
			})
		}
	}
	for i := range 3 {
		stopping.Store(i, true)
		c.daemons[i].stop()
		require.NoError(t, <-c.daemons[i].done)
		close(c.daemons[i].done)
		c.start(i)
		c.eventually(func() bool {
			d := c.daemons[i]
			return d.InContact() && d.follower.Map().Has(d.self) && c.answered(i)
		}, "its successor serves")
		stopping.Delete(i)
	}
	close(halt)
	wg.Wait()
	require.Zero(t, cut.Load())
	require.Positive(t, sent.Load())
}

// TestRetryThroughAnotherVM sends attempts of one request through all VMs, at once and later.
func TestRetryThroughAnotherVM(t *testing.T) {
	c := newCluster(t, 4)
	for n := range 10 {
		job := fmt.Sprint("order", n)
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				_, _ = c.ask(i, http.MethodPost, "/t/post/x", "X-Job", job, caller.HeaderIdempotencyKey, job)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, c.ran(job), int64(1))
	}
	r, err := c.ask(0, http.MethodPost, "/t/post/x", "X-Job", "one", caller.HeaderIdempotencyKey, "one")
	require.NoError(t, err)
	require.Equal(t, "answered", r.outcome)
	c.daemons[0].end()
	for i := 1; i < 4; i++ {
		c.eventually(func() bool {
			again, err := c.ask(i, http.MethodPost, "/t/post/x", "X-Job", "one", caller.HeaderIdempotencyKey, "one", caller.HeaderAttempt, "2")
			return err == nil && again.outcome == "answered" && again.body == r.body
		}, "the first attempt's answer")
	}
	require.EqualValues(t, 1, c.ran("one"))
	r, err = c.ask(1, http.MethodPost, "/t/post/other", caller.HeaderIdempotencyKey, "one")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, r.status, "the key was used for another request")
}

// TestDispatcherLostMidway ends the dispatcher of the group while it runs requests.
func TestDispatcherLostMidway(t *testing.T) {
	c := newCluster(t, 3)
	c.work.Store(int64(200 * time.Millisecond))
	require.True(t, c.answered(0))
	lost := -1
	for i, d := range c.daemons {
		if len(d.dispatcher.Status()) > 0 {
			lost = i
		}
	}
	through := (lost + 1) % 3
	type sent struct {
		job string
		r   reply
		err error
	}
	replies := make(chan sent, 40)
	for n := range cap(replies) {
		go func() {
			job, path := fmt.Sprint("job", n), "/t/get/x"
			method := http.MethodGet
			if n%2 == 0 {
				path, method = "/t/post/x", http.MethodPost
			}
			r, err := c.ask(through, method, path, "X-Job", job)
			replies <- sent{job, r, err}
		}()
	}
	c.eventually(func() bool { return c.ran("job0") > 0 }, "requests run")
	c.daemons[lost].kill()
	c.daemons[lost].messenger.Close()
	c.daemons[lost].end()
	for n := range cap(replies) {
		s := <-replies
		require.NoError(t, s.err)
		switch s.r.outcome {
		case "not-run":
			require.Zero(t, c.ran(s.job))
		case "answered":
			require.Equal(t, "job "+s.job, s.r.body)
		}
		if strings.HasSuffix(s.job, "0") {
			require.LessOrEqual(t, c.ran(s.job), int64(1), "%d", n)
		}
	}
}
