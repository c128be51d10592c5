package aggregator

import "time"

const (
	// Window is the span that counts cover. It is short, so that readers learn within a second that room came back, and long
	// enough to hold some requests of a service with little traffic.
	Window = time.Second
	// slots is the number of parts of Window in which events are forgotten.
	slots      = 10
	slotLength = Window / slots
)

// Collector counts the events that one VM sees, by service. It is not safe for concurrent use.
type Collector struct {
	services map[string]*ring
}

// ring has the counts of the last slots of one service. The slot of a time is its number modulo slots.
type ring struct {
	counts [slots]Counts
	last   int64
}

// NewCollector returns a collector without counts.
func NewCollector() *Collector { return &Collector{services: map[string]*ring{}} }

// At returns the counts of a service to which events at a time are added.
func (c *Collector) At(now time.Time, service string) *Counts {
	r := c.services[service]
	if r == nil {
		r = &ring{last: slotOf(now)}
		c.services[service] = r
	}
	r.advance(slotOf(now))
	return &r.counts[r.last%slots]
}

// Counts returns the counts of each service with events in the window that ends at a time, and drops the other services.
func (c *Collector) Counts(now time.Time) map[string]Counts {
	all := make(map[string]Counts, len(c.services))
	for s, r := range c.services {
		r.advance(slotOf(now))
		var sum Counts
		for _, n := range r.counts {
			sum.add(n, 1)
		}
		if sum.IsZero() {
			delete(c.services, s)
			continue
		}
		all[s] = sum
	}
	return all
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// advance clears the slots up to one. A clock that goes back adds to the last slot.
func (r *ring) advance(slot int64) {
	if slot-r.last >= slots {
		r.counts, r.last = [slots]Counts{}, slot
	}
	for r.last < slot {
		r.last++
		r.counts[r.last%slots] = Counts{}
	}
}
