package balancer

import "time"

// Use returns the share of the slots of the instances that may get requests that is in use by this process and its peers, and
// false if there are no such slots. It may exceed 1, since instances queue some requests.
func (b *Balancer) Use(now time.Time) (share float64, ok bool) {
	inFlight, slots := 0, 0
	for _, s := range b.order {
		if s.suspect || s.pausedUntil.After(now) {
			continue
		}
		inFlight += s.load(now)
		slots += s.Slots
	}
	if slots == 0 {
		return 0, false
	}
	return float64(inFlight) / float64(slots), true
}
