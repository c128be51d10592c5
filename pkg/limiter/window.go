package limiter

import "time"

// Window holds an account to the most that its limit allows in any span of a length: what accrues over
// the span, and the burst. Unlike a Bucket it lets an account that always asks for more have the burst's
// part again in each span. A bucket beside it spreads what it gives, so that nothing comes in one gulp.
type Window struct {
	limit  Limit
	bucket *Bucket
	// given counts the tokens of the span.
	given *Span
}

// NewWindow returns a window in which all but initial tokens count as given in the span before now, by an
// earlier owner of the account.
func NewWindow(now time.Time, span time.Duration, l Limit, initial Tokens) *Window {
	w := &Window{limit: l, given: NewSpan(now, span)}
	w.bucket = NewBucket(now, w.spread(l), initial)
	rest := max(0, w.most()-initial)
	even := min(rest, l.Refill(span))
	for i := range w.given.counts {
		w.given.counts[i] = even / Tokens(len(w.given.counts))
	}
	w.given.sum = even
	w.given.Add(now, rest-even)
	return w
}

// most is what one span allows.
func (w *Window) most() Tokens { return w.limit.Refill(w.given.length) + w.limit.Burst }

// spread returns the limit by which the bucket spreads what a span allows.
func (w *Window) spread(l Limit) Limit {
	return Limit{Rate: l.Rate + float64(l.Burst)/w.given.length.Seconds(), Burst: max(1, l.Burst)}
}

// SetLimit changes the limit from now on. What was given by a higher limit counts in proportion, so that
// an account is not refused everything for a span because it used what it had.
func (w *Window) SetLimit(now time.Time, l Limit) {
	if l == w.limit {
		return
	}
	before := w.most()
	w.limit = l
	w.bucket.SetLimit(now, w.spread(l))
	if after := w.most(); after < before {
		w.given.Scale(after / before)
	}
}

// Take removes and returns up to n whole tokens, as long as no more than a share of what a span allows
// was given in it.
func (w *Window) Take(now time.Time, n int, share float64) int {
	got := min(n, int(w.bucket.Level(now)+epsilon), int(w.free(now, share)+epsilon))
	if got <= 0 {
		return 0
	}
	w.bucket.Take(now, Tokens(got), nil)
	w.given.Add(now, Tokens(got))
	return got
}

// free returns what the span still allows of a share.
func (w *Window) free(now time.Time, share float64) Tokens {
	return Tokens(share)*w.most() - w.given.Sum(now)
}

// RetryAfter returns how long until there is a token of a share, if nobody else takes it.
func (w *Window) RetryAfter(now time.Time, share float64) time.Duration {
	if w.limit.Rate <= 0 {
		return w.given.length
	}
	wait := time.Duration(float64(1-w.bucket.Level(now)) / w.spread(w.limit).Rate * float64(time.Second))
	left := w.free(now, share)
	for i := int64(1); left < 1 && i <= int64(len(w.given.counts)); i++ {
		left += *w.given.at(w.given.last + i)
		wait = max(wait, time.Duration(i)*w.given.length/slots)
	}
	return max(0, wait)
}
