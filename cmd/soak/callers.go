package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// accounts are the client accounts with their rates in requests per second. Callers send more than the rate of the
// account small, and the key of the account leaving is withdrawn during the run.
var accounts = map[string]float64{"large": 2000, "small": 20, "leaving": 200}

const (
	// requestTime is how long callers wait for an answer.
	requestTime = 3 * time.Second
	// listTime is how long callers use a list of addresses before they request a new one.
	listTime = time.Second
	// callerPause is the mean pause between two requests of a caller.
	callerPause = 30 * time.Millisecond
)

// caller sends one request at a time and reuses its connections.
type caller struct {
	fleet  *fleet
	random *rand.Rand
	number int
	sent   int
	client *http.Client
	list   []string
	listAt time.Time
	// at is the address of the daemon that the caller uses as long as the list has it.
	at string
}

func newCaller(f *fleet, number int, seed uint64) *caller {
	return &caller{
		fleet: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: &http.Client{Timeout: requestTime, Transport: &http.Transport{DisableCompression: true}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(callerPause)))
		d := c.choose()
		if d == nil {
			continue
		}
		account, path := "large", "/safe/x"
		switch x := c.random.Float64(); {
		case x < 0.45:
			path = "/once/x"
		case x < 0.6:
			account, path = "small", "/once/x"
		case x < 0.7:
			account = "leaving"
		case x < 0.8:
			account, path = "", "/open/x"
		}
		c.send(d, account, path)
	}
}

// choose returns a daemon from the address list, the same one as long as the list has it. It returns nil if the list is
// empty or names no known daemon.
func (c *caller) choose() *daemon {
	if time.Since(c.listAt) > listTime {
		c.ask()
	}
	for _, a := range c.list {
		if a == c.at {
			return c.fleet.byAddress(a)
		}
	}
	if len(c.list) == 0 {
		return nil
	}
	c.at = c.list[c.random.IntN(len(c.list))]
	return c.fleet.byAddress(c.at)
}

// ask requests a new address list from a random daemon, and keeps the old list on failure.
func (c *caller) ask() {
	d := c.fleet.daemons[c.random.IntN(len(c.fleet.daemons))]
	rep, err := c.client.Get(fmt.Sprintf("http://%s:8404/jacinthproxy/resolve?Name=%s&Zone=%s", d.ip(), host, domains[c.random.IntN(len(domains))]))
	if err != nil {
		return
	}
	defer func() { _ = rep.Body.Close() }()
	var l struct{ Addresses []string }
	if rep.StatusCode == http.StatusOK && json.NewDecoder(rep.Body).Decode(&l) == nil {
		c.list, c.listAt = l.Addresses, time.Now()
	}
}

// byAddress returns the daemon with an address for callers, or nil.
func (f *fleet) byAddress(a string) *daemon {
	for _, d := range f.daemons {
		if d.callers() == a {
			return d
		}
	}
	return nil
}

// send sends one request and reports it and its result to the checker.
func (c *caller) send(d *daemon, account, path string) {
	c.sent++
	id := fmt.Sprintf("%d-%d", c.number, c.sent)
	idempotent := !strings.HasPrefix(path, "/once/")
	process, _ := d.run()
	c.fleet.checker.sent(id, account, idempotent, time.Now())
	got, err := c.do(d, id, account, path)
	after, stopping := d.run()
	if err != nil {
		if stopping && process == after && !c.fleet.disturbed() {
			c.fleet.checker.cut(id, process)
		}
		c.at = ""
		return
	}
	c.fleet.checker.answered(id, got.status, got.signature, got.body, process)
}

// answer is the part of a response that the checker needs.
type answer struct {
	status          int
	signature, body string
}

// do sends a request and reads the complete response. It sets a forged Tenant header, which daemons must not pass on.
func (c *caller) do(d *daemon, id, account, path string) (answer, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers()+path, strings.NewReader("body of "+id))
	if err != nil {
		return answer{}, err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
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
	return answer{rep.StatusCode, rep.Header.Get("Server-Signature"), string(b)}, err
}

// watch repeatedly requests the route that the newest configuration added from one daemon, until the context ends.
func (f *fleet) watch(ctx context.Context, d *daemon) {
	c := newCaller(f, 1000+d.index, 0)
	for ctx.Err() == nil {
		time.Sleep(10 * callerPause)
		v, acked := f.newest()
		process, _ := d.run()
		sentAt := time.Now()
		c.sent++
		id := fmt.Sprintf("%d-%d", c.number, c.sent)
		f.checker.sent(id, "", true, sentAt)
		got, err := c.do(d, id, "", "/"+versionRoute(v)+"/")
		if err != nil {
			continue
		}
		if after, _ := d.run(); after == process {
			f.checker.used(process, v, got.status, sentAt.Sub(acked), f.disturbed())
		}
	}
}
