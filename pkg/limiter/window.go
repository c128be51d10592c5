package limiter

import "time"

// Window holds an account to the most that its limit allows in any span of a length: what accrues over
// the span, and the burst. Unlike a Bucket it lets an account that always asks for more have the burst's
// part again in each span. A bucket beside it spreads what it gives, so that nothing comes in one gulp.
type Window struct {
	limit  Limit
	bucket *Bucket
	// granted counts the tokens of the span.
	granted *Span
}

// NewWindow returns a window in which all but initial tokens count as given in the span before now, by an
// earlier owner of the account.
func NewWindow(now time.Time, span time.Duration, l Limit, initial Tokens) *Window {
	w := &Window{limit: l, granted: NewSpan(now, span)}
	w.bucket = NewBucket(now, w.pacingLimit(l), initial)
	preGranted := max(0, w.maxPerWindow()-initial)
	spread := min(preGranted, l.Refill(span))
	for i := range w.granted.counts {
		w.granted.counts[i] = spread / Tokens(len(w.granted.counts))
	}
	w.granted.sum = spread
	w.granted.Add(now, preGranted-spread)
	return w
}

// maxPerWindow is what one span allows.
func (w *Window) maxPerWindow() Tokens { return w.limit.Refill(w.granted.length) + w.limit.Burst }

// pacingLimit returns the limit by which the bucket spreads what a span allows.
func (w *Window) pacingLimit(l Limit) Limit {
	return Limit{Rate: l.Rate + float64(l.Burst)/w.granted.length.Seconds(), Burst: max(1, l.Burst)}
}

// SetLimit changes the limit from now on. What was given by a higher limit counts in proportion, so that
// an account is not refused everything for a span because it used what it had.
func (w *Window) SetLimit(now time.Time, l Limit) {
	if l == w.limit {
		return
	}
	before := w.maxPerWindow()
	w.limit = l
	w.bucket.SetLimit(now, w.pacingLimit(l))
	if after := w.maxPerWindow(); after < before {
		w.granted.Scale(after / before)
	}
}

// Take removes and returns up to n whole tokens, as long as no more than a share of what a span allows
// was given in it.
func (w *Window) Take(now time.Time, n int, share float64) int {
	got := min(n, int(w.bucket.Level(now)+epsilon), int(w.remaining(now, share)+epsilon))
	if got <= 0 {
		return 0
	}
	w.bucket.Take(now, Tokens(got), nil)
	w.granted.Add(now, Tokens(got))
	return got
}

// remaining returns what the span still allows of a share.
func (w *Window) remaining(now time.Time, share float64) Tokens {
	return Tokens(share)*w.maxPerWindow() - w.granted.Sum(now)
}

// Next returns how long until there is a token of a share, if nobody else takes it.
func (w *Window) Next(now time.Time, share float64) time.Duration {
	if w.limit.Rate <= 0 {
		return w.granted.length
	}
	wait := time.Duration(float64(1-w.bucket.Level(now)) / w.pacingLimit(w.limit).Rate * float64(time.Second))
	remaining := w.remaining(now, share)
	for i := int64(1); remaining < 1 && i <= int64(len(w.granted.counts)); i++ {
		remaining += *w.granted.count(w.granted.lastSlot + i)
		wait = max(wait, time.Duration(i)*w.granted.length/slotsPerWindow)
	}
	return max(0, wait)
}
