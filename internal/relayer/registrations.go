package relayer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// readRegistrations reads the registry of the instances.
func (r *Relayer) readRegistrations(ctx context.Context) {
	var after Position
	r.poll(ctx, poller{
		name: "registrations", relayed: true, interval: r.registrationInterval(), responsible: r.readsForFleet, stale: r.instancesStaleness(),
		age: func() (time.Duration, bool) {
			_, a := r.Tracker.Ages()
			return a, a < time.Hour // Before the first read, the age counts from the zero time.
		},
		read: func(ctx context.Context, _ time.Duration) error {
			began := r.Clock.Now()
			reading, finished := context.WithCancel(ctx)
			go r.markUnanswered(reading, began)
			got, err := r.Source.Registrations(ctx, after)
			finished()
			if err != nil {
				r.Tracker.MarkUnread(began)
				return err
			}
			r.Tracker.ApplyRegistrations(began, got.Items, got.Snapshot, tracker.Offset(got.Next.Epoch, got.Next.Offset))
			after = got.Next
			return nil
		},
	})
}

// markUnanswered tells the tracker, unless the context ends before, that a read of the registry which began at the given time
// has got no response for unansweredChecks checks in a row that were on time. A VM that is short of processor time is late
// for its checks, and its read may have a response that it has not seen yet.
func (r *Relayer) markUnanswered(ctx context.Context, began time.Time) {
	for onTime := 0; onTime < unansweredChecks; {
		checkedAt := r.Clock.Now()
		r.sleep(ctx, unansweredCheckInterval)
		if ctx.Err() != nil {
			return
		}
		onTime++
		if r.Clock.Since(checkedAt) > 2*unansweredCheckInterval {
			onTime = 0
		}
	}
	r.Tracker.MarkUnanswered(began)
	r.Logger.Info("store does not answer", zap.String("what", "registrations"), zap.Duration("after", r.Clock.Since(began)))
}
