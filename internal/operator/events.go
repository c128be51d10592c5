package operator

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Event is a state change of a VM that operators should see.
type Event struct {
	At     time.Time      `json:"at"`
	Name   string         `json:"event"`
	Fields map[string]any `json:"fields"`
}

// subscriberBuffer is the number of events buffered per subscriber. Further events are dropped until the subscriber
// reads.
const subscriberBuffer = 256

// Events logs events, keeps the latest ones and sends new ones to subscribers. It is safe for concurrent use.
type Events struct {
	mu     sync.Mutex
	clock  clockwork.Clock
	logger *zap.Logger
	limit  int
	latest []Event
	subs   map[chan Event]struct{}
}

// NewEvents returns an Events that keeps the latest limit events.
func NewEvents(limit int, clock clockwork.Clock, logger *zap.Logger) *Events {
	return &Events{limit: limit, clock: clock, logger: logger, subs: map[chan Event]struct{}{}}
}

// Add logs an event, stores it and sends it to the subscribers without blocking. The fields alternate between names
// and values.
func (e *Events) Add(name string, fields ...any) {
	ev := Event{At: e.clock.Now(), Name: name, Fields: map[string]any{}}
	var zs []zap.Field
	for i := 0; i+1 < len(fields); i += 2 {
		n, _ := fields[i].(string)
		ev.Fields[n] = fields[i+1]
		zs = append(zs, zap.Any(n, fields[i+1]))
	}
	e.logger.Info(name, zs...)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latest = append(e.latest, ev)
	e.latest = e.latest[max(0, len(e.latest)-e.limit):]
	for c := range e.subs {
		select {
		case c <- ev:
		default:
		}
	}
}

// Latest returns the stored events, oldest first.
func (e *Events) Latest() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.latest...)
}

// Watch returns a channel that receives the events added from now on, and a function that ends the subscription. The
// function does not close the channel. Events that do not fit into the channel's buffer are dropped.
func (e *Events) Watch() (<-chan Event, func()) {
	c := make(chan Event, subscriberBuffer)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subs[c] = struct{}{}
	return c, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.subs, c)
	}
}
