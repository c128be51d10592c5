package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// promise describes a guarantee that the soak checks.
type promise string

// The guarantees.
const (
	promiseOnce      promise = "a non-idempotent request runs at most once"
	promiseOwnAnswer promise = "a caller gets the complete answer to its own request"
	promiseNotRun    promise = "a refusal that reports a request as not run is correct"
	promiseKey       promise = "no backend server receives an API key"
	promiseAccount   promise = "a request runs only for the client account of its key"
	promiseAsked     promise = "only requests that a caller sent run"
	promiseWithdrawn promise = "a withdrawn key is rejected within its time bound"
	promiseRate      promise = "no client account exceeds its rate"
	promiseDrain     promise = "a draining backend server gets no new requests"
	promiseApplied   promise = "a configuration is in force within its time bound"
	promiseForward   promise = "a configuration never reverts within a process"
	promiseStop      promise = "a planned stop interrupts no request"
	promiseRecovery  promise = "all daemons are ready again after the faults"
	promiseAllowed   promise = "a request that every configuration allows is not denied"
)

// timed are the guarantees with a time bound. Their violations mean little on an overloaded machine.
var timed = []promise{promiseWithdrawn, promiseRate, promiseDrain, promiseApplied, promiseStop, promiseRecovery}

// The bounds of the checks. keyAge is the RevocationS, and rateWindow the QuotaWindowS, of the daemons' settings.
const (
	keyAge       = 5 * time.Second
	drainAge     = 2 * time.Second
	applyAge     = 2 * time.Second
	rateWindow   = 5 * time.Second
	rateMargin   = 0.1
	rateSlack    = 20
	recoveryTime = 15 * time.Second
)

// request is the state of a caller's request.
type request struct {
	account    string
	idempotent bool
	sentAt     time.Time
	refused    bool
	runs       int
}

// checker collects the observations of callers and backend servers, and detects violations of the guarantees. It is
// safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	requests map[string]*request
	// limits are the rates of the client accounts in requests per second. The burst of an account equals one second's
	// rate.
	limits map[string]float64
	// runsOf holds the time of the first run of each request, by account.
	runsOf map[string][]time.Time
	// withdrawn is when the last key of a client account was withdrawn.
	withdrawn map[string]time.Time
	// leaving is when a backend server announced draining.
	leaving map[string]time.Time
	// troubled is the last time at which a fault that suspends time bounds was active.
	troubled time.Time
	// version is the newest configuration version that each process has been observed to apply.
	version map[string]int
	// found holds the descriptions of the violations.
	found map[promise][]string
}

func newChecker(limits map[string]float64) *checker {
	return &checker{
		requests: map[string]*request{}, limits: limits, runsOf: map[string][]time.Time{}, withdrawn: map[string]time.Time{},
		leaving: map[string]time.Time{}, version: map[string]int{}, found: map[promise][]string{},
	}
}

// broke records a violation. The caller holds c.mu.
func (c *checker) broke(p promise, format string, args ...any) {
	c.found[p] = append(c.found[p], fmt.Sprintf(format, args...))
}

// sent records a request. It is called before the request is sent.
func (c *checker) sent(id, account string, idempotent bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{account: account, idempotent: idempotent, sentAt: at}
}

// ran records that a backend server started to run a request.
func (c *checker) ran(id, account, key, server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.broke(promiseAsked, "%s ran %q, which no caller sent", server, id)
		return
	}
	r.runs++
	if key != "" {
		c.broke(promiseKey, "%s received an API key with request %s", server, id)
	}
	if account != r.account {
		c.broke(promiseAccount, "%s ran for account %q, but its key belongs to %q", id, account, r.account)
	}
	if r.runs > 1 && !r.idempotent {
		c.broke(promiseOnce, "%s ran %d times, last at %s", id, r.runs, server)
	}
	if r.refused && !r.idempotent {
		c.broke(promiseNotRun, "%s ran at %s after it had been refused", id, server)
	}
	if w, ok := c.withdrawn[r.account]; ok && r.sentAt.Sub(w) > keyAge {
		c.broke(promiseWithdrawn, "%s ran although it was sent %v after its key was withdrawn", id, r.sentAt.Sub(w))
	}
	if l, ok := c.leaving[server]; ok && at.Sub(l) > drainAge && at.Sub(c.troubled) > drainAge && l.After(c.troubled) {
		c.broke(promiseDrain, "%s ran at %s, %v after the server had announced draining", id, server, at.Sub(l))
	}
	if r.runs == 1 {
		c.runsOf[r.account] = append(c.runsOf[r.account], at)
	}
}

