package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// guarantee describes a guarantee that the soak checks.
type guarantee string

// The guarantees.
const (
	guaranteeAtMostOnce           guarantee = "a non-idempotent request runs at most once"
	guaranteeOwnAnswer            guarantee = "a caller gets the complete answer to its own request"
	guaranteeNotRun               guarantee = "a refusal that reports a request as not run is correct"
	guaranteeKeyHidden            guarantee = "no backend server receives an API key"
	guaranteeAccount              guarantee = "a request runs only for the client account of its key"
	guaranteeSentOnly             guarantee = "only requests that a caller sent run"
	guaranteeKeyWithdrawn         guarantee = "a withdrawn key is rejected within its time bound"
	guaranteeRate                 guarantee = "no client account exceeds its rate"
	guaranteeDrain                guarantee = "a backend server that left gets no new requests"
	guaranteeConfigurationApplied guarantee = "a configuration is in force within its time bound"
	guaranteeConfigurationKept    guarantee = "a configuration never reverts within a process"
	guaranteePlannedStop          guarantee = "a planned stop interrupts no request"
	guaranteeRecovery             guarantee = "all daemons are ready again after the faults"
	guaranteeLimit                guarantee = "a backend server gets no more requests than the limit that it states allows"
	guaranteeWarmup               guarantee = "a backend server that warms up gets no more requests than its service allows"
	guaranteeDrained              guarantee = "nothing is sent to a drained failure domain"
	guaranteeRoute                guarantee = "a request runs only at a service of its route"
	guaranteeStatedLeaving        guarantee = "a daemon sends nothing to a backend server that said in its answers that it leaves"
	guaranteePause                guarantee = "a daemon sends nothing to a backend server for as long as it asked"
	guaranteeRepeats              guarantee = "requests are not repeated beyond the budget"
	guaranteeAllowed              guarantee = "a request that every configuration allows is not denied"
	guaranteeAttempts             guarantee = "a request runs at no more backend servers than its route allows"
	guaranteeBody                 guarantee = "a backend server gets the bytes that the caller sent as the body"
	guaranteeDeadline             guarantee = "a backend server is given no more time than the caller waits"
	guaranteeGone                 guarantee = "no backend server is at work for a caller that has left"
)

// timeBound are the guarantees with a time bound. Their violations mean little on an overloaded machine.
var timeBound = []guarantee{
	guaranteeKeyWithdrawn, guaranteeRate, guaranteeDrain, guaranteeConfigurationApplied, guaranteePlannedStop,
	guaranteeRecovery, guaranteeLimit, guaranteeStatedLeaving, guaranteePause, guaranteeRepeats,
	guaranteeDeadline, guaranteeWarmup, guaranteeDrained, guaranteeGone,
}

// The bounds of the checks. revocationBound is the RevocationS, and rateWindow the QuotaWindowS, of the daemons'
// settings. The rate check allows (rate * rateWindow + burst) * (1 + rateMargin) + rateSlack runs in any rateWindow.
const (
	revocationBound = 5 * time.Second
	drainBound      = 2 * time.Second
	applyBound      = 2 * time.Second
	rateWindow      = 5 * time.Second
	rateMargin      = 0.1
	rateSlack       = 20
	recoveryTimeout = 15 * time.Second
	// From limitSettleTime after a backend server stated a limit, it may get limit * limitWindow * limitMargin + limitSlack
	// requests in any limitWindow.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitMargin     = 1.5
	limitSlack      = 5
	// From pauseSettleTime after a backend server asked a daemon for a pause, that may send it pauseSlack requests.
	pauseSettleTime = 500 * time.Millisecond
	pauseSlack      = 2
	// In any repeatWindow, a service gets at most repeatRatio * requests + repeatSlack repeats.
	repeatWindow = 10 * time.Second
	repeatRatio  = 0.2
	repeatSlack  = 50
	// deadlineMargin is how much longer than the caller waits a backend server may be given.
	deadlineMargin = 500 * time.Millisecond
)

// request is the state of a caller's request.
type request struct {
	account string
	// service is the only service that may run the request; any may if it is empty.
	service    string
	idempotent bool
	// process is the daemon's process that the request was sent to.
	process string
	sentAt  time.Time
	// leftAt is when the caller closed the connection before the answer; zero if it did not.
	leftAt   time.Time
	refused  bool
	runs     int
	arrivals int
}

