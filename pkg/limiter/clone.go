package limiter

import (
	"slices"

	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Clone returns a copy that shares nothing with the limiter.
func (w *WindowLimiter) Clone() *WindowLimiter {
	c := *w
	b := *w.bucket
	c.bucket = &b
	c.granted, c.others, c.own, c.alone = w.granted.Clone(), w.others.Clone(), w.own.Clone(), w.alone.Clone()
	c.reported = make(map[placer.VM]*WindowCounter, len(w.reported))
	for vm, n := range w.reported {
		c.reported[vm] = n.Clone()
	}
	c.lender = w.lender.clone()
	return &c
}

// Clone returns a copy that shares nothing with the counter.
func (c *WindowCounter) Clone() *WindowCounter {
	v := *c
	return &v
}

func (l *lender) clone() *lender {
	c := *l
	c.borrowers = make(map[placer.VM]*borrowed, len(l.borrowers))
	for vm, b := range l.borrowers {
		v := *b
		v.loans = slices.Clone(b.loans)
		c.borrowers[vm] = &v
	}
	return &c
}

// Clone returns a copy that shares nothing with the borrower.
func (b *Borrower) Clone() *Borrower {
	c := *b
	c.recent = b.recent.Clone()
	return &c
}
