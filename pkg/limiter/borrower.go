package limiter

import "time"

// Borrower decides which requests of an account a VM admits while the owner of the account's rate does not answer: as many as
// the owner lent it, then as many as a rate allows that no owner is asked for. It answers a load that goes on while the owner
// pauses, is slow or is lost. It is not safe for concurrent use.
type Borrower struct {
	// granted counts the tokens that owners granted since spanStart, and grantedBefore those of the span before.
	granted, grantedBefore Tokens
	spanStart              time.Time
	// asked is the number of the last question, and used that of the one whose answer holds: alone, the number of requests that
	// were admitted without an owner, may reach bound until ends.
	asked, used  uint64
	alone, bound uint64
	ends         time.Time
	// recent counts those that were admitted so in the last window.
	recent *WindowCounter
	// level are the tokens that accrued since the owner did not answer first, as of failedAt; zero while it answers.
	level    Tokens
	failedAt time.Time
}

// NewBorrower returns a Borrower without a loan, of a rate that is limited in windows of the given length.
func NewBorrower(now time.Time, window time.Duration) *Borrower {
	return &Borrower{spanStart: now, recent: NewWindowCounter(now, window)}
}

// advance begins a new span if the last one is over.
func (b *Borrower) advance(now time.Time) {
	switch d := now.Sub(b.spanStart); {
	case d > 2*loanSpan:
		b.granted, b.grantedBefore, b.spanStart = 0, 0, now
	case d > loanSpan:
		b.granted, b.grantedBefore, b.spanStart = 0, b.granted, now
	}
}

// Ask returns the next question to the owner. It asks for a loan that would suffice to go on as before.
func (b *Borrower) Ask(now time.Time) Question {
	b.advance(now)
	b.asked++
	return Question{Number: b.asked, Used: b.used, Alone: b.alone, Recent: b.recent.Sum(now), Want: max(1, b.granted, b.grantedBefore)}
}

// Answered records the owner's answer to a question that was asked at askedAt: tokens that it granted, and what Lend returned.
func (b *Borrower) Answered(now, askedAt time.Time, number uint64, granted Tokens, bound uint64) {
	b.advance(now)
	b.granted += granted
	b.level, b.failedAt = 0, time.Time{}
	if number > b.used {
		b.used, b.bound, b.ends = number, bound, askedAt.Add(loanTTL)
	}
}

// Admit decides on a request that the owner did not answer for. Rate, in tokens per second, is what this VM may admit beyond its
// loan; it accrues for patience at most between two requests. If the request is refused, Admit returns when to try again.
func (b *Borrower) Admit(now time.Time, rate float64, patience time.Duration) (bool, time.Duration) {
	if !b.failedAt.IsZero() {
		d := now.Sub(b.failedAt)
		if d > patience {
			b.level, d = 0, patience
		}
		b.level = min(1, b.level+Tokens(rate*d.Seconds()))
	}
	b.failedAt = now
	if b.alone < b.bound && now.Before(b.ends) {
		b.admit(now)
		return true, 0
	}
	if b.level >= 1-epsilon {
		b.level--
		b.admit(now)
		return true, 0
	}
	if rate <= 0 {
		return false, loanSpan
	}
	return false, min(loanSpan, time.Duration(float64(1-b.level)/rate*float64(time.Second)))
}

func (b *Borrower) admit(now time.Time) {
	b.alone++
	b.recent.Add(now, 1)
}
