package limiter

import (
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// WindowLimiter limits an account to what its limit allows in any window of a given length: the tokens that
// accrue over the window, plus the burst. Unlike a Bucket, it grants the burst again in each window to an
// account with constant demand. A bucket paces the grants, so that they are not all made at once.
// It is not safe for concurrent use.
type WindowLimiter struct {
	limit  Limit
	bucket *Bucket
	// granted counts the tokens granted in the window, and others those that other limiters may have granted.
	granted, others *WindowCounter
	// own counts only what this limiter granted, and reported by sender what other limiters reported of theirs.
	own      *WindowCounter
	reported map[placer.VM]*WindowCounter
	// alone counts what other VMs reported that they granted without an owner, and lender what they may grant so.
	alone  *WindowCounter
	lender *lender
	// share is the share of the limit that this limiter may grant, last set at sharedAt and last lowered at loweredAt.
	share               float64
	sharedAt, loweredAt time.Time
}

// NewWindowLimiter returns a limiter that counts all but initial of the allowed tokens as granted by an earlier
// owner of the account in the window before now.
func NewWindowLimiter(now time.Time, window time.Duration, l Limit, initial Tokens) *WindowLimiter {
	w := &WindowLimiter{
		limit: l, granted: NewWindowCounter(now, window), others: NewWindowCounter(now, window), share: 1, sharedAt: now,
		own: NewWindowCounter(now, window), reported: map[placer.VM]*WindowCounter{},
		alone: NewWindowCounter(now, window), lender: newLender(now, window),
	}
	w.bucket = NewBucket(now, w.pacingLimit(l), initial)
	preGranted := max(0, w.maxPerWindow()-initial)
	spread := min(preGranted, l.Refill(window))
	w.granted.Fill(now, spread)
	w.granted.Add(now, preGranted-spread)
	return w
}

// RaiseInitial raises what a new limiter may grant at first, after it was created with less at a given time.
func (w *WindowLimiter) RaiseInitial(now, created time.Time, by Tokens) {
	w.granted.AddEarlier(now, now.Sub(created), -by)
	w.bucket = NewBucket(now, w.pacingLimit(w.limit), w.bucket.Level(now)+by)
}

// SetShare sets the share of the limit that this limiter may grant from now on, as others may grant the rest. It is 1 at first.
// What others may have granted counts for a window: the rate while they could, and the burst at the end of that time, since
// another limiter saves it up in its first window.
func (w *WindowLimiter) SetShare(now time.Time, share float64) {
	if d := min(now.Sub(w.sharedAt), w.others.length); d > 0 {
		w.others.Add(now, Tokens(1-w.share)*w.limit.Refill(d))
	}
	switch {
	case share < w.share:
		w.loweredAt = now
	case share > w.share:
		saved := min(1, now.Sub(w.loweredAt).Seconds()/w.others.length.Seconds())
		w.others.Add(now, Tokens((share-w.share)*saved)*w.limit.Burst)
		if w.share <= 0 {
			w.lender.since = now // Another owner may have lent tokens.
		}
	}
	w.share, w.sharedAt = share, now
}

// Granted returns the tokens that this limiter granted in the window that ends at now, and those that VMs told it that they granted
// alone: one count for each slot, the latest first, and the length of a slot.
func (w *WindowLimiter) Granted(now time.Time) ([]Tokens, time.Duration) {
	counts := w.own.Slots(now)
	for i, n := range w.alone.Slots(now) {
		counts[i] += n
	}
	return counts, w.own.SlotLength()
}

// HasGranted reports whether Granted would return a token.
func (w *WindowLimiter) HasGranted(now time.Time) bool {
	return w.own.Sum(now)+w.alone.Sum(now) > epsilon
}

// Report replaces what the limiter of another VM reported that it granted: one count for each slot of the given length, the
// latest first. SetShare assumes when the others granted their tokens; what they report can only lower what is left.
func (w *WindowLimiter) Report(now time.Time, from placer.VM, counts []Tokens, slot time.Duration) {
	c := NewWindowCounter(now, w.own.length)
	for i, n := range counts {
		c.AddEarlier(now, time.Duration(i)*slot, n)
	}
	w.reported[from] = c
}

// known returns the tokens that this limiter and all that reported granted in the window that ends at now.
func (w *WindowLimiter) known(now time.Time) Tokens {
	sum := w.own.Sum(now) + w.alone.Sum(now)
	for from, c := range w.reported {
		n := c.Sum(now)
		if n <= epsilon {
			delete(w.reported, from)
		}
		sum += n
	}
	return sum
}

// committed returns the tokens that are known to be granted in the window that ends at now, and those that are lent beyond the
// reserve.
func (w *WindowLimiter) committed(now time.Time) Tokens {
	w.lender.sweep(now)
	return w.known(now) + max(0, w.lender.lent-w.lender.reserve)
}

// maxPerWindow returns the most tokens that may be granted in one window.
func (w *WindowLimiter) maxPerWindow() Tokens {
	return w.limit.Refill(w.granted.length) + w.limit.Burst
}

// pacingLimit returns the limit of the bucket that spreads the tokens of a window over its length.
func (w *WindowLimiter) pacingLimit(l Limit) Limit {
	return Limit{Rate: l.Rate + float64(l.Burst)/w.granted.length.Seconds(), Burst: max(1, l.Burst)}
}

// SetLimit changes the limit from now on. When the limit falls, the tokens granted so far are scaled down in
// proportion; otherwise an account that used its old limit would be refused everything for a whole window.
func (w *WindowLimiter) SetLimit(now time.Time, l Limit) {
	if l == w.limit {
		return
	}
	before := w.maxPerWindow()
	w.limit = l
	w.bucket.SetLimit(now, w.pacingLimit(l))
	if after := w.maxPerWindow(); after < before {
		w.granted.Scale(after / before)
		w.others.Scale(after / before)
		w.own.Scale(after / before)
		w.alone.Scale(after / before)
		for _, c := range w.reported {
			c.Scale(after / before)
		}
	}
}

// Take grants up to n whole tokens and returns how many. It keeps the tokens granted in a window within this limiter's share of
// what the window allows, and those of all limiters within the whole.
func (w *WindowLimiter) Take(now time.Time, n int) int {
	got := min(n, int(w.bucket.Level(now)+epsilon), int(w.remaining(w.granted.Sum(now), w.others.Sum(now), w.committed(now))+epsilon))
	if got <= 0 {
		return 0
	}
	w.bucket.Take(now, Tokens(got), nil)
	w.granted.Add(now, Tokens(got))
	w.own.Add(now, Tokens(got))
	return got
}

// remaining returns how many tokens may still be granted in a window in which this limiter and others granted some, and committed
// are those of which this limiter knows; it is negative if the share was exceeded.
func (w *WindowLimiter) remaining(granted, others, committed Tokens) Tokens {
	most := w.maxPerWindow()
	return min(min(Tokens(w.share)*most, max(0, most-others))-granted, most-committed)
}

// RetryAfter returns the time until Take can grant a token, if no other is taken before and the share stays. It is the length of
// the window if the rate is not positive.
func (w *WindowLimiter) RetryAfter(now time.Time) time.Duration {
	if w.limit.Rate <= 0 {
		return w.granted.length
	}
	wait := time.Duration(float64(1-w.bucket.Level(now)) / w.pacingLimit(w.limit).Rate * float64(time.Second))
	granted, others, committed := w.granted.Sum(now), w.others.Sum(now), w.committed(now)
	for i := int64(1); w.remaining(granted, others, committed) < 1 && i <= int64(len(w.granted.counts)); i++ {
		granted -= *w.granted.count(w.granted.lastSlot + i)
		others -= *w.others.count(w.others.lastSlot + i)
		committed -= *w.own.count(w.own.lastSlot + i) + *w.alone.count(w.alone.lastSlot + i)
		for _, c := range w.reported {
			committed -= *c.count(c.lastSlot + i)
		}
		wait = max(wait, time.Duration(i)*w.granted.length/slotsPerWindow)
	}
	return max(0, wait)
}
