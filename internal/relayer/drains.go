package relayer

import (
	"maps"
	"slices"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
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
}

// add records what a read found.
func (f *drainReads) add(ds []tracker.Drain, snapshot bool) {
	if snapshot || f.drained == nil {
		f.drained = map[string]bool{}
	}
	for _, d := range ds {
		if d.Drained {
			f.drained[d.Domain] = true
		} else {
			delete(f.drained, d.Domain)
		}
	}
}

// learn replaces what was found by what a peer has read.
func (f *drainReads) learn(drained []string) {
	f.drained = map[string]bool{}
	for _, d := range drained {
		f.drained[d] = true
	}
}

func (f *drainReads) names() []string { return slices.Collect(maps.Keys(f.drained)) }
