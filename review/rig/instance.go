package main

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthproxy/jacinthproxy/cmd/standin/emulator"
)

// run is one run of a request at an instance.
type run struct {
	id, tenant, instance, address string
	at                            time.Time
}

// instance is a registered instance.
type instance struct {
	*emulator.Instance
	site *site
	zone string
	born time.Time

	mu         sync.Mutex
	beats      int64
	state      string
	registered bool
}

// addInstance starts an instance that works on each request for the given time, and registers it.
func (s *site) addInstance(id string, n int, work time.Duration) error {
	e, err := emulator.NewInstance(id)
	if err != nil {
		return err
	}
	i := &instance{Instance: e, site: s, zone: s.zones[n%len(s.zones)], born: time.Now(), state: "ready", registered: true}
	e.SetIdleTimeout(10 * time.Second)
	i.answerAfter(work)
	s.instances = append(s.instances, i)
	i.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-s.stopped:
				return
			case <-t.C:
				i.beat()
			}
		}
	}()
	return nil
}

// answerAfter lets the instance answer each request after some work.
func (i *instance) answerAfter(work time.Duration) {
	i.SetBehavior(func(c net.Conn, r *http.Request, e *emulator.Instance) {
		i.noteRun(r, c)
		time.Sleep(work)
		emulator.Answer(c, r, e)
	})
}

func (i *instance) noteRun(r *http.Request, c net.Conn) {
	i.site.record.addRun(run{r.Header.Get("Request-Id"), r.Header.Get("Tenant"), i.ID, c.RemoteAddr().String(), time.Now()})
}

// beat writes the entry of the instance.
func (i *instance) beat() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.registered {
		return
	}
	i.beats++
	i.site.store.Register(i.ID, emulator.Heartbeat{
		Address: i.Address().String(), Service: service, FailureDomain: i.zone, State: i.state, Slots: 64, SequenceNumber: i.beats, StartedAtMs: i.born.UnixMilli(),
	})
}
