package scheduler

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrQueueFull is returned by Push when the account has too many requests waiting.
var ErrQueueFull = errors.New("the account's queue is full")

// ErrDeadline is returned by Push when the deadline cannot be met.
var ErrDeadline = errors.New("the deadline cannot be met")

// Item is a request that waits.
type Item[T any] struct {
	Account string
	Value   T
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Queued is when it began to wait.
	Queued time.Time
}

// Queue holds the waiting requests by account. It is not safe for concurrent use.
type Queue[T any] struct {
	bound  int
	queues map[string]*fifo[T]
	// order holds the accounts with waiting requests; the first is served next.
	order []*fifo[T]
	size  int
}

type fifo[T any] struct {
	account string
	items   []Item[T]
}

// NewQueue returns a queue that lets each account have bound requests waiting.
func NewQueue[T any](bound int) *Queue[T] {
	return &Queue[T]{bound: bound, queues: map[string]*fifo[T]{}}
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int { return q.size }

// Accounts returns how many requests each account has waiting.
func (q *Queue[T]) Accounts() map[string]int {
	n := make(map[string]int, len(q.queues))
	for a, f := range q.queues {
		n[a] = len(f.items)
	}
	return n
}

// Ahead returns how many requests would be served before a new one of an account.
func (q *Queue[T]) Ahead(account string) int {
	own := 0
	if f := q.queues[account]; f != nil {
		own = len(f.items)
	}
	n := own
	for _, f := range q.order {
		if f.account != account {
			n += min(len(f.items), own+1)
		}
	}
	return n
}

// Push adds a request at the end of its account's queue.
func (q *Queue[T]) Push(it Item[T]) error {
	f := q.queues[it.Account]
	if f == nil {
		f = &fifo[T]{account: it.Account}
		q.queues[it.Account] = f
		q.order = append(q.order, f)
	}
	if len(f.items) >= q.bound {
		return errors.Wrapf(ErrQueueFull, "%d waiting", len(f.items))
	}
	f.items = append(f.items, it)
	q.size++
	return nil
}

// Pop removes the next request that accept takes, going round the accounts from
// the one whose turn it is. An account whose first request is not taken keeps its turn.
func (q *Queue[T]) Pop(accept func(Item[T]) bool) (Item[T], bool) {
	for i, f := range q.order {
		it := f.items[0]
		if !accept(it) {
			continue
		}
		q.take(i, 0)
		return it, true
	}
	var none Item[T]
	return none, false
}

// take removes item j of the i-th account and moves the account to the end of the round.
func (q *Queue[T]) take(i, j int) {
	f := q.order[i]
	f.items = append(f.items[:j:j], f.items[j+1:]...)
	q.size--
	q.order = append(q.order[:i:i], q.order[i+1:]...)
	if len(f.items) > 0 {
		q.order = append(q.order, f)
		return
	}
	delete(q.queues, f.account)
}

// Drop removes the waiting requests that match and returns them.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var dropped []Item[T]
	for i := 0; i < len(q.order); {
		f := q.order[i]
		kept := f.items[:0:0]
		for _, it := range f.items {
			if match(it) {
				dropped = append(dropped, it)
			} else {
				kept = append(kept, it)
			}
		}
		q.size -= len(f.items) - len(kept)
		f.items = kept
		if len(kept) > 0 {
			i++
			continue
		}
		delete(q.queues, f.account)
		q.order = append(q.order[:i:i], q.order[i+1:]...)
	}
	return dropped
}
