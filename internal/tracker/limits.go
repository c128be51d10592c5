package tracker

import (
	"time"

	"go.uber.org/zap"
)

// Limit is what an instance stated about the request rate that it accepts from all VMs together.
type Limit struct {
	Instance string
	// Incarnation is that of the instance when it stated the limit.
	Incarnation int64
	// Rate is in requests per second; zero if the instance stated that it has no limit.
	Rate float64
	// AsOf is when the response that stated it was received.
	AsOf time.Time
}

// limitRecord is the latest statement of an instance that is known.
type limitRecord struct {
	Limit
}

// ObserveLimit records what a response of an instance stated about its limit; a rate of zero means that it stated none. The
// request was sent at the given time, and the response was received just now.
func (t *Tracker) ObserveLimit(instance string, rate float64, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Limit{Instance: instance, Rate: rate, AsOf: t.clock.Now()}
	if r := t.records[instance]; r != nil {
		l.Incarnation = r.Incarnation
	}
	known := t.limits[instance]
	if known == nil && rate == 0 {
		return
	}
	// A response without a limit may be older than one with a limit that was received first.
	if known != nil && rate == 0 && !sentAt.After(known.AsOf) {
		return
	}
	if known == nil {
		known = &limitRecord{}
		t.limits[instance] = known
	}
	if known.Rate != rate {
		t.logLimit(sourceResponse, l, known.Rate)
	}
	known.Limit = l
}

func (t *Tracker) logLimit(source string, l Limit, before float64) {
	t.logger.Info("instance limit", zap.String("id", l.Instance), zap.String("source", source), zap.Float64("rate", l.Rate),
		zap.Float64("before", before))
}
