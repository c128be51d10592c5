package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/caller"
	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

// TestKeyStaysAtTheIngress checks that an account's key reaches no backend server, log, dump or metric, and that
// requests with the key anywhere but in its header are refused.
func TestKeyStaysAtTheIngress(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 3 {
		require.True(t, c.answered(i))
		for _, h := range [][]string{{"X-Copy", c.key}, {"Cookie", "k=" + c.key}} {
			r, err := c.send(i, http.MethodGet, "/t/get/x", h...)
			require.NoError(t, err)
			require.Equal(t, "not-run", r.outcome)
		}
		r, err := c.send(i, http.MethodGet, "/t/open/x?key="+c.key)
		require.NoError(t, err)
		require.Equal(t, "bad-request", r.reason)
		r, err = c.send(i, http.MethodGet, "/t/open/x", caller.HeaderKey, c.key)
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
	for name, text := range map[string]string{"dumps and metrics": all.String(), "backend server": c.received.String(), "logs": c.logs.String()} {
		require.NotEmpty(t, text)
		require.NotContains(t, text, c.key, name)
	}
}

// A response whose status is none is no answer: the request may have run.
func TestResponsesWithoutStatusReachNoCaller(t *testing.T) {
	c := newCluster(t, 3)
	for i, status := range []string{"000", "001", "099", "101", "600", "999"} {
		c.head.Store("HTTP/1.1 " + status + " X\r\n")
		job := "status-" + status
		r, err := c.send(i%3, http.MethodPost, "/t/post/x", "X-Job", job)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, r.status, "%s: %s", status, r.body)
		require.Equal(t, "unknown", r.outcome)
		require.NotContains(t, r.body, "inner")
		n, _ := c.runs.Load(job)
		require.EqualValues(t, 1, n.(*atomic.Int64).Load())
		r, err = c.send(i%3, http.MethodGet, "/t/get/x")
		require.NoError(t, err)
		require.NotEqual(t, http.StatusOK, r.status, "%s: %s", status, r.body)
		require.NotContains(t, r.body, "inner")
	}
}

// A response with a name that no field can have is no answer, and the request may have run; the caller does not see the line.
func TestResponsesWithAnInvalidFieldNameReachNoCaller(t *testing.T) {
	c := newCluster(t, 3)
	for i, field := range []string{"X-Secret : v", "X Secret: v", "X-Secret\t: v", "X-Secret\x00: v", "X-Secret\x7f: v", "X-Secret\r: v"} {
		for n, line := range []string{"HTTP/1.1 200 X\r\n", "HTTP/1.1 103 X\r\n"} {
			c.head.Store(line + field + "\r\n")
			job := fmt.Sprint("field-", i, "-", n)
			r, err := c.send(i%3, http.MethodPost, "/t/post/x", "X-Job", job)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, r.status, "%q: %s", field, r.body)
			require.Equal(t, "unknown", r.outcome)
			require.NotContains(t, r.body, "inner")
			require.NotContains(t, r.body, "Secret")
			runs, _ := c.runs.Load(job)
			require.EqualValues(t, 1, runs.(*atomic.Int64).Load())
			r, err = c.send(i%3, http.MethodGet, "/t/get/x")
			require.NoError(t, err)
			require.NotEqual(t, http.StatusOK, r.status, "%q: %s", field, r.body)
		}
	}
}

// TestHTTP2 checks that callers can use unencrypted HTTP/2.
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

