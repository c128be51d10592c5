package relayer

import (
	"context"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
	"github.com/jacinthproxy/jacinthproxy/pkg/aggregator"
)

// Position is a position in what the store publishes. The zero Position is before the first record.
type Position struct {
	// Epoch is the epoch of the store's history to which the offset belongs. A store that comes back from a copy begins
	// the next one, and gives offsets out again.
	Epoch  uint64
	Offset uint64
	Known  bool
}

// Read is the result of a read of the store.
type Read[T any] struct {
	Items []T
	// Snapshot says that the items are a snapshot of the newest values, not the changes after the position.
	Snapshot bool
	Next     Position
	// Drains are the drains among the operator's records, in order.
	Drains []tracker.Drain
}

// Source is the platform's store. Its methods fail once the store makes no progress for StoreTimeout.
type Source interface {
	// Configurations returns the newest configuration published after a position. If there is none, it waits for one for
	// up to wait.
	Configurations(ctx context.Context, after Position, wait time.Duration) (Read[router.Configuration], error)
	// Registrations returns the instances' registrations written after a position.
	Registrations(ctx context.Context, after Position) (Read[tracker.Entry], error)
	// Peers returns the VMs that were announced after a position. Those that were withdrawn since have the role in which they
	// left, all others RoleStarting.
	Peers(ctx context.Context, after Position) (Read[tracker.Member], error)
	// Announce publishes a VM for its peers, and returns the epoch in which the store accepted it.
	Announce(ctx context.Context, m tracker.Member) (epoch uint64, err error)
	// Withdraw records that announced VMs left, with their roles. It fails if anything was written to the list of VMs after a
	// position.
	Withdraw(ctx context.Context, ms []tracker.Member, at Position) error
}

// InstanceStats holds the outcomes and loads of the instances, and takes those that other VMs report.
type InstanceStats interface {
	// ApplyReports merges outcomes that other VMs observed.
	ApplyReports(rs []InstanceReport)
	// SetPeerInFlight sets the number of requests that other VMs have in flight at each instance.
	SetPeerInFlight(inFlight map[string]int)
	// InFlight returns the number of requests that this VM has in flight at each instance; those without any may be
	// missing.
	InFlight() map[string]int
	// Usage returns what this VM saw of each service within the last second.
	Usage() map[string]aggregator.Counts
	// SetUsage sets what all VMs together saw of each service.
	SetUsage(fleets map[string]aggregator.Fleet)
}
