package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEachBrokenPromiseIsFound checks that the checker reports a violation of each guarantee, and accepts the closest
// case that is allowed.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, x := range []struct {
		promise promise
		breaks  func(c *checker)
		keeps   func(c *checker)
	}{
		{promiseOnce, func(c *checker) {
			c.ran("once", "a", "", "i", start)
			c.ran("once", "a", "", "i", start)
		}, func(c *checker) {
			c.ran("safe", "a", "", "i", start)
			c.ran("safe", "a", "", "i", start)
		}},
		{promiseOwnAnswer, func(c *checker) { c.answered("safe", 200, "sig-once", "", "p") }, func(c *checker) { c.answered("safe", 200, "sig-safe", "", "p") }},
		{promiseNotRun, func(c *checker) {
			c.ran("once", "a", "", "i", start)
			c.answered("once", 503, "", "", "p")
		}, func(c *checker) {
			c.ran("once", "a", "", "i", start)
			c.answered("once", 502, "", "", "p")
		}},
		{promiseNotRun, func(c *checker) {
			c.answered("once", 429, "", "", "p")
			c.ran("once", "a", "", "i", start)
		}, func(c *checker) { c.answered("once", 429, "", "", "p") }},
		{promiseKey, func(c *checker) { c.ran("safe", "a", "key", "i", start) }, func(c *checker) { c.ran("safe", "a", "", "i", start) }},
		{promiseAccount, func(c *checker) { c.ran("safe", "b", "", "i", start) }, func(c *checker) { c.ran("safe", "a", "", "i", start) }},
		{promiseAsked, func(c *checker) { c.ran("nobody's", "a", "", "i", start) }, func(c *checker) { c.ran("safe", "a", "", "i", start) }},
		{promiseWithdrawn, func(c *checker) {
			c.withdraw("a", at(-keyAge-time.Second))
			c.ran("safe", "a", "", "i", start)
		}, func(c *checker) {
			c.withdraw("a", at(-keyAge+time.Second))
			c.ran("safe", "a", "", "i", start)
		}},
		{promiseRate, func(c *checker) { c.runMany("a", 87, start) }, func(c *checker) { c.runMany("a", 86, start) }},
		{promiseDrain, func(c *checker) {
			c.leaves("i", at(0))
			c.ran("safe", "a", "", "i", at(drainAge+time.Millisecond))
		}, func(c *checker) {
			c.leaves("i", at(0))
			c.ran("safe", "a", "", "i", at(drainAge))
		}},
		{promiseApplied, func(c *checker) { c.used("p", 2, 404, applyAge+time.Millisecond, false) }, func(c *checker) {
			c.used("p", 2, 404, applyAge, false)
			c.used("p", 2, 404, time.Minute, true)
		}},
		{promiseForward, func(c *checker) {
			c.used("p", 2, 200, 0, false)
			c.used("p", 2, 404, 0, false)
		}, func(c *checker) {
			c.used("p", 2, 200, 0, false)
			c.used("p after its restart", 2, 404, 0, false)
		}},
		{promiseStop, func(c *checker) {
			c.ran("once", "a", "", "i", start)
			c.cut("once", "p")
		}, func(c *checker) { c.cut("once", "p") }},
		{promiseRecovery, func(c *checker) { c.notRecovered("p") }, func(*checker) {}},
		{promiseAllowed, func(c *checker) { c.answered("safe", 401, "", "", "p") }, func(c *checker) {
			c.withdraw("a", start)
			c.answered("safe", 401, "", "", "p")
		}},
	} {
		made := func(f func(c *checker)) []string {
			c := newChecker(map[string]float64{"a": 10})
			c.sent("safe", "a", true, start)
			c.sent("once", "a", false, start)
			f(c)
			return c.report(true)
		}
		found := made(x.breaks)
		require.Len(t, found, 1, x.promise)
		require.Contains(t, found[0], string(x.promise))
		require.Empty(t, made(x.keeps), x.promise)
	}
}

// runMany records n requests of an account that run at the same time.
func (c *checker) runMany(account string, n int, at time.Time) {
	for i := range n {
		id := string(rune('a'+i/26)) + string(rune('a'+i%26))
		c.sent(id, account, true, at)
		c.ran(id, account, "", "i", at)
	}
}
