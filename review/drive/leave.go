package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The load: clients with one safe request each, of which some send a second one ahead.
const (
	leaveClients = 60
	// aheadEvery is that every second client sends ahead, and aheadAfter when it does.
	aheadEvery = 2
	aheadAfter = 50 * time.Millisecond
	// leaveWork is how long an instance works on a request.
	leaveWork = 1600 * time.Millisecond
	// leaveLimit is the clients' time limit.
	leaveLimit = 20 * time.Second
)

// The disruption: three clients in ten leave before their time limit.
const (
	leaveShare = 0.3
	leaveAfter = 400 * time.Millisecond
)

// The bound of the rule: half a second after a client has left, no more than a quarter of the requests that would last so
// long may still be at work.
const (
	goneAfter = 500 * time.Millisecond
	goneShare = 0.25
	// goneMargin is allowed for the way of the close to the machine and on to the instance.
	goneMargin = 200 * time.Millisecond
)

// leaveAhead lets clients leave whose requests are at work, and counts the requests on which instances work on.
func leaveAhead(f *fleet, trouble bool) verdict {
	if err := f.addVMs(3, "a", "b", "c"); err != nil {
		return verdict{err: err}
	}
	var is []*instance
	for n := range 12 {
		i, err := f.newInstance(fmt.Sprintf("i-%d", n+1), "board", []string{"a", "b", "c"}[n%3], leaveWork)
		if err != nil {
			return verdict{err: err}
		}
		is = append(is, i)
	}
	if err := f.publish(1,
		resource("Routes", "notice", map[string]any{
			"Host": host, "PathPrefix": "/notice/", "Kind": "safe", "TimeoutS": 20, "TargetLatencyS": 3, "Priority": 2, "Attempts": 2, "Service": "board", "Public": true,
		}),
		resource("Services", "board", map[string]any{"HealthPath": "/health", "MaxConnections": 5400}),
		limitsResource()); err != nil {
		return verdict{err: err}
	}
	if err := f.startAll(); err != nil {
		return verdict{err: err}
	}
	time.Sleep(4 * time.Second) // All machines are in touch.
	l := &leaveLoad{f: f, leftAt: map[string]time.Time{}}
	for k := range leaveClients {
		leaves := trouble && float64(k%10) < 10*leaveShare
		l.wait.Go(func() { l.client(k, leaves) })
	}
	l.wait.Wait()
	time.Sleep(leaveWork)
	return l.judge(is)
}

type leaveLoad struct {
	f      *fleet
	wait   sync.WaitGroup
	mu     sync.Mutex
	leftAt map[string]time.Time
	failed int
}

// client sends a client's requests on one connection, and leaves or reads the answers.
func (l *leaveLoad) client(k int, leaves bool) {
	v := l.f.vms[k%len(l.f.vms)]
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		l.fail("%v", err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(leaveLimit))
	ids := []string{fmt.Sprintf("c%d.1", k)}
	l.send(c, v, ids[0])
	sentAt := time.Now()
	if (k/10)%aheadEvery == 0 {
		time.Sleep(aheadAfter)
		ids = append(ids, fmt.Sprintf("c%d.2", k))
		l.send(c, v, ids[1])
	}
	if leaves {
		time.Sleep(time.Until(sentAt.Add(leaveAfter)))
		_ = c.Close()
		l.mu.Lock()
		l.leftAt[ids[0]] = time.Now()
		l.mu.Unlock()
		l.f.record.addf("client %d leaves, with %d requests sent and none answered", k, len(ids))
		return
	}
	r := bufio.NewReader(c)
	for _, id := range ids {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			l.fail("%s: %v", id, err)
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		l.f.record.addf("client %d: %s is answered %d, error %v", k, resp.Header.Get("Request-Id"), resp.StatusCode, err)
		if resp.StatusCode != http.StatusOK || resp.Header.Get("Request-Id") != id {
			l.fail("%s: status %d", id, resp.StatusCode)
		}
	}
}

func (l *leaveLoad) send(c net.Conn, v *vm, id string) {
	l.f.record.addf("client: %s sent to %s", id, v.name)
	_, _ = fmt.Fprintf(c, "GET /notice/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", host, id, leaveLimit.Milliseconds())
}

func (l *leaveLoad) fail(format string, args ...any) {
	l.f.record.addf("client: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

// judge counts the requests of clients that left at which instances were still at work, and those that reached one, too late.
func (l *leaveLoad) judge(is []*instance) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed > 0 {
		return verdict{err: fmt.Errorf("%d of the requests of clients that stay were not served", l.failed)}
	}
	long, late := 0, 0
	for _, i := range is {
		for _, r := range i.executed() {
			left, ok := l.leftAt[r.id]
			if !ok || r.at.Add(leaveWork).Before(left.Add(goneAfter+goneMargin)) {
				continue
			}
			long++
			if r.ended.After(left.Add(goneAfter + goneMargin)) {
				late++
				l.f.record.addf("%s worked on %s for %.2f s after its client had left", i.id, r.id, r.ended.Sub(left).Seconds())
			}
		}
	}
	text := fmt.Sprintf("instances were at work on %d of %d requests of clients that had left more than 0.5 s before; a quarter is allowed", late, long)
	l.f.record.addf("%s", text)
	if float64(late) > goneShare*float64(long) {
		return verdict{broken: "GONE: " + text}
	}
	return verdict{}
}
