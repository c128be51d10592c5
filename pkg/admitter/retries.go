package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

//go:generate go tool enumer -type=Turn -trimprefix=Turn -transform=kebab -text

// Turn says what a request that waits for a retry does next.
type Turn int

// The turns.
const (
	// TurnWait means that a retry is expected in time.
	TurnWait Turn = iota
	// TurnTake means that the request takes a retry now.
	TurnTake
	// TurnRefuse means that no retry is expected in time.
	TurnRefuse
)

// maxPoll is the longest time after which a waiting request asks again: a more urgent one may have come, or another left.
const maxPoll = 20 * time.Millisecond

// Try is a request whose attempt failed, and which may be sent again.
type Try struct {
	Level   int
	Account string
	// RoutePriority is the priority of the request's route, which tells requests of a level apart; 0 is the highest.
	RoutePriority int
	// Once says that the request may run only once, so that it cannot be sent again after most other failures.
	Once bool
	// StartBy is when it must be sent again at the latest to be of use.
	StartBy time.Time
}

// Ticket is the place of a waiting request.
type Ticket struct {
	Try
	granted  float64
	joinedAt time.Time
}

// Retries gives the retries that a service's budget has left to the requests that wait for one: the most urgent first, by level and
// then by route, those that may run only once before others, then those of the account that got the fewest lately, then by arrival. A request waits only
// while it is expected to get one in time. It answers spells in which more requests fail than the budget allows to send again.
// It is not safe for concurrent use.
type Retries struct {
	waiting []*Ticket
	// joined are the rates at which requests join, by level, and granted those at which accounts get retries.
	joined  [aggregator.Levels]rate
	granted map[string]*rate
	// sweptAt is when accounts without retries were last forgotten.
	sweptAt time.Time
}

// NewRetries returns a queue without requests.
func NewRetries() *Retries { return &Retries{granted: map[string]*rate{}} }

// Waiting returns the number of waiting requests.
func (q *Retries) Waiting() int { return len(q.waiting) }

// Join adds a request, which is to leave again.
func (q *Retries) Join(now time.Time, t Try) *Ticket {
	q.joined[t.Level].count(now)
	k := &Ticket{Try: t, joinedAt: now}
	if g := q.granted[t.Account]; g != nil {
		k.granted = g.at(now)
	}
	at, _ := slices.BinarySearchFunc(q.waiting, k, compareTickets)
	for at < len(q.waiting) && compareTickets(q.waiting[at], k) == 0 {
		at++
	}
	q.waiting = slices.Insert(q.waiting, at, k)
	return k
}

func compareTickets(a, b *Ticket) int {
	once := func(t *Ticket) int {
		if t.Once {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.RoutePriority, b.RoutePriority), cmp.Compare(once(a), once(b)), cmp.Compare(a.granted, b.granted), a.joinedAt.Compare(b.joinedAt))
}

// Leave removes a request.
func (q *Retries) Leave(k *Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Ticket) bool { return o == k })
}

// Turn returns what a request does now, with the retries that are left and those that are earned per second. A request that
// waits asks again after wait. The caller takes a retry from the budget after TurnTake.
func (q *Retries) Turn(now time.Time, k *Ticket, left, earned float64) (turn Turn, wait time.Duration) {
	ahead := float64(slices.Index(q.waiting, k))
	if left >= ahead+1 {
		q.grant(now, k.Account)
		return TurnTake, 0
	}
	for l := range k.Level {
		earned -= q.joined[l].at(now)
	}
	if earned <= 0 {
		return TurnRefuse, 0
	}
	wait = time.Duration((ahead + 1 - left) / earned * float64(time.Second))
	if now.Add(wait).After(k.StartBy) {
		return TurnRefuse, 0
	}
	return TurnWait, min(wait, maxPoll)
}

func (q *Retries) grant(now time.Time, account string) {
	if now.Sub(q.sweptAt) >= rateAge {
		q.sweptAt = now
		maps.DeleteFunc(q.granted, func(_ string, g *rate) bool { return g.at(now) < forgottenRate })
	}
	g := q.granted[account]
	if g == nil {
		g = &rate{0, now}
		q.granted[account] = g
	}
	g.count(now)
}
