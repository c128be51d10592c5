package main

import (
	"math/rand/v2"
	"time"
)

// drainTime is DrainS of the settings.
const drainTime = 2 * time.Second

func init() { cases["leaving"] = playLeaving }

// playLeaving lets an instance leave that is partitioned from the store: only its answers say so.
func playLeaving(root string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(root, rec, 3, 6, 4, 250*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.publish()
	if err := d.start(); err != nil {
		return false, err
	}
	l := d.newLoad(func() request {
		if rand.IntN(3) == 0 {
			return lookup
		}
		return dispatch
	})
	l.run(60, 6*time.Second)
	i := d.instances[0]
	close(i.cut)
	if trouble {
		rec.printf("%s: cut off from the store, its last entry says ready", i.id)
	} else {
		i.heartbeat(d.store, "draining")
		rec.printf("%s: says in the store that it leaves", i.id)
	}
	i.setLeaving()
	rec.printf("%s: says in its answers that it leaves", i.id)
	exit := time.AfterFunc(drainTime+1500*time.Millisecond, func() {
		rec.printf("%s: exits", i.id)
		_ = i.server.Close()
	})
	defer exit.Stop()
	lapse := time.AfterFunc(4500*time.Millisecond, func() {
		d.store.Put("keyed.servers", i.id, nil)
		rec.printf("store: the entry of %s is removed after three intervals of silence", i.id)
	})
	defer lapse.Stop()
	l.run(60, 10*time.Second)
	time.Sleep(2 * time.Second)
	return checkLeaving(rec, l.sentSoFar(), i), nil
}

// checkLeaving checks DRAIN: no request that a client sent later than DrainS after a machine had passed on an answer that
// says that the instance leaves reaches it from that machine. Clients send each request to one machine.
func checkLeaving(rec *record, out []sent, i *instance) bool {
	toldAt, byID := map[string]time.Time{}, map[string]sent{}
	for _, s := range out {
		byID[s.id] = s
		if at := s.at.Add(s.took); s.leaving && (toldAt[s.to].IsZero() || at.Before(toldAt[s.to])) {
			toldAt[s.to] = at
		}
	}
	late, lost := 0, 0
	for _, a := range i.arrivals() {
		s, ok := byID[a.id]
		if ok && a.ran && s.status != 200 {
			lost++
			rec.printf("lost: %s ran at %s, its client got status %d, error %v", s.id, i.id, s.status, s.err)
		}
		if told := toldAt[s.to]; ok && !told.IsZero() && s.at.After(told.Add(drainTime)) {
			late++
			rec.printf("DRAIN: %s was sent to %s %.3f s after it had passed on that %s leaves, and reached it", s.id, s.to, s.at.Sub(told).Seconds(), i.id)
		}
	}
	rec.verdict("DRAIN: %d requests sent, %d machines passed on that %s leaves, %d requests reached it from them later than %v after; %d that ran there got no answer of it",
		len(out), len(toldAt), i.id, late, drainTime, lost)
	return late > 0
}
