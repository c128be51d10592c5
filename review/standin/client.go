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
	"slices"
	"sync"
	"time"
)

// resolver asks the daemons for the addresses to connect to and keeps the response for as long as it says.
type resolver struct {
	fleet *fleet
	zone  string

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// list returns the addresses to use. A response is kept longer only if no new one can be obtained.
func (r *resolver) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return r.addresses
	}
	ms := slices.Clone(r.fleet.machines)
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	slices.SortStableFunc(ms, func(a, b *machine) int {
		switch {
		case (a.zone == r.zone) == (b.zone == r.zone):
			return 0
		case a.zone == r.zone:
			return -1
		}
		return 1
	})
	for _, m := range ms[:min(3, len(ms))] {
		as, ttl, err := resolve(m, r.zone)
		if err == nil && len(as) > 0 {
			r.addresses, r.until = as, time.Now().Add(min(ttl, 5*time.Second))
			return as
		}
	}
	return r.addresses
}

func resolve(m *machine, zone string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/jacinthproxy/resolve?Name=%s&Region=r&Zone=%s", m.ip, portDirectory, host, zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var got struct {
		Addresses []string
		TtlS      float64 //nolint:revive // The platform's name.
	}
	err = json.NewDecoder(resp.Body).Decode(&got)
	return got.Addresses, time.Duration(got.TtlS * float64(time.Second)), err
}

// client sends one request at a time and keeps its connection.
type client struct {
	resolver *resolver
	record   *record
	conn     net.Conn
	r        *bufio.Reader
	to       string
}

// request is what a client sends.
type request struct {
	method, path, key, body string
	// header holds further header lines.
	header string
	limit  time.Duration
}

// sent is one request with what became of it.
type sent struct {
	id      string
	at      time.Time
	took    time.Duration
	status  int
	leaving bool
	signed  bool
	body    string
	err     error
	to      string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an address of the list, unless there is one to an address that is still listed.
func (c *client) connect() error {
	list := c.resolver.list()
	if c.conn != nil && slices.Contains(list, c.to) {
		return nil
	}
	c.close()
	var err error
	for range 3 {
		if len(list) == 0 {
			return fmt.Errorf("no address is known")
		}
		c.to = list[rand.IntN(len(list))]
		if c.conn, err = net.DialTimeout("tcp", c.to, time.Second); err == nil {
			c.r = bufio.NewReader(c.conn)
			return nil
		}
		c.conn = nil
	}
	return err
}

// do sends a request and reads its answer.
func (c *client) do(q request) sent {
	s := sent{id: newID()}
	if s.err = c.connect(); s.err != nil {
		s.at = time.Now()
		c.record.printf("client: %s %s not sent: %v", s.id, q.path, s.err)
		return s
	}
	s.to, s.at = c.to, time.Now()
	_ = c.conn.SetDeadline(s.at.Add(q.limit))
	_, s.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		q.method, q.path, host, s.id, q.limit.Milliseconds(), q.key, q.header, len(q.body), q.body)
	if s.err == nil {
		s.err = c.read(&s)
	}
	s.took = time.Since(s.at)
	if s.err != nil {
		c.close()
	}
	c.record.printf("client: %s %s sent to %s at %s: status %d in %d ms, error %v", s.id, q.path, s.to, c.record.since(s.at), s.status, s.took.Milliseconds(), s.err)
	return s
}

func (c *client) read(s *sent) error {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return err
	}
	s.status, s.body = resp.StatusCode, string(b)
	s.leaving, s.signed = resp.Header.Get("Server-Leaving") != "", resp.Header.Get("Server-Signature") != ""
	if resp.Close {
		c.close()
	}
	return nil
}

// load sends requests at a rate until stop is closed, from as many clients as it takes.
type load struct {
	resolvers []*resolver
	record    *record
	request   func() request

	mu   sync.Mutex
	idle []*client
	out  []sent
	wg   sync.WaitGroup
}

// run sends perS requests a second for a time and then returns; answers may come later.
func (l *load) run(perS float64, d time.Duration) {
	end := time.Now().Add(d)
	for next := time.Now(); next.Before(end); next = next.Add(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))) {
		time.Sleep(time.Until(next))
		l.wg.Go(l.once)
	}
}

// once sends a request from an idle client, or a new one if there is none.
func (l *load) once() {
	l.mu.Lock()
	n := len(l.idle)
	if n == 0 {
		l.mu.Unlock()
		l.join()
		return
	}
	k := rand.IntN(n)
	c := l.idle[k]
	l.idle = slices.Delete(l.idle, k, k+1)
	l.mu.Unlock()
	l.send(c)
}

// join sends a request from a new client.
func (l *load) join() {
	l.send(&client{resolver: l.resolvers[rand.IntN(len(l.resolvers))], record: l.record})
}

func (l *load) send(c *client) {
	s := c.do(l.request())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = append(l.out, s)
	l.idle = append(l.idle, c)
}

// sentSoFar returns the requests that have ended.
func (l *load) sentSoFar() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.out)
}
