package relayer

import (
	"context"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// Position is a place in what the store publishes. The zero Position is before all of it.
type Position struct {
	Offset uint64
	Known  bool
}

// Read is what a read of the store brought.
type Read[T any] struct {
	Items []T
	// Snapshot says that the items are the newest of everything, not what followed the position.
	Snapshot bool
	Next     Position
}

// Source is the platform's store as the product sees it.
type Source interface {
	// Configurations returns what was published after a position, waiting for it if there is nothing yet.
	Configurations(ctx context.Context, after Position, wait time.Duration) (Read[router.Configuration], error)
	// Registrations returns what the instances wrote after a position.
	Registrations(ctx context.Context, after Position) (Read[tracker.Entry], error)
	// Peers returns the VMs that announced themselves after a position.
	Peers(ctx context.Context, after Position) (Read[tracker.Member], error)
	// Announce makes a VM known to its peers.
	Announce(ctx context.Context, m tracker.Member) error
}

// Hearer takes what other VMs saw of the instances.
type Hearer interface {
	// Hear takes outcomes that others observed.
	Hear(rs []Sighting)
	// Others tells how many requests run at the instances for other VMs.
	Others(running map[string]int)
	// Running returns how many requests run at the instances for this VM.
	Running() map[string]int
}