// answered records the answer that a caller got. process names the daemon process that sent it; server is the body of
// the answer, which names the backend server that made it.
func (c *checker) answered(id string, status int, signature, server, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	switch status {
	case 408, 421, 429, 503:
		r.refused = true
		if r.runs > 0 && !r.idempotent {
			c.broke(promiseNotRun, "%s was answered with status %d although it had run", id, status)
		}
	case 200:
		if signature != "sig-"+id {
			c.broke(promiseOwnAnswer, "%s got an answer with signature %q, made by %s and sent by %s", id, signature, server, process)
		}
	case 401, 403, 404:
		if _, gone := c.withdrawn[r.account]; !gone {
			c.broke(promiseAllowed, "%s was answered with status %d by %s", id, status, process)
		}
	}
}

// used records how a process answered a request for the route that a configuration version added. after is the time
// from the acceptance of that version until the request was sent.
func (c *checker) used(process string, version, status int, after time.Duration, disturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200:
		c.version[process] = max(c.version[process], version)
	case status != 404:
	case c.version[process] >= version:
		c.broke(promiseForward, "%s no longer applies configuration version %d", process, version)
	case after > applyAge && !disturbed:
		c.broke(promiseApplied, "%s does not apply configuration version %d after %v", process, version, after)
	}
}

// cut records a request that ended without an answer during the planned stop of a process, while no fault that suspends
// time bounds was active.
func (c *checker) cut(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id].runs == 0 {
		return // The request was sent while the daemon closed the connection, and never ran.
	}
	c.broke(promiseStop, "%s was interrupted by the planned stop of %s", id, process)
}

// withdraw records that the last key of an account was withdrawn.
func (c *checker) withdraw(account string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[account] = at
}

// leaves records that a backend server announced draining, or with a zero time that it is ready again.
func (c *checker) leaves(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		delete(c.leaving, server)
		return
	}
	c.leaving[server] = at
}

// trouble records that a fault that suspends time bounds is active.
func (c *checker) trouble(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubled = at
}

// notRecovered records that a daemon is not ready although the faults have ended.
func (c *checker) notRecovered(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broke(promiseRecovery, "%s is not ready %v after the last fault", process, recoveryTime)
}

// report checks the rates over the whole run, and returns one line for each violated guarantee. It leaves out the
// guarantees with a time bound unless withTimed is set.
func (c *checker) report(withTimed bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, limit := range c.limits {
		ts := c.runsOf[a]
		slices.SortFunc(ts, time.Time.Compare)
		most := (limit*rateWindow.Seconds()+limit)*(1+rateMargin) + rateSlack
		first := 0
		for i, t := range ts {
			for t.Sub(ts[first]) > rateWindow {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				c.broke(promiseRate, "account %s had %d requests run in %v; at most %.0f are allowed", a, n, rateWindow, most)
				break
			}
		}
	}
	var lines []string
	for p, fs := range c.found {
		if !withTimed && slices.Contains(timed, p) {
			continue
		}
		lines = append(lines, fmt.Sprintf("BROKEN %dx: %s: %s", len(fs), p, strings.Join(fs[:min(3, len(fs))], "; ")))
	}
	slices.Sort(lines)
	return lines
}

// counts returns how many requests were sent, and how many ran.
func (c *checker) counts() (sent, ran int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.runs > 0 {
			ran++
		}
	}
	return len(c.requests), ran
}
