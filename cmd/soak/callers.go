package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// accounts are the client accounts with their rates in requests per second. Callers send more than the rate of the
// account small, and the key of the account leaving is withdrawn during the run.
var accounts = map[string]float64{"large": 2000, "small": 20, "leaving": 200}

const (
	// requestTimeout is how long callers wait for an answer.
	requestTimeout = 3 * time.Second
	// addressTTL is how long callers use a list of addresses before they request a new one.
	addressTTL = time.Second
	// maxUploadRepeats is how often an upload repeats its text at most: up to some 500 KB.
	maxUploadRepeats = 30_000
	// longHeader is the length of a header that only the raised limit allows, in bytes, and longHeaderDelay the time after which
	// all daemons know that limit.
	longHeader      = 32 << 10
	longHeaderDelay = 3 * time.Second
	// maxBodyPause bounds the time in which a caller stops in the middle of a body.
	maxBodyPause = 1500 * time.Millisecond
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 30 * time.Millisecond
)

// caller sends one request at a time and reuses its connections.
type caller struct {
	fleet       *fleet
	random      *rand.Rand
	number      int
	sent        int
	client      *http.Client
	addresses   []string
	addressesAt time.Time
	// current is the address of the daemon that the caller uses as long as the list has it.
	current string
}

func newCaller(f *fleet, number int, seed uint64) *caller {
	return &caller{
		fleet: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableCompression: true}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(callerPause)))
		d := c.chooseDaemon()
		if d == nil {
			continue
		}
		account, path := "large", "/safe/x"
		switch x := c.random.Float64(); {
		case x < 0.2:
			path = "/once/x"
		case x < 0.45:
			path = "/pay/x"
		case x < 0.6:
			account, path = "small", "/once/x"
		case x < 0.7:
			account = "leaving"
		case x < 0.8:
			account, path = "", "/open/x"
		case x < 0.86:
			path = "/upload/x"
		case x < 0.9:
			path = "/split/x"
		case x < 0.95:
			c.sendAhead(d)
			continue
		case x < 0.97:
			c.sendAheadAndLeave(d)
			continue
		}
		c.send(d, account, path)
	}
}

// chooseDaemon returns a daemon from the address list, the same one as long as the list has it. It returns nil if the
// list is empty or names no known daemon.
func (c *caller) chooseDaemon() *daemon {
	if time.Since(c.addressesAt) > addressTTL {
		c.refreshAddresses()
	}
	for _, a := range c.addresses {
		if a == c.current {
			return c.fleet.byAddress(a)
		}
	}
	if len(c.addresses) == 0 {
		return nil
	}
	c.current = c.addresses[c.random.IntN(len(c.addresses))]
	return c.fleet.byAddress(c.current)
}

// refreshAddresses requests a new address list from a random daemon, and keeps the old list on failure.
func (c *caller) refreshAddresses() {
	d := c.fleet.daemons[c.random.IntN(len(c.fleet.daemons))]
	rep, err := c.client.Get(fmt.Sprintf("http://%s:8404/jacinthproxy/resolve?Name=%s&Zone=%s", d.ip(), host, failureDomains[c.random.IntN(len(failureDomains))]))
	if err != nil {
		return
	}
	defer func() { _ = rep.Body.Close() }()
	var l struct{ Addresses []string }
	if rep.StatusCode == http.StatusOK && json.NewDecoder(rep.Body).Decode(&l) == nil {
		c.addresses, c.addressesAt = l.Addresses, time.Now()
	}
}

// byAddress returns the daemon with an address for callers, or nil.
func (f *fleet) byAddress(a string) *daemon {
	for _, d := range f.daemons {
		if d.callerAddress() == a {
			return d
		}
	}
	return nil
}

// send sends one request and reports it and its result to the checker.
func (c *caller) send(d *daemon, account, path string) {
	c.sent++
	id := fmt.Sprintf("%d-%d", c.number, c.sent)
	process, _ := d.currentProcess()
	c.fleet.checker.recordSent(id, account, serviceOf(path), process, isIdempotent(path), time.Now())
	got, err := c.do(d, id, account, path)
	after, stopping := d.currentProcess()
	if err != nil {
		if stopping && process == after && !c.fleet.timeBoundsSuspended() {
			c.fleet.checker.recordInterrupted(id, process)
		}
		c.current = ""
		return
	}
	c.fleet.checker.recordAnswer(id, got, process)
}

// serviceOf returns the service that runs the requests for a path; empty if there are several.
func serviceOf(path string) string {
	switch {
	case strings.HasPrefix(path, "/upload/"):
		return serviceArchive
	case strings.HasPrefix(path, "/pay/"):
		return serviceVault
	case strings.HasPrefix(path, "/split/"):
		return ""
	}
	return serviceLedger
}

