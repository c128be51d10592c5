package relayer

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

func toDrains(ds []tracker.Drain) []*wire.Drain {
	ms := make([]*wire.Drain, 0, len(ds))
	for _, d := range ds {
		ms = append(ms, &wire.Drain{Domain: d.Domain, Drained: d.Drained, Offset: d.Offset})
	}
	return ms
}

func fromDrains(ms []*wire.Drain) []tracker.Drain {
	ds := make([]tracker.Drain, 0, len(ms))
	for _, m := range ms {
		ds = append(ds, tracker.Drain{Domain: m.GetDomain(), Drained: m.GetDrained(), Offset: m.GetOffset()})
	}
	return ds
}

// drainReads is what this VM's reads found of the drained failure domains, in one epoch of the store.
type drainReads struct {
	drained map[string]bool
	epoch   uint64
	// since is the start of the first read in the epoch.
	since time.Time
}

// add records what a read that began at the given time found.
func (f *drainReads) add(began time.Time, got Read[router.Configuration]) {
	f.begin(began, got.Next.Epoch)
	if got.Snapshot || f.drained == nil {
		f.drained = map[string]bool{}
	}
	for _, d := range got.Drains {
		if d.Drained {
			f.drained[d.Domain] = true
		} else {
			delete(f.drained, d.Domain)
		}
	}
}

// begin notes the epoch that is read.
func (f *drainReads) begin(began time.Time, epoch uint64) {
	if f.since.IsZero() || f.epoch != epoch {
		f.epoch, f.since = epoch, began
	}
}

// settled reports whether a read that began at the given time has what the operator wrote again after a restore of the store. A VM
// that has just started does not know whether there was one.
func (f *drainReads) settled(began time.Time) bool { return began.Sub(f.since) >= drainSettleTime }

// learn replaces what was found by what a peer has read.
func (f *drainReads) learn(began time.Time, epoch uint64, drained []string) {
	f.begin(began, epoch)
	f.drained = map[string]bool{}
	for _, d := range drained {
		f.drained[d] = true
	}
}

func (f *drainReads) names() []string { return slices.Collect(maps.Keys(f.drained)) }
