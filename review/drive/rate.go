package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"sort"
	"sync"
	"syscall"
	"time"
)

// The tenant, its limit and its load. A hot tenant sends 7.5 times its usual for 6.5 s, the largest dose of the small sites.
const (
	rateTenant = "pit-crew"
	rateKey    = "2b9wu3fexd9dnn2ctnfz"
	ratePerS   = 150.0
	rateBurst  = 450.0
	usualPerS  = 60.0
	hotTimes   = 7.5
	usualFor   = 8 * time.Second
	hotFor     = 6500 * time.Millisecond
)

// The disruption: the process that counts the tenant's requests is killed once, and started again after a short delay.
const (
	killAfter    = 2500 * time.Millisecond
	restartAfter = 300 * time.Millisecond
)

// The bound of the rule.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
)

// forgottenRate kills the machine that counts a tenant's requests while the tenant is hot, and counts what runs.
func forgottenRate(f *fleet, trouble bool) verdict {
	if err := f.addVMs(4, "a", "b"); err != nil {
		return verdict{err: err}
	}
	var is []*instance
	for n := range 8 {
		i, err := f.newInstance(fmt.Sprintf("i-%d", n+1), "ledger", []string{"a", "b"}[n%2], 20*time.Millisecond)
		if err != nil {
			return verdict{err: err}
		}
		is = append(is, i)
	}
	err := f.publish(1,
		resource("Routes", "balance", map[string]any{
			"Host": host, "PathPrefix": "/balance/", "Kind": "safe", "TimeoutS": 5, "TargetLatencyS": 1, "Priority": 2, "Attempts": 2, "Service": "ledger", "Public": false,
		}),
		resource("Services", "ledger", map[string]any{"HealthPath": "/health", "MaxConnections": 390}),
		resource("Tenants", rateTenant, map[string]any{"ApiKeys": []string{rateKey}, "Priority": 1, "RatePerS": ratePerS, "Burst": rateBurst}),
		limitsResource())
	if err != nil {
		return verdict{err: err}
	}
	if err := f.startAll(); err != nil {
		return verdict{err: err}
	}
	l := &rateLoad{f: f, sent: map[string]time.Time{}}
	l.send(usualPerS, usualFor)
	f.record.addf("the tenant is hot")
	l.wait.Go(func() { l.send(usualPerS*hotTimes, hotFor) })
	time.Sleep(killAfter)
	if trouble {
		if err := f.restartOwner(); err != nil {
			return verdict{err: err}
		}
	}
	l.wait.Wait()
	return l.judge(is)
}

// restartOwner kills the machine that counts the tenant's requests, and starts it again.
func (f *fleet) restartOwner() error {
	v, err := f.owner()
	if err != nil {
		return err
	}
	f.signal(v, syscall.SIGKILL)
	<-v.done
	time.Sleep(restartAfter)
	return f.start(v)
}

// ownerLine matches the log line of the machine that counts the tenant's requests.
var ownerLine = regexp.MustCompile(`event="owning rate" account=` + rateTenant)

// owner returns the machine that counts the tenant's requests.
func (f *fleet) owner() (*vm, error) {
	for _, v := range f.vms {
		b, err := os.ReadFile(v.log) //nolint:gosec // The fleet named it.
		if err != nil {
			return nil, err
		}
		if ownerLine.Match(b) {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no machine counts the requests of %s", rateTenant)
}

// rateLoad sends the tenant's requests, spread over the machines.
type rateLoad struct {
	f    *fleet
	wait sync.WaitGroup
	mu   sync.Mutex
	n    int
	sent map[string]time.Time
}

// send sends requests at an even rate for a time.
func (l *rateLoad) send(perS float64, d time.Duration) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perS))
	defer t.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-t.C {
		l.mu.Lock()
		l.n++
		n := l.n
		l.mu.Unlock()
		l.wait.Go(func() { l.one(n) })
	}
}

var client = &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// one sends one request. If a machine cannot be reached, it tries the next one, as a new attempt with an id of its own.
func (l *rateLoad) one(n int) {
	for k := range l.f.vms {
		v := l.f.vms[(n+k)%len(l.f.vms)]
		id := fmt.Sprintf("r%d.%d", n, k)
		req, err := http.NewRequest(http.MethodGet, "http://"+v.front+"/balance/x", nil)
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "5000")
		req.Header.Set("X-Api-Key", rateKey)
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.mu.Unlock()
		l.f.record.addf("client: %s sent to %s", id, v.name)
		resp, err := client.Do(req)
		if err != nil {
			l.f.record.addf("client: %s has no answer: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		l.f.record.addf("client: %s is answered %d", id, resp.StatusCode)
		return
	}
}

// judge checks the rule: of the tenant's requests, those that were both sent and run within the window.
func (l *rateLoad) judge(is []*instance) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	type span struct{ sent, ran time.Time }
	first := map[string]span{}
	for _, i := range is {
		for _, r := range i.executed() {
			if s, ok := first[r.id]; r.tenant == rateTenant && (!ok || r.at.Before(s.ran)) {
				first[r.id] = span{l.sent[r.id], r.at}
			}
		}
	}
	ss := make([]span, 0, len(first))
	for _, s := range first {
		ss = append(ss, s)
	}
	sort.Slice(ss, func(i, j int) bool { return ss[i].ran.Before(ss[j].ran) })
	most, end := 0, time.Time{}
	for i, s := range ss {
		n := 0
		for _, o := range ss[:i+1] {
			if !o.sent.Before(s.ran.Add(-quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, end = n, s.ran
		}
	}
	allowed := (ratePerS*quotaWindow.Seconds()+rateBurst)*(1+quotaOvershoot) + quotaSlack
	text := fmt.Sprintf("%d requests of %s were sent and ran within %s, up to %.3f s; %.0f are allowed", most, rateTenant, quotaWindow, end.Sub(l.f.record.at).Seconds(), allowed)
	l.f.record.addf("%s", text)
	if float64(most) > allowed {
		return verdict{broken: "QUOTA: " + text}
	}
	return verdict{}
}
