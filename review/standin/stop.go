package main

import (
	"syscall"
	"time"
)

// Figures of the stop case. A request that was sent later than excusedUntil after SIGTERM is not excused when its instance is at
// work near the end of the grace period.
const (
	gracePeriod  = 6 * time.Second
	excusedUntil = 3 * time.Second
)

func init() { cases["stop"] = playStop }

// playStop changes the idle limit of the clients' connections, and then stops all machines while they serve.
func playStop(root string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(root, rec, 2, 8, 8, 400*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer d.stop()
	for _, i := range d.instances {
		i.workOf = map[string]time.Duration{"/report/x": 4500 * time.Millisecond}
	}
	d.publish()
	if err := d.start(); err != nil {
		return false, err
	}
	// These clients connect before the change, the others after it.
	early := d.newLoad(func() request { return dispatch })
	early.run(40, 2*time.Second)
	early.wg.Wait()
	d.idleTimeout = 20
	d.publish()
	time.Sleep(3 * time.Second)
	l := d.newLoad(func() request { return dispatch })
	for range 200 {
		l.wg.Go(l.join)
		time.Sleep(5 * time.Millisecond)
	}
	l.wg.Wait()
	stoppedAt := time.Now()
	if trouble {
		for _, m := range d.machines {
			d.signal(m, syscall.SIGTERM)
		}
	}
	time.Sleep(1500 * time.Millisecond)
	early.request = func() request {
		return request{method: "GET", path: "/report/x", key: "key-of-crew", limit: 15 * time.Second}
	}
	for range 8 {
		early.wg.Go(early.once)
	}
	l.run(30, time.Until(stoppedAt.Add(gracePeriod)))
	time.Sleep(2 * time.Second)
	return checkStop(rec, append(early.sentSoFar(), l.sentSoFar()...), d.instances, stoppedAt), nil
}

// checkStop checks LOST: no request that a machine has passed on until 1 s after its grace period ends without a complete
// answer, unless its instance was at work in the last sixth of the grace period and it was sent no later than 3 s after SIGTERM.
func checkStop(rec *record, out []sent, instances []*instance, stoppedAt time.Time) bool {
	ran := map[string]bool{}
	for _, i := range instances {
		for _, a := range i.arrivals() {
			ran[a.id] = ran[a.id] || a.ran
		}
	}
	lost, late, excused := 0, 0, 0
	for _, s := range out {
		after := s.at.Sub(stoppedAt)
		if after > excusedUntil {
			late++
		}
		switch {
		case s.err == nil || !ran[s.id] || after < 0 || after > gracePeriod+time.Second:
		case after <= excusedUntil:
			excused++
		default:
			lost++
			rec.printf("LOST: %s was sent %.3f s after SIGTERM, ran, and its connection ended after %d ms: %v", s.id, after.Seconds(), s.took.Milliseconds(), s.err)
		}
	}
	rec.verdict("LOST: %d requests sent, %d of them later than %v after SIGTERM; %d of these ran and got no answer; %d sent earlier are excused",
		len(out), late, excusedUntil, lost, excused)
	return lost > 0
}
