package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// client sends requests to machines over kept connections.
type client struct {
	record *record
	http   *http.Client
	limit  time.Duration
	wait   sync.WaitGroup
	mu     sync.Mutex
	n      int
	// answered is called with each answer; it may be nil.
	answered func(answer)
}

func newClient(r *record, limit time.Duration) *client {
	d := net.Dialer{Timeout: time.Second}
	return &client{record: r, limit: limit, http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
	}}}
}

// send sends one request to a machine. It does not wait for the answer.
func (c *client) send(m *machine, path, key string) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%08x%08x", c.n, time.Now().UnixNano()&0xffffffff)
	c.mu.Unlock()
	c.wait.Go(func() { c.exchange(m, path, key, id) })
}

func (c *client) exchange(m *machine, path, key, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	a := answer{id: id, machine: m.ip}
	defer func() {
		a.ended = time.Now()
		c.record.addAnswer(a)
		if c.answered != nil {
			c.answered(a)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address()+path, nil)
	if err != nil {
		a.text = err.Error()
		return
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))
	req.Header.Set("X-Api-Key", key)
	a.sent = c.record.addSent(id)
	resp, err := c.http.Do(req)
	if err != nil {
		a.text = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		a.text = err.Error()
		return
	}
	a.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		a.text = string(b)
	}
}

// load sends requests at an even rate, to the machines in turn, until the function returns false.
func (c *client) load(rate float64, ms []*machine, path, key string, goOn func() bool) {
	began := time.Now()
	for i := 0; goOn(); i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		c.send(ms[i%len(ms)], path, key)
	}
}
