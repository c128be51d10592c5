package tracker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// registry is a log of the instances' records, as the store keeps it.
type registry struct {
	log []tracker.Entry
	// reports is the number of reports of each instance.
	reports map[string]int64
}

func (r *registry) write(id string, c tracker.Condition) {
	e := gone(id, uint64(len(r.log)))
	if c != tracker.ConditionGone {
		r.reports[id]++
		e = at(entry(id, r.reports[id], c), uint64(len(r.log)))
	}
	r.log = append(r.log, e)
}

// newest returns the newest record before an offset of each instance whose registration has not ended.
func (r *registry) newest(end uint64) []tracker.Entry {
	by := map[string]tracker.Entry{}
	for _, e := range r.log[:end] {
		if by[e.ID] = e; e.Condition == tracker.ConditionGone {
			delete(by, e.ID)
		}
	}
	var es []tracker.Entry
	for _, e := range by {
		es = append(es, e)
	}
	return es
}

// usable returns the instances that are usable by the records before an offset.
func (r *registry) usable(end uint64) []string {
	ids := []string{}
	for _, e := range r.newest(end) {
		if e.Condition == tracker.ConditionReady {
			ids = append(ids, e.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// reader is a VM with the position of its own reads and its positions at its peers.
type reader struct {
	*tracker.Tracker
	position uint64
	cursors  map[*reader]uint64
}

func (v *reader) usable() []string {
	ids := []string{}
	for _, i := range v.UsableInstances() {
		ids = append(ids, i.ID)
	}
	slices.Sort(ids)
	return ids
}

// VMs read, exchange and restart in any order; each uses what the registry has at its view's end.
func TestViewsEqualTheRegistry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		r := &registry{reports: map[string]int64{}}
		fleet := make([]*reader, 4)
		start := func(i int) {
			fleet[i] = &reader{Tracker: tracker.New(c, zap.NewNop()), cursors: map[*reader]uint64{}}
		}
		for i := range fleet {
			start(i)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			c.Advance(1)
			v := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				id := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "id"))
				r.write(id, tracker.Condition(rapid.IntRange(0, 2).Draw(t, "condition")))
			case 3, 4:
				end := uint64(len(r.log))
				v.ApplyRegistrations(c.Now(), r.log[v.position:end], false, end)
				v.position = end
			case 5:
				end := uint64(len(r.log))
				v.ApplyRegistrations(c.Now(), r.newest(end), true, end)
				v.position = end
			case 6:
				start(slices.Index(fleet, v))
			default:
				peerOf := fleet[rapid.IntRange(0, len(fleet)-1).Draw(t, "peer")]
				ch, _ := peerOf.ChangesSince(v.cursors[peerOf])
				v.MergeInstances(peer, ch)
				v.cursors[peerOf] = ch.Sequence
			}
			for _, v := range fleet {
				ch, _ := v.ChangesSince(0)
				require.Equal(t, r.usable(ch.End), v.usable())
			}
		}
	})
}
