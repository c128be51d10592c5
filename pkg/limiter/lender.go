package limiter

import (
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

const (
	// loanTTL is how long a VM may use what an owner lent it, counted from when it asked. In a large fleet, a VM has a request
	// of an account every few seconds.
	loanTTL = 5 * time.Second
	// loanSpan is the time for which a loan should suffice. The next owner is known by then.
	loanSpan = 1500 * time.Millisecond
	// lentShare is the share of the tokens that are not granted in the window which may be lent in addition to the reserve.
	lentShare = 0.25
)

// Question is what a VM asks the owner of a rate beside a token: a loan of tokens that it may grant while the owner does not
// answer.
type Question struct {
	// Number orders the questions of one VM on one account. Used is the number of the question whose answer the VM goes by: it
	// will not go by answers to earlier ones.
	Number, Used uint64
	// Alone is how many tokens the VM granted without an owner since it started, Recent how many of them in the last window, and
	// Want how many more it would like to grant.
	Alone        uint64
	Recent, Want Tokens
}

// lender accounts for the tokens that other VMs may grant while the owner does not answer. A loan is a bound on the tokens that
// a VM granted alone since it started: a message that arrives late frees nothing that was used meanwhile, and repeated loans do
// not add up.
type lender struct {
	window    time.Duration
	borrowers map[placer.VM]*borrowed
	// lent is the sum of what the borrowers may have granted beyond what they reported, as of sweptAt or later, and reserve how
	// much of it may exceed the limit.
	lent, reserve Tokens
	sweptAt       time.Time
	// since is when the owner began to lend. What an earlier owner lent is unknown.
	since time.Time
}

// borrowed is what a VM borrowed and may have used within the window.
type borrowed struct {
	// alone is how many tokens the VM reported that it granted alone.
	alone uint64
	loans []loan
	// reportedAt is when the VM reported tokens last.
	reportedAt time.Time
}

type loan struct {
	number, bound uint64
	ends          time.Time
}

func newLender(now time.Time, window time.Duration) *lender {
	return &lender{window: window, borrowers: map[placer.VM]*borrowed{}, since: now}
}

// unreported returns how many tokens the VM may have granted beyond those that it reported.
func (b *borrowed) unreported() Tokens {
	bound := b.alone
	for _, l := range b.loans {
		bound = max(bound, l.bound)
	}
	return Tokens(bound - b.alone)
}

// extend adds a loan, and drops those that it includes.
func (b *borrowed) extend(l loan) {
	b.loans = slices.DeleteFunc(b.loans, func(o loan) bool { return o.number <= l.number && o.bound <= l.bound })
	b.loans = append(b.loans, l)
}

// sweep forgets loans that ended before the window: what was granted within them has left it.
func (l *lender) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < l.window/slotsPerWindow {
		return
	}
	l.sweptAt, l.lent = now, 0
	since := now.Add(-l.window)
	for vm, b := range l.borrowers {
		b.loans = slices.DeleteFunc(b.loans, func(o loan) bool { return o.ends.Before(since) })
		if len(b.loans) == 0 && b.reportedAt.Before(since) {
			delete(l.borrowers, vm)
			continue
		}
		l.lent += b.unreported()
	}
}

// settle records what a VM granted alone and which loans it cannot use any more, and returns the tokens that are newly reported.
func (l *lender) settle(now time.Time, vm placer.VM, q Question) Tokens {
	l.sweep(now)
	b := l.borrowers[vm]
	if b == nil {
		if q.Recent > 0 { // Another owner lent it tokens, or none was there.
			l.borrowers[vm] = &borrowed{alone: q.Alone, reportedAt: now}
		}
		return q.Recent
	}
	before, reported := b.unreported(), Tokens(0)
	if q.Alone > b.alone {
		reported = Tokens(q.Alone - b.alone)
		b.alone, b.reportedAt = q.Alone, now
	}
	b.loans = slices.DeleteFunc(b.loans, func(o loan) bool { return o.number < q.Used })
	l.lent += b.unreported() - before
	return reported
}

// lend lends a VM what it wants, as long as at most most are lent in all, and returns the bound on what it may grant alone; zero if
// there is nothing to lend.
func (l *lender) lend(now time.Time, vm placer.VM, q Question, most Tokens) uint64 {
	b := l.borrowers[vm]
	if b == nil {
		b = &borrowed{alone: q.Alone}
	}
	before := b.unreported()
	n := uint64(max(0, min(q.Want, before+most-l.lent)))
	if n == 0 {
		return 0
	}
	bound := b.alone + n
	b.extend(loan{q.Number, bound, now.Add(loanTTL)})
	l.borrowers[vm] = b
	l.lent += b.unreported() - before
	return bound
}

// part returns the part of what may be lent. It grows over a window from none, as an earlier owner may have lent the rest.
func (l *lender) part(now time.Time) Tokens {
	return min(1, Tokens(now.Sub(l.since).Seconds()/l.window.Seconds()))
}

// StartLending lets this limiter lend all at once: there was no earlier owner.
func (w *WindowLimiter) StartLending() { w.lender.since = time.Time{} }

// Lend lets another VM grant some tokens alone while this limiter does not answer. It returns the bound on Question.Alone, zero if
// the VM may grant none. Up to this limiter's share of reserve is lent beyond the limit, which the caller must tolerate. What is lent
// beyond that is taken off what Take grants, until it is returned or has ended.
func (w *WindowLimiter) Lend(now time.Time, to placer.VM, q Question, reserve Tokens) uint64 {
	w.alone.Add(now, w.lender.settle(now, to, q))
	w.lender.reserve = Tokens(w.share) * reserve
	left := Tokens(w.share)*w.maxPerWindow() - w.known(now)
	most := w.lender.reserve + min(left, lentShare*left)
	return w.lender.lend(now, to, q, most*w.lender.part(now))
}
