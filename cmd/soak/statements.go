package main

import (
	"slices"
	"time"
)

// hop is a daemon's process and a backend server that it sends requests to.
type hop struct{ process, server string }

// statement is what a backend server stated to a daemon.
type statement struct {
	// leavingAt is when the daemon first passed on that the server leaves; zero if it did not.
	leavingAt time.Time
	// pausedAt is when the server last asked the daemon for a pause, and pausedArrivals how many requests came during it.
	pausedAt       time.Time
	pausedArrivals int
}

// statement returns what the server of a hop stated. c.mu must be held.
func (c *checker) statement(h hop) *statement {
	s := c.statements[h]
	if s == nil {
		s = &statement{}
		c.statements[h] = s
	}
	return s
}

// recordLeavingStatement records that a daemon passed on that a backend server leaves. c.mu must be held.
func (c *checker) recordLeavingStatement(h hop, at time.Time) {
	if s := c.statement(h); s.leavingAt.IsZero() {
		s.leavingAt = at
	}
}

// recordPause records that a backend server asked the daemon that sent a request for a pause.
func (c *checker) recordPause(server, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		return // recordRun reports requests that no caller sent.
	}
	if s := c.statement(hop{r.process, server}); at.Sub(s.pausedAt) > statedPause {
		s.pausedAt, s.pausedArrivals = at, 0
	}
}

// recordMisdirected records that a request arrived at a backend server that refused it because it was meant for another one.
func (c *checker) recordMisdirected(service, id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.requests[id]; r != nil {
		c.countArrival(r, service, at)
	}
}

// countArrival counts the arrival of a request at a service, which is a repeat unless it is the first. c.mu must be held.
func (c *checker) countArrival(r *request, service string, at time.Time) {
	if r.arrivals++; r.arrivals > 1 {
		c.repeats[service] = append(c.repeats[service], at)
	}
}

// checkStatements checks that a request may arrive at a backend server after what that stated. A suspension of the daemon
// excuses it. c.mu must be held.
func (c *checker) checkStatements(server, service, id string, at time.Time) {
	r := c.requests[id]
	if r == nil {
		return
	}
	c.countArrival(r, service, at)
	s := c.statements[hop{r.process, server}]
	if s == nil {
		return
	}
	if l := s.leavingAt; !l.IsZero() && r.sentAt.Sub(l) > drainBound && c.lastDisturbance.Before(l) {
		c.addViolation(guaranteeStatedLeaving, "%s reached %s, sent %v after %s had passed on that it leaves", id, server, r.sentAt.Sub(l), r.process)
	}
	if d := at.Sub(s.pausedAt); d > pauseSettleTime && d < statedPause && c.lastDisturbance.Before(s.pausedAt) {
		if s.pausedArrivals++; s.pausedArrivals > pauseSlack {
			c.addViolation(guaranteePause, "%s reached %s, %v after it had asked %s for a pause", id, server, d, r.process)
		}
	}
}

// checkRepeats checks that no service got more repeats in a window than its requests in that window, the one before it or the
// one half a window before it allow. It returns the largest share of what is allowed that a service got. c.mu must be held.
func (c *checker) checkRepeats() (share float64) {
	for service, repeats := range c.repeats {
		var sent []time.Time
		for _, r := range c.requests {
			if r.service == service || r.service == "" {
				sent = append(sent, r.sentAt)
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		slices.SortFunc(repeats, time.Time.Compare)
		broken := false
		for i, at := range repeats {
			from := at.Add(-repeatWindow)
			n := countBetween(repeats[:i+1], from, at)
			requests := 0
			for _, back := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
				requests = max(requests, countBetween(sent, from.Add(-back), at.Add(-back)))
			}
			most := repeatRatio*float64(requests) + repeatSlack
			share = max(share, float64(n)/most)
			if float64(n) > most && !broken {
				c.addViolation(guaranteeRepeats, "%s got %d repeats in %v; at most %.0f are allowed", service, n, repeatWindow, most)
				broken = true
			}
		}
	}
	return share
}

// countBetween returns how many of the sorted times lie after from and not after to.
func countBetween(ts []time.Time, from, to time.Time) int {
	after := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(ts, t, func(a, b time.Time) int {
			if a.After(b) {
				return 1
			}
			return -1
		})
		return i
	}
	return after(to) - after(from)
}