// checker collects the observations of callers and backend servers, and detects violations of the guarantees. It is
// safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	requests map[string]*request
	// limits are the rates of the client accounts in requests per second. The burst of an account equals one second's
	// rate.
	limits map[string]float64
	// runTimes holds the time of the first run of each request, by account.
	runTimes map[string][]time.Time
	// withdrawnAt is when the last key of a client account was withdrawn.
	withdrawnAt map[string]time.Time
	// leavingSince is when a backend server announced draining, or its registration ended.
	leavingSince map[string]time.Time
	// limited holds the backend servers that state a limit.
	limited map[string]*limitedServer
	// drained holds the drained failure domains, and warming the backend servers that say that they warm up.
	drained drainedDomains
	warming map[string]*warmingServer
	// statements are what daemons were told by backend servers.
	statements map[hop]*statement
	// repeats holds the times of the arrivals beyond the first of each request, by service.
	repeats map[string][]time.Time
	// lastDisturbance is the last time at which a fault that suspends time bounds was active.
	lastDisturbance time.Time
	// newestApplied is the newest configuration version that each process has been observed to apply.
	newestApplied map[string]int
	// violations holds the descriptions of the violations.
	violations map[guarantee][]string
}

func newChecker(limits map[string]float64) *checker {
	return &checker{
		requests: map[string]*request{}, limits: limits, runTimes: map[string][]time.Time{},
		withdrawnAt: map[string]time.Time{}, leavingSince: map[string]time.Time{}, limited: map[string]*limitedServer{}, drained: drainedDomains{}, warming: map[string]*warmingServer{}, statements: map[hop]*statement{}, repeats: map[string][]time.Time{}, newestApplied: map[string]int{}, violations: map[guarantee][]string{},
	}
}

// addViolation records a violation. The caller holds c.mu.
func (c *checker) addViolation(g guarantee, format string, args ...any) {
	c.violations[g] = append(c.violations[g], fmt.Sprintf(format, args...))
}

// recordSent records a request. It is called before the request is sent.
func (c *checker) recordSent(id, account, service, process string, idempotent bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = &request{account: account, service: service, process: process, idempotent: idempotent, sentAt: at}
}

// recordRun records that a backend server started to run a request.
func (c *checker) recordRun(id, account, key, server, service string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolation(guaranteeSentOnly, "%s ran %q, which no caller sent", server, id)
		return
	}
	r.runs++
	if key != "" {
		c.addViolation(guaranteeKeyHidden, "%s received an API key with request %s", server, id)
	}
	if account != r.account {
		c.addViolation(guaranteeAccount, "%s ran for account %q, but its key belongs to %q", id, account, r.account)
	}
	if r.service != "" && service != r.service {
		c.addViolation(guaranteeRoute, "%s ran at %s of service %q", id, server, service)
	}
	if r.runs > 1 && !r.idempotent {
		c.addViolation(guaranteeAtMostOnce, "%s ran %d times, last at %s", id, r.runs, server)
	}
	if r.runs == routeAttempts+1 && r.idempotent {
		c.addViolation(guaranteeAttempts, "%s ran at %d servers, last at %s", id, r.runs, server)
	}
	if r.refused && !r.idempotent {
		c.addViolation(guaranteeNotRun, "%s ran at %s after it had been refused", id, server)
	}
	if w, ok := c.withdrawnAt[r.account]; ok && r.sentAt.Sub(w) > revocationBound {
		c.addViolation(guaranteeKeyWithdrawn, "%s ran although it was sent %v after its key was withdrawn", id, r.sentAt.Sub(w))
	}
	if l, ok := c.leavingSince[server]; ok && at.Sub(l) > drainBound && at.Sub(c.lastDisturbance) > settleTime {
		c.addViolation(guaranteeDrain, "%s ran at %s, %v after the server had left", id, server, at.Sub(l))
	}
	if r.runs == 1 {
		c.runTimes[r.account] = append(c.runTimes[r.account], at)
	}
}

// bodyOf returns the text that the body of a request repeats.
func bodyOf(id string) string { return "body of " + id }

// recordBody records the body that a backend server got with a request, or the part of it that came.
func (c *checker) recordBody(id, server string, body []byte, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := bodyOf(id)
	for i := range body {
		if body[i] != text[i%len(text)] {
			c.addViolation(guaranteeBody, "%s got %q as the body of %s from byte %d on", server, body[i:min(len(body), i+40)], id, i)
			return
		}
	}
	if whole && len(body)%len(text) != 0 {
		c.addViolation(guaranteeBody, "%s got a body of %d bytes as the whole of %s", server, len(body), id)
	}
}

// recordDeadline records how long a backend server may work on a request whose head it read at the given time.
func (c *checker) recordDeadline(id string, left time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil || at.Sub(c.lastDisturbance) <= settleTime {
		return
	}
	if late := at.Add(left).Sub(r.sentAt) - requestTimeout; late > deadlineMargin {
		c.addViolation(guaranteeDeadline, "%s may run for %v after its caller has left", id, late)
	}
}

// limitedServer is a backend server that states a limit, in requests per second.
type limitedServer struct {
	limit    float64
	since    time.Time
	arrivals []time.Time
}

// recordLimit records that a backend server states a limit from now on, or with a zero limit that it states none.
func (c *checker) recordLimit(server string, limit float64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limited, server)
	if limit > 0 {
		c.limited[server] = &limitedServer{limit: limit, since: at}
	}
}

