package logger

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Limiter bounds the lines of one kind and counts those that were left out. It is safe for concurrent use.
type Limiter struct {
	lines *rate.Limiter
	// omitted counts the lines that were left out since the last one that was allowed, and total those since the start.
	omitted, total atomic.Int64
}

// NewLimiter returns a limiter that allows a number of lines a second, with bursts.
func NewLimiter(perSecond float64, burst int) *Limiter {
	return &Limiter{lines: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Allow reports whether a line may be written at the given time. If so, the field, to be added to the line, says how many
// lines were left out since the last one.
func (l *Limiter) Allow(now time.Time) (omitted zap.Field, ok bool) {
	if !l.lines.AllowN(now, 1) {
		l.omitted.Add(1)
		l.total.Add(1)
		return zap.Skip(), false
	}
	if n := l.omitted.Swap(0); n > 0 {
		return zap.Int64("omitted", n), true
	}
	return zap.Skip(), true
}

// Omitted returns the number of lines that were left out since the start.
func (l *Limiter) Omitted() int64 { return l.total.Load() }
