package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The deployment and its load: tenants that stay within their limits by the factor of the small sites.
const (
	fleetVMs       = 4
	generations    = 5
	removedTenants = 4
	removedRate    = 20.0
	removedFactor  = 1.6
	calmFor        = 6 * time.Second
	// joinFor is how long new machines run beside the old ones before these are stopped, stopPerStep at a time each stopStep.
	joinFor     = 2 * time.Second
	stopPerStep = 2
	stopStep    = 1300 * time.Millisecond
	// fleetDown is how long the processes are gone at the end.
	fleetDown       = 1200 * time.Millisecond
	recovery        = 15 * time.Second
	judgedFor       = 10 * time.Second
	recoveredShare  = 0.25
	removedAttempts = 3
)

// removedMachines replaces all machines in turn by new ones, several times, and later kills all processes at once.
func removedMachines(f *fleet, trouble bool) verdict {
	if err := f.addVMs(fleetVMs*generations, "a", "b"); err != nil {
		return verdict{err: err}
	}
	for n := range 8 {
		if _, err := f.newInstance(fmt.Sprintf("i-%d", n+1), "ledger", []string{"a", "b"}[n%2], 20*time.Millisecond); err != nil {
			return verdict{err: err}
		}
	}
	rs := []map[string]any{
		resource("Routes", "balance", map[string]any{
			"Host": host, "PathPrefix": "/balance/", "Kind": "safe", "TimeoutS": 5, "TargetLatencyS": 1, "Priority": 2, "Attempts": 2, "Service": "ledger", "Public": false,
		}),
		resource("Services", "ledger", map[string]any{"HealthPath": "/health", "MaxConnections": 390}),
		limitsResource(),
	}
	for t := range removedTenants {
		rs = append(rs, resource("Tenants", tenantName(t), map[string]any{"ApiKeys": []string{tenantKey(t)}, "Priority": 1, "RatePerS": removedRate, "Burst": removedRate}))
	}
	if err := f.publish(1, rs...); err != nil {
		return verdict{err: err}
	}
	all := f.vms
	defer func() { f.vms = all }()
	f.vms = all[:fleetVMs]
	if err := f.startAll(); err != nil {
		return verdict{err: err}
	}
	l := &removedLoad{f: f, vms: append([]*vm(nil), f.vms...), stop: make(chan struct{})}
	for t := range removedTenants {
		l.wait.Go(func() { l.send(t) })
	}
	time.Sleep(calmFor)
	for g := 1; trouble && g < generations; g++ {
		if err := l.replace(all[fleetVMs*g : fleetVMs*(g+1)]); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(calmFor)
	before, left := l.take(), f.vms
	for _, v := range left {
		f.signal(v, syscall.SIGKILL)
	}
	for _, v := range left {
		<-v.done
	}
	time.Sleep(fleetDown)
	for _, v := range left {
		if err := f.start(v); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(recovery)
	l.take()
	time.Sleep(judgedFor)
	close(l.stop)
	l.wait.Wait()
	return judgeRecovery(f, before, l.take())
}

func tenantName(t int) string { return fmt.Sprintf("crew-%d", t+1) }
func tenantKey(t int) string  { return fmt.Sprintf("2b9wu3fexd9dnn2ctn%02d", t+1) }

// counts are the requests of a span and what they got.
type counts struct {
	sent, served int
	statuses     map[int]int
}

type removedLoad struct {
	f    *fleet
	stop chan struct{}
	wait sync.WaitGroup

	mu     sync.Mutex
	vms    []*vm
	n      int
	counts counts
}

// replace starts new machines and stops the old ones for good, once the new ones are ready.
func (l *removedLoad) replace(next []*vm) error {
	old := l.f.vms
	l.f.vms = next
	if err := l.f.startAll(); err != nil {
		return err
	}
	l.mu.Lock()
	l.vms = append(append([]*vm(nil), old...), next...)
	l.mu.Unlock()
	time.Sleep(joinFor)
	return l.remove(old)
}

// remove stops machines for good, a few at a time. Clients leave a machine with its SIGTERM, as its callers' list does.
func (l *removedLoad) remove(gone []*vm) error {
	var g sync.WaitGroup
	errs := make(chan error, len(gone))
	for i := 0; i < len(gone); i += stopPerStep {
		for _, v := range gone[i:min(i+stopPerStep, len(gone))] {
			l.mu.Lock()
			l.vms = l.vms[1:]
			l.mu.Unlock()
			l.f.signal(v, syscall.SIGTERM)
			g.Go(func() {
				<-v.done
				errs <- l.f.silence(v)
			})
		}
		time.Sleep(stopStep)
	}
	g.Wait()
	for range gone {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// silence stands for the address of a machine that is no more: whatever is sent to its peers' port gets no response.
func (f *fleet) silence(v *vm) error {
	a, err := net.Listen("tcp", fmt.Sprintf("%s:%d", v.ip, v.peers))
	if err != nil {
		return err
	}
	f.record.addf("%s is gone; its address does not respond", v.name)
	go func() {
		for {
			c, err := a.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	return nil
}

// send sends a tenant's requests, evenly and within its limit.
func (l *removedLoad) send(t int) {
	tick := time.NewTicker(time.Duration(float64(time.Second) * removedFactor / removedRate))
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
			l.wait.Go(func() { l.one(t) })
		}
	}
}

// one sends a request to one machine after another until one can be reached, each time with an id of its own.
func (l *removedLoad) one(t int) {
	l.mu.Lock()
	l.n++
	n, vms := l.n, l.vms
	l.mu.Unlock()
	status := 0
	for k := 0; k < removedAttempts && status == 0; k++ {
		v := vms[(n+k)%len(vms)]
		id := fmt.Sprintf("r%d.%d", n, k)
		req, err := http.NewRequest(http.MethodGet, "http://"+v.front+"/balance/x", nil)
		if err != nil {
			return
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Deadline-Ms", "5000")
		req.Header.Set("X-Api-Key", tenantKey(t))
		l.f.record.addf("client of %s: %s sent to %s", tenantName(t), id, v.name)
		resp, err := client.Do(req)
		if err != nil {
			l.f.record.addf("client: %s has no answer: %v", id, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		l.f.record.addf("client: %s is answered %d", id, status)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts.statuses == nil {
		l.counts.statuses = map[int]int{}
	}
	l.counts.sent++
	l.counts.statuses[status]++
	if status == http.StatusOK {
		l.counts.served++
	}
}

// take returns the counts since the last call.
func (l *removedLoad) take() counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	l.counts = counts{}
	return c
}

// judgeRecovery checks the rule: a quarter is served again if a quarter was before.
func judgeRecovery(f *fleet, before, after counts) verdict {
	text := fmt.Sprintf("later than %s after the machines were back, %d of %d requests were served (statuses %v); before, %d of %d", recovery, after.served, after.sent, after.statuses, before.served, before.sent)
	f.record.addf("%s", text)
	fmt.Println(text)
	share := func(c counts) float64 { return float64(c.served) / float64(max(1, c.sent)) }
	switch {
	case share(before) < recoveredShare:
		return verdict{err: fmt.Errorf("less than a quarter was served before")}
	case share(after) < recoveredShare:
		return verdict{broken: "RECOVER: " + text}
	}
	return verdict{}
}