// recordArrival records that a request arrived at a backend server, which may refuse it. Only windows without a fault that
// suspends time bounds count.
func (c *checker) recordArrival(server, service, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkStatements(server, service, id, at)
	c.countWarmupArrival(server, at)
	l := c.limited[server]
	if l == nil || at.Sub(l.since) < limitSettleTime || at.Sub(c.lastDisturbance) < settleTime {
		return
	}
	l.arrivals = append(l.arrivals, at)
	for at.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if n, most := len(l.arrivals), l.limit*limitWindow.Seconds()*limitMargin+limitSlack; float64(n) > most {
		c.addViolation(guaranteeLimit, "%s, with a limit of %.1f/s, got %d requests in %v; at most %.0f are allowed", server, l.limit, n, limitWindow, most)
	}
}

// recordAnswer records the answer that a caller got. process names the daemon process that sent it; the body of the answer
// names the backend server that made it.
func (c *checker) recordAnswer(id string, a answer, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	status, signature, server := a.status, a.signature, a.body
	if a.leaving && !a.head {
		c.recordLeavingStatement(hop{process, strings.TrimPrefix(server, answerPrefix)}, time.Now())
	}
	switch status {
	case 408, 421, 429, 503:
		r.refused = true
		if r.runs > 0 && !r.idempotent {
			c.addViolation(guaranteeNotRun, "%s was answered with status %d although it had run", id, status)
		}
	case 200:
		if signature != "sig-"+id {
			c.addViolation(guaranteeOwnAnswer, "%s got an answer with signature %q, made by %s and sent by %s", id, signature, server, process)
		}
		if a.head && server != "" || !a.head && !strings.HasPrefix(server, answerPrefix) {
			c.addViolation(guaranteeOwnAnswer, "%s got an answer of %d bytes that is not whole, sent by %s", id, len(server), process)
		}
	case 400, 401, 403, 404, 413, 431:
		if _, gone := c.withdrawnAt[r.account]; !gone {
			c.addViolation(guaranteeAllowed, "%s was answered with status %d by %s", id, status, process)
		}
	}
}

// recordUse records how a process answered a request for the route that a configuration version added. after is the
// time from the acceptance of that version until the request was sent.
func (c *checker) recordUse(process string, version, status int, after time.Duration, suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case status == 200:
		c.newestApplied[process] = max(c.newestApplied[process], version)
	case status != 404:
	case c.newestApplied[process] >= version:
		c.addViolation(guaranteeConfigurationKept, "%s no longer applies configuration version %d", process, version)
	case after > applyBound && !suspended:
		c.addViolation(guaranteeConfigurationApplied, "%s does not apply configuration version %d after %v", process, version, after)
	}
}

// recordInterrupted records a request that ended without an answer during the planned stop of a process, while no fault
// that suspends time bounds was active.
func (c *checker) recordInterrupted(id, process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[id].runs == 0 {
		return // The request was sent while the daemon closed the connection, and never ran.
	}
	c.addViolation(guaranteePlannedStop, "%s was interrupted by the planned stop of %s", id, process)
}

// recordWithdrawal records that the last key of an account was withdrawn.
func (c *checker) recordWithdrawal(account string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[account] = at
}

// recordLeaving records that a backend server announced draining or that its registration ended, or with a zero time that
// it is ready again.
func (c *checker) recordLeaving(server string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		delete(c.leavingSince, server)
		return
	}
	c.leavingSince[server] = at
}

// recordDisturbance records that a fault that suspends time bounds is active.
func (c *checker) recordDisturbance(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDisturbance = at
}

// recordNotReady records that a daemon is not ready although the faults have ended.
func (c *checker) recordNotReady(process string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guaranteeRecovery, "%s is not ready %v after the last fault", process, recoveryTimeout)
}

// report checks the rates over the whole run, and returns one line for each violated guarantee, and the largest share of the
// allowed repeats that a service got. It leaves out the guarantees with a time bound unless withTimed is set.
func (c *checker) report(withTimed bool) (lines []string, repeats float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, limit := range c.limits {
		ts := c.runTimes[a]
		slices.SortFunc(ts, time.Time.Compare)
		maxRuns := (limit*rateWindow.Seconds()+limit)*(1+rateMargin) + rateSlack
		first := 0
		for i, t := range ts {
			for t.Sub(ts[first]) > rateWindow {
				first++
			}
			if n := i - first + 1; float64(n) > maxRuns {
				c.addViolation(guaranteeRate, "account %s had %d requests run in %v; at most %.0f are allowed", a, n, rateWindow, maxRuns)
				break
			}
		}
	}
	repeats = c.checkRepeats()
	for g, fs := range c.violations {
		if !withTimed && slices.Contains(timeBound, g) {
			continue
		}
		lines = append(lines, fmt.Sprintf("BROKEN %dx: %s: %s", len(fs), g, strings.Join(fs[:min(3, len(fs))], "; ")))
	}
	slices.Sort(lines)
	return lines, repeats
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