func isIdempotent(path string) bool {
	return !strings.HasPrefix(path, "/once/") && !strings.HasPrefix(path, "/pay/") && !strings.HasPrefix(path, "/upload/")
}

// sendAhead sends several idempotent requests on a connection before it reads the first answer. The answers must come in
// the order of the requests.
func (c *caller) sendAhead(d *daemon) {
	conn, err := net.DialTimeout("tcp", d.callerAddress(), requestTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout)) // Later calls fail if this one does.
	process, _ := d.currentProcess()
	var ids []string
	var requests strings.Builder
	for range 2 + c.random.IntN(3) {
		c.sent++
		id := fmt.Sprintf("%d-%d", c.number, c.sent)
		ids = append(ids, id)
		c.fleet.checker.recordSent(id, "large", serviceLedger, process, true, time.Now())
		fmt.Fprintf(&requests, "GET /safe/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Api-Key: key-large\r\nDeadline-Ms: %d\r\n\r\n",
			host, id, requestTimeout.Milliseconds())
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		return
	}
	for r, i := bufio.NewReader(conn), 0; i < len(ids); i++ {
		rep, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		b, err := io.ReadAll(rep.Body)
		_ = rep.Body.Close()
		if err != nil {
			return
		}
		c.fleet.checker.recordAnswer(ids[i], answerOf(rep, b), process)
		if rep.Close {
			return
		}
	}
}

// answer is the part of a response that the checker needs.
type answer struct {
	status          int
	signature, body string
	// leaving is set if the answer states that its backend server leaves.
	leaving bool
	// head is set in an answer to HEAD, which has no body.
	head bool
}

func answerOf(rep *http.Response, body []byte) answer {
	return answer{rep.StatusCode, rep.Header.Get("Server-Signature"), string(body), rep.Header.Get("Server-Leaving") == "1", rep.Request != nil && rep.Request.Method == http.MethodHead}
}

// slowBody stops once for a while after its first byte.
type slowBody struct {
	r     io.Reader
	pause time.Duration
	begun bool
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		return b.r.Read(p[:1])
	}
	time.Sleep(b.pause)
	b.pause = 0
	return b.r.Read(p)
}

// do sends a request and reads the complete response. It sets a forged Tenant header, which daemons must not pass on.
func (c *caller) do(d *daemon, id, account, path string) (answer, error) {
	body, method := bodyOf(id), http.MethodPost
	if strings.HasPrefix(path, "/upload/") {
		body = strings.Repeat(body, 1+c.random.IntN(maxUploadRepeats))
	}
	if strings.HasPrefix(path, "/safe/") && c.random.IntN(5) == 0 {
		body, method = "", http.MethodHead
	}
	var src io.Reader = strings.NewReader(body)
	if body != "" && c.random.IntN(20) == 0 {
		src = &slowBody{r: src, pause: time.Duration(c.random.Int64N(int64(maxBodyPause)))}
	}
	req, err := http.NewRequest(method, "http://"+d.callerAddress()+path, src)
	if err != nil {
		return answer{}, err
	}
	req.ContentLength = int64(len(body))
	if method == http.MethodHead {
		req.Body, req.GetBody = io.NopCloser(src), nil // Otherwise the client sends it again after some errors, under the same ID.
	}
	if len(body)%2 == 1 {
		req.ContentLength = -1 // The body is sent in chunks.
	}
	if at := c.fleet.headerRaised.Load(); at > 0 && time.Since(time.Unix(0, at)) > longHeaderDelay && !c.fleet.timeBoundsSuspended() {
		req.Header.Set("X-Note", strings.Repeat("n", c.random.IntN(longHeader)))
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	req.Header.Set("Tenant", "forged")
	if account != "" {
		req.Header.Set("X-Api-Key", "key-"+account)
	}
	rep, err := c.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = rep.Body.Close() }()
	b, err := io.ReadAll(rep.Body)
	return answerOf(rep, b), err
}

// watchConfiguration repeatedly requests the route that the newest configuration added from one daemon, until the
// context ends.
func (f *fleet) watchConfiguration(ctx context.Context, d *daemon) {
	c := newCaller(f, 1000+d.index, 0)
	for ctx.Err() == nil {
		time.Sleep(10 * callerPause)
		v, acceptedAt := f.newestVersion()
		process, _ := d.currentProcess()
		sentAt := time.Now()
		c.sent++
		id := fmt.Sprintf("%d-%d", c.number, c.sent)
		f.checker.recordSent(id, "", serviceLedger, process, true, sentAt)
		got, err := c.do(d, id, "", "/"+versionRoute(v)+"/")
		if err != nil {
			continue
		}
		if after, _ := d.currentProcess(); after == process {
			f.checker.recordUse(process, v, got.status, sentAt.Sub(acceptedAt), f.timeBoundsSuspended())
		}
	}
}
