package limiter

import "time"

// slots is how finely a Window divides its span.
const slots = 50

// Window holds an account to the most that its limit allows in any span of a length: what accrues over
// the span, and the burst. Unlike a Bucket it lets an account that always asks for more have the burst's
// part again in each span. A bucket beside it spreads what it gives, so that nothing comes in one gulp.
type Window struct {
	span   time.Duration
	limit  Limit
	bucket *Bucket
	// given counts the tokens by slot of the span; the slot of number n is at n modulo the length.
	given [slots + 1]Tokens
	sum   Tokens
	last  int64
}

// NewWindow returns a window in which all but initial tokens count as given in the span before now, by an
// earlier owner of the account.
func NewWindow(now time.Time, span time.Duration, l Limit, initial Tokens) *Window {
	w := &Window{span: span, limit: l, last: slot(now, span)}
	w.bucket = NewBucket(now, w.spread(l), initial)
	rest := max(0, w.most()-initial)
	even := min(rest, l.Refill(span))
	for i := range w.given {
		w.given[i] = even / Tokens(len(w.given))
	}
	w.given[w.index(w.last)] += rest - even
	w.sum = rest
	return w
}

func slot(now time.Time, span time.Duration) int64 { return now.UnixNano() / (int64(span) / slots) }

func (w *Window) index(slot int64) int { return int(slot % int64(len(w.given))) }

// most is what one span allows.
func (w *Window) most() Tokens { return w.limit.Refill(w.span) + w.limit.Burst }

// spread returns the limit by which the bucket spreads what a span allows.
func (w *Window) spread(l Limit) Limit {
	return Limit{Rate: l.Rate + float64(l.Burst)/w.span.Seconds(), Burst: max(1, l.Burst)}
}

// SetLimit changes the limit from now on. What was given by a higher limit counts in proportion, so that
// an account is not refused everything for a span because it used what it had.
func (w *Window) SetLimit(now time.Time, l Limit) {
	if l == w.limit {
		return
	}
	w.advance(now)
	before := w.most()
	w.limit = l
	w.bucket.SetLimit(now, w.spread(l))
	if after := w.most(); after < before {
		w.sum = 0
		for i := range w.given {
			w.given[i] *= after / before
			w.sum += w.given[i]
		}
	}
}

func (w *Window) advance(now time.Time) {
	s := slot(now, w.span)
	for ; w.last < s; w.last++ {
		if s-w.last > int64(len(w.given)) {
			w.given, w.sum, w.last = [slots + 1]Tokens{}, 0, s
			return
		}
		i := w.index(w.last + 1)
		w.sum -= w.given[i]
		w.given[i] = 0
	}
}

// Take removes and returns up to n whole tokens, as long as no more than a share of what a span allows
// was given in it.
func (w *Window) Take(now time.Time, n int, share float64) int {
	w.advance(now)
	got := min(n, int(w.bucket.Level(now)+epsilon), int(w.free(share)+epsilon))
	if got <= 0 {
		return 0
	}
	w.bucket.Take(now, Tokens(got), nil)
	w.given[w.index(w.last)] += Tokens(got)
	w.sum += Tokens(got)
	return got
}

// free returns what the span still allows of a share.
func (w *Window) free(share float64) Tokens { return Tokens(share)*w.most() - w.sum }

// Next returns how long until there is a token of a share, if nobody else takes it.
func (w *Window) Next(now time.Time, share float64) time.Duration {
	w.advance(now)
	if w.limit.Rate <= 0 {
		return w.span
	}
	wait := time.Duration(float64(1-w.bucket.Level(now)) / w.spread(w.limit).Rate * float64(time.Second))
	left := w.free(share)
	for i := int64(1); left < 1 && i <= int64(len(w.given)); i++ {
		left += w.given[w.index(w.last+i)]
		wait = max(wait, time.Duration(i)*w.span/slots)
	}
	return max(0, wait)
}
