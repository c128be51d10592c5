package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrQueueFull is returned by Push and Submit when the account has too many requests waiting.
var ErrQueueFull = errors.New("the account's queue is full")

// ErrDeadline is returned by Submit when the deadline cannot be met.
var ErrDeadline = errors.New("the deadline cannot be met")

// Item is a waiting request.
type Item[T any] struct {
	Account string
	// Weight determines the account's share of the capacity relative to other accounts, for example its rate. The
	// account has the weight of the item that was pushed last.
	Weight float64
	// Value belongs to the caller.
	Value T
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Queued is when Submit queued the request.
	Queued time.Time
}

// Queue holds the waiting requests by account and serves the accounts by weighted fair queuing: each account has a
// virtual time that advances by the inverse of its weight with each request served, and the account with the lowest
// virtual time is next. It is not safe for concurrent use.
type Queue[T any] struct {
	maxPerAccount int
	accounts      []*accountQueue[T]
	byAccount     map[string]*accountQueue[T]
	// virtualTime is the highest virtual time that an account had when it was served. New accounts start with it.
	virtualTime float64
	size        int
}

// accountQueue has the waiting requests of one account in order of arrival.
type accountQueue[T any] struct {
	account     string
	weight      float64
	virtualTime float64
	items       []Item[T]
}

// NewQueue returns a queue for at most maxPerAccount waiting requests of each account.
func NewQueue[T any](maxPerAccount int) *Queue[T] {
	return &Queue[T]{maxPerAccount: maxPerAccount, byAccount: map[string]*accountQueue[T]{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Accounts returns the number of waiting requests of each account that has any.
func (q *Queue[T]) Accounts() map[string]int {
	n := make(map[string]int, len(q.accounts))
	for _, f := range q.accounts {
		n[f.account] = len(f.items)
	}
	return n
}

// minWeight keeps the inverse of a weight finite.
const minWeight = 1e-3

// Ahead estimates how many of the waiting requests would be served before a new request of an account.
func (q *Queue[T]) Ahead(account string, weight float64) int {
	own, virtual := 0, q.virtualTime
	if f := q.byAccount[account]; f != nil {
		own, virtual = len(f.items), f.virtualTime
	}
	end := virtual + float64(own+1)/max(minWeight, weight)
	n := own
	for _, f := range q.accounts {
		if f.account != account {
			n += min(len(f.items), int(math.Ceil(max(0, end-f.virtualTime)*f.weight)))
		}
	}
	return n
}

// Push appends a request to the queue of its account. It returns ErrQueueFull if the account has the maximum number of
// requests waiting.
func (q *Queue[T]) Push(it Item[T]) error {
	f := q.byAccount[it.Account]
	if f == nil {
		f = &accountQueue[T]{account: it.Account, virtualTime: q.virtualTime}
		q.byAccount[it.Account] = f
		q.accounts = append(q.accounts, f)
	}
	if len(f.items) >= q.maxPerAccount {
		return errors.Wrapf(ErrQueueFull, "%d waiting", len(f.items))
	}
	f.weight = max(minWeight, it.Weight)
	f.items = append(f.items, it)
	q.size++
	return nil
}

// Pop removes and returns the first request that accept accepts. It offers the first request of each account, in order
// of virtual time. An account whose request is not accepted keeps its virtual time, and thus its turn.
func (q *Queue[T]) Pop(accept func(Item[T]) bool) (Item[T], bool) {
	var none Item[T]
	if q.size == 0 {
		return none, false
	}
	slices.SortStableFunc(q.accounts, func(a, b *accountQueue[T]) int {
		switch {
		case a.virtualTime < b.virtualTime:
			return -1
		case a.virtualTime > b.virtualTime:
			return 1
		}
		return 0
	})
	for _, f := range q.accounts {
		if it := f.items[0]; accept(it) {
			q.serve(f)
			return it, true
		}
	}
	return none, false
}

// serve removes the first request of an account and advances the account's virtual time.
func (q *Queue[T]) serve(f *accountQueue[T]) {
	f.items = f.items[1:]
	q.size--
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += 1 / f.weight
	if len(f.items) == 0 {
		q.remove(f)
	}
}

func (q *Queue[T]) remove(f *accountQueue[T]) {
	delete(q.byAccount, f.account)
	q.accounts = slices.DeleteFunc(q.accounts, func(o *accountQueue[T]) bool { return o == f })
}

// Drop removes the waiting requests that match and returns them.
func (q *Queue[T]) Drop(match func(Item[T]) bool) []Item[T] {
	var dropped []Item[T]
	for _, f := range slices.Clone(q.accounts) {
		kept := f.items[:0:0]
		for _, it := range f.items {
			if match(it) {
				dropped = append(dropped, it)
			} else {
				kept = append(kept, it)
			}
		}
		q.size -= len(f.items) - len(kept)
		if f.items = kept; len(kept) == 0 {
			q.remove(f)
		}
	}
	return dropped
}