// A caller that left behind a request that it had sent ahead kept the backend server at work.
func TestRequestOfACallerThatSentAheadAndLeftIsCanceled(t *testing.T) {
	c := newCluster(t, 3)
	c.workTime.Store(int64(15 * time.Second)) // The route's timeout is longer.
	for i := range c.daemons {                // At most one of them sends the request to the backend server itself.
		job := fmt.Sprint("left ", i)
		request := fmt.Sprintf("GET /t/get/x HTTP/1.1\r\nHost: a\r\n%s: %s\r\nX-Job: %s\r\n\r\n", caller.HeaderKey, c.key, job)
		conn, err := net.Dial("tcp", c.address(i, 8080).String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		c.eventually(func() bool { return c.runCount(job) > 0 }, "the request runs")
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	began := func() (n int64) {
		c.runs.Range(func(_, v any) bool {
			n += v.(*atomic.Int64).Load()
			return true
		})
		return n
	}
	c.eventually(func() bool { return c.dropped.Load()+c.finished.Load() == began() }, "all requests have ended")
	require.Zero(t, c.finished.Load())
}

// A caller that leaves while its request waits for a slot must not keep its place, also behind a request that it sent ahead.
func TestRequestOfACallerThatLeavesWhileItWaitsForASlotDoesNotRun(t *testing.T) {
	c := newCluster(t, 3)
	c.workTime.Store(int64(15 * time.Second)) // The route's timeout is longer.
	c.publish(strings.Replace(fmt.Sprintf(testDocument, merger.HashKey(c.key), c.backend.Listener.Addr()), `"slots": 64`, `"slots": 1`, 1), 1)
	for _, d := range c.daemons {
		c.eventually(func() bool { return d.follower.Index().Versions["t"] == 2 }, "the slot is in force")
	}
	open := func(i int, job string) (conn net.Conn, request string) {
		request = fmt.Sprintf("GET /t/get/x HTTP/1.1\r\nHost: a\r\n%s: %s\r\nX-Job: %s\r\n\r\n", caller.HeaderKey, c.key, job)
		conn, err := net.Dial("tcp", c.address(i, 8080).String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		return conn, request
	}
	waiting := func() (n int) {
		for _, d := range c.daemons {
			for _, g := range d.dispatcher.Status() {
				for _, w := range g.Waiting {
					n += w
				}
			}
		}
		return n
	}
	open(0, "busy")
	c.eventually(func() bool { return c.runCount("busy") > 0 }, "the request that takes the slot runs")
	for i := range c.daemons { // At most one of them has the queue.
		job := fmt.Sprint("waits ", i)
		conn, request := open(i, job)
		c.eventually(func() bool { return waiting() == 1 }, "the request waits")
		_, err := io.WriteString(conn, request)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		c.eventually(func() bool { return waiting() == 0 }, "the request has left the queue")
		require.Zero(t, c.runCount(job))
	}
	require.Zero(t, c.finished.Load()+c.dropped.Load(), "the slot was taken all the time")
}

// TestWithdrawnKeyOnAKeptConnection checks that all VMs refuse a key after its withdrawal, also on connections that
// were opened before.
func TestWithdrawnKeyOnAKeptConnection(t *testing.T) {
	c := newCluster(t, 3)
	require.True(t, c.answered(0))
	c.withdrawKey()
	for i := range 3 {
		c.eventually(func() bool {
			r, err := c.send(i, http.MethodGet, "/t/get/x")
			return err == nil && r.reason == "key" && r.outcome == "not-run"
		}, "every VM refuses the withdrawn key")
	}
}

// TestWithdrawnKeyWhenOneCannotReadTheLog checks that a VM that is cut off from the log, but not from its peers,
// gets the withdrawal of a key from them and stays in contact by relay.
func TestWithdrawnKeyWhenOneCannotReadTheLog(t *testing.T) {
	c := newCluster(t, 3)
	c.daemons[0].logCut.Store(true)
	c.withdrawKey()
	c.eventually(func() bool {
		r, err := c.send(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "key"
	}, "the VM gets the withdrawal from a peer")
	c.eventually(func() bool { return c.daemons[0].witness.Reason(time.Now()) == witness.ReasonRelay }, "the VM stays in contact by relay")
}

// TestCutOffStopsServing checks that a VM that is cut off from the log and its peers soon refuses requests that need a
// key, still serves open routes, and applies the withdrawal of a key when it is connected again.
func TestCutOffStopsServing(t *testing.T) {
	c := newCluster(t, 3)
	c.daemons[0].logCut.Store(true)
	c.daemons[0].linksCut.Store(true)
	began := time.Now()
	c.withdrawKey()
	c.eventually(func() bool {
		r, err := c.send(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "no-contact" && r.outcome == "not-run"
	}, "the VM refuses requests while it is out of contact")
	if took := time.Since(began); took < stepTimeout/2 {
		require.Less(t, took, maxContactAge+5*time.Second, "the VM refuses soon after its contact expired")
	}
	r, err := c.send(0, http.MethodGet, "/t/open/x")
	require.NoError(t, err)
	require.Equal(t, "answered", r.outcome, "an open route is served")
	c.daemons[0].logCut.Store(false)
	c.daemons[0].linksCut.Store(false)
	c.eventually(func() bool {
		r, err := c.send(0, http.MethodGet, "/t/get/x")
		return err == nil && r.reason == "key"
	}, "the VM is in contact again and has the withdrawal")
}

// TestLogAway checks that all VMs keep serving during an outage of the platform, and that a VM started during the
// outage gets its state from a peer and serves too.
func TestLogAway(t *testing.T) {
	c := newCluster(t, 3)
	c.setUnavailable(true)
	for _, d := range c.daemons {
		c.eventually(func() bool { return d.witness.Reason(time.Now()) == witness.ReasonMajority }, "contact by majority while the log is unavailable")
	}
	for i := range 3 {
		require.True(t, c.answered(i))
	}
	c.daemons[2].terminate()
	d := c.start(2)
	c.eventually(func() bool { return c.answered(2) }, "a VM started during the outage gets its state from a peer")
	require.Equal(t, uint64(1), d.follower.Index().Versions["t"])
}

// TestPlannedStopsCutNothing checks that no request fails while all VMs are stopped and replaced one by one under a
// load of slow requests.
func TestPlannedStopsCutNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.workTime.Store(int64(300 * time.Millisecond))
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
					if r, err := c.send(i, http.MethodPost, "/t/post/x"); err != nil || r.outcome != "answered" {
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
		}, "the restarted daemon serves")
		stopping.Delete(i)
	}
	close(halt)
	wg.Wait()
	require.Zero(t, cut.Load())
	require.Positive(t, sent.Load())
}

// TestRetryThroughAnotherVM checks that attempts with the same idempotency key run at most once when they are sent
// through all VMs at once, and that a later attempt through another VM gets the first one's answer.
func TestRetryThroughAnotherVM(t *testing.T) {
	c := newCluster(t, 4)
	for n := range 10 {
		job := fmt.Sprint("order", n)
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				_, _ = c.send(i, http.MethodPost, "/t/post/x", "X-Job", job, caller.HeaderIdempotencyKey, job)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, c.runCount(job), int64(1))
	}
	r, err := c.send(0, http.MethodPost, "/t/post/x", "X-Job", "one", caller.HeaderIdempotencyKey, "one")
	require.NoError(t, err)
	require.Equal(t, "answered", r.outcome)
	c.daemons[0].terminate()
	for i := 1; i < 4; i++ {
		c.eventually(func() bool {
			again, err := c.send(i, http.MethodPost, "/t/post/x", "X-Job", "one", caller.HeaderIdempotencyKey, "one", caller.HeaderAttempt, "2")
			return err == nil && again.outcome == "answered" && again.body == r.body
		}, "the first attempt's answer")
	}
	require.EqualValues(t, 1, c.runCount("one"))
	r, err = c.send(1, http.MethodPost, "/t/post/other", caller.HeaderIdempotencyKey, "one")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, r.status, "the key was used for another request")
}

