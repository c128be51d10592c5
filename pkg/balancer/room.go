package balancer

import "time"

// Room is the capacity of the instances of a failure domain that may get requests.
type Room struct {
	// InFlight is the number of requests in flight at them, as far as this process knows. It may exceed Slots, since
	// instances queue some requests.
	InFlight, Slots int
}

// use returns the share of the slots in use; zero if there are none.
func (r Room) use() float64 { return float64(r.InFlight) / float64(max(1, r.Slots)) }

func (r *Room) add(now time.Time, s *state) {
	n := max(1, s.Slots)
	r.Slots += n
	if now.Before(s.fullUntil) {
		r.InFlight += max(n, s.load(now))
		return
	}
	r.InFlight += s.load(now)
}

// Room returns the room by failure domain.
func (b *Balancer) Room(now time.Time) map[string]Room {
	b.refreshSuspects(now)
	rooms := map[string]Room{}
	for _, s := range b.order {
		if !s.suspect && b.hasRoom(now, s, Request{}) {
			r := rooms[s.Domain]
			r.add(now, s)
			rooms[s.Domain] = r
		}
	}
	return rooms
}

// updateCrossingCost sets the cost of sending a request to another failure domain by the room there is in the own one and in
// the others.
func (b *Balancer) updateCrossingCost(now time.Time) {
	own, others := b.sumRoom(now, b.local), b.sumRoom(now, b.remote)
	fuller := (own.use() - others.use()) / crossDomainRange
	b.crossingCost = crossDomainCost * (1 - max(0, min(1, fuller)))
}

func (b *Balancer) sumRoom(now time.Time, states []*state) Room {
	var r Room
	for _, s := range states {
		r.add(now, s)
	}
	return r
}
