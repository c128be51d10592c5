package receiver

import (
	"context"
	"time"
)

// arrivalKey is the key of the time of arrival in the context of a request.
type arrivalKey struct{}

// WithArrival returns the context of a request whose bytes arrived at a time before it could be served, as its caller sent it
// ahead. The time that the caller waits counts from then.
func WithArrival(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, arrivalKey{}, at)
}

// Arrival returns when the bytes of a request arrived, which is began if nothing else is known.
func Arrival(ctx context.Context, began time.Time) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return began
}