// TestDispatcherLostMidway kills the dispatcher of a group while it runs requests. It checks that a request reported
// as not run did not run, and that a sample of the POST requests, which are not idempotent, ran at most once.
func TestDispatcherLostMidway(t *testing.T) {
	c := newCluster(t, 3)
	c.workTime.Store(int64(200 * time.Millisecond))
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
			r, err := c.send(through, method, path, "X-Job", job)
			replies <- sent{job, r, err}
		}()
	}
	c.eventually(func() bool { return c.runCount("job0") > 0 }, "requests run")
	c.daemons[lost].kill()
	c.daemons[lost].messenger.Close()
	c.daemons[lost].terminate()
	for n := range cap(replies) {
		s := <-replies
		require.NoError(t, s.err)
		switch s.r.outcome {
		case "not-run":
			require.Zero(t, c.runCount(s.job))
		case "answered":
			require.Equal(t, "job "+s.job, s.r.body)
		}
		if strings.HasSuffix(s.job, "0") {
			require.LessOrEqual(t, c.runCount(s.job), int64(1), "%d", n)
		}
	}
}

// A result that its holders do not get would leave an attempt that seems to run for ever.
func TestResultsReachHoldersThatMissedThem(t *testing.T) {
	c := newCluster(t, 6)
	require.True(t, c.answered(0))
	through := slices.IndexFunc(c.daemons, func(d *daemon) bool { return len(d.dispatcher.Status()) > 0 })
	require.GreaterOrEqual(t, through, 0)
	d, key := c.daemons[through], ""
	var holders []placer.VM
	for n := 0; key == "" || slices.ContainsFunc(holders, d.self.Same); n++ {
		key = fmt.Sprint("one", n)
		holders, _ = d.recorder.Holders("t/a", key)
	}
	c.workTime.Store(int64(300 * time.Millisecond))
	answered := make(chan reply, 1)
	go func() {
		r, _ := c.send(through, http.MethodPost, "/t/post/x", "X-Job", key, caller.HeaderIdempotencyKey, key)
		answered <- r
	}()
	c.eventually(func() bool { return c.runCount(key) == 1 }, "the request runs")
	for _, h := range holders {
		c.linkCut(h.Address).Store(true)
	}
	r := <-answered
	require.Equal(t, "answered", r.outcome)
	time.Sleep(2 * recordTimeout)
	for _, h := range holders {
		c.linkCut(h.Address).Store(false)
	}
	other := (through + 1) % len(c.daemons)
	c.eventually(func() bool {
		again, err := c.send(other, http.MethodPost, "/t/post/x", "X-Job", key, caller.HeaderIdempotencyKey, key, caller.HeaderAttempt, "2")
		return err == nil && again.outcome == "answered" && again.body == r.body
	}, "the first attempt's answer")
	require.EqualValues(t, 1, c.runCount(key))
}
