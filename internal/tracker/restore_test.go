package tracker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// reportAt returns the report of instance i at an offset of an epoch.
func reportAt(epoch, offset uint64, sequenceNumber int64, c tracker.Condition) tracker.Entry {
	e := entry("i", sequenceNumber, c)
	if c == tracker.ConditionGone {
		e = gone("i", 0)
	}
	e.Offset = tracker.Offset(epoch, offset)
	return e
}

// restored returns a tracker that knew instance i at offset 100, and then read a snapshot up to 81 of the next epoch.
func restored(snapshot ...tracker.Entry) (*tracker.Tracker, *clockwork.FakeClock) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 100, 9, tracker.ConditionReady)}, true, tracker.Offset(1, 101))
	c.Advance(time.Second)
	tr.ApplyRegistrations(c.Now(), snapshot, true, tracker.Offset(2, 81))
	return tr, c
}

func TestRegistrationLostByARestoreEndsAfterTheGracePeriod(t *testing.T) {
	tr, c := restored()
	require.Len(t, tr.UsableInstances(), 1)
	c.Advance(2 * time.Second)
	tr.Expire()
	require.Empty(t, tr.UsableInstances())
}

func TestInstanceRegisteredAfterARestoreIsUsed(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyRegistrations(c.Now(), nil, true, tracker.Offset(1, 101))
	tr.ApplyRegistrations(c.Now(), nil, true, tracker.Offset(2, 81))
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 85, 1, tracker.ConditionReady)}, false, tracker.Offset(2, 86))
	require.Len(t, tr.UsableInstances(), 1)
}

func TestReportWrittenAgainAfterARestoreIsUsed(t *testing.T) {
	tr, c := restored()
	c.Advance(2 * time.Second)
	tr.Expire()
	require.Empty(t, tr.UsableInstances())
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 85, 9, tracker.ConditionReady)}, false, tracker.Offset(2, 86))
	require.Len(t, tr.UsableInstances(), 1)
}

func TestEndAfterARestoreEndsRegistrationFromBefore(t *testing.T) {
	tr, c := restored(reportAt(2, 50, 5, tracker.ConditionReady))
	require.Len(t, tr.UsableInstances(), 1)
	c.Advance(3 * time.Second)
	tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 90, 0, tracker.ConditionGone)}, false, tracker.Offset(2, 91))
	require.Empty(t, tr.UsableInstances())
}

func TestCopyDoesNotReviveInstanceThatLeft(t *testing.T) {
	for _, condition := range []tracker.Condition{tracker.ConditionLeaving, tracker.ConditionGone} {
		tr, c := newTracker()
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 80, 9, tracker.ConditionReady)}, true, tracker.Offset(1, 81))
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 90, 10, condition)}, false, tracker.Offset(1, 91))
		require.Empty(t, tr.UsableInstances())
		for _, known := range []int64{8, 9} {
			tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 70, known, tracker.ConditionReady)}, true, tracker.Offset(2, 81))
			require.Empty(t, tr.UsableInstances(), condition)
		}
		tr.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 82, 11, tracker.ConditionReady)}, false, tracker.Offset(2, 83))
		require.Len(t, tr.UsableInstances(), 1, "it reports again after the restore")
	}
}

// A VM that starts just after the restore reads the copy first, and its peers tell it then what the copy lacks.
func TestPeersCorrectWhatAStartingVMReadInTheCopy(t *testing.T) {
	for _, condition := range []tracker.Condition{tracker.ConditionLeaving, tracker.ConditionGone} {
		known, c := newTracker()
		known.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 80, 9, tracker.ConditionReady)}, true, tracker.Offset(1, 81))
		known.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 90, 10, condition)}, false, tracker.Offset(1, 91))
		starting := tracker.New(c, zap.NewNop())
		starting.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 70, 8, tracker.ConditionReady)}, true, tracker.Offset(2, 81))
		require.Len(t, starting.UsableInstances(), 1)
		ch, _ := known.ChangesSince(0)
		starting.MergeInstances(peer, ch)
		require.Empty(t, starting.UsableInstances(), condition)
	}
}

// The reader learns from the copy what a peer knows to have ended since, and sees no change when the instance reports again.
func TestReportAfterARestoreReachesPeersThatRefusedTheCopy(t *testing.T) {
	for _, condition := range []tracker.Condition{tracker.ConditionLeaving, tracker.ConditionGone} {
		for _, started := range []bool{true, false} {
			reader, c := newTracker()
			if !started {
				reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 70, 8, tracker.ConditionReady)}, true, tracker.Offset(1, 81))
			}
			knows := tracker.New(c, zap.NewNop())
			knows.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 70, 8, tracker.ConditionReady)}, true, tracker.Offset(1, 81))
			knows.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 90, 10, condition)}, false, tracker.Offset(1, 91))
			reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 70, 8, tracker.ConditionReady)}, true, tracker.Offset(2, 81))
			ch, _ := reader.ChangesSince(0)
			knows.MergeInstances(peer, ch)
			require.Empty(t, knows.UsableInstances(), "%v, started %v: the copy", condition, started)
			reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 82, 11, tracker.ConditionReady)}, false, tracker.Offset(2, 83))
			ch, _ = reader.ChangesSince(ch.Sequence)
			knows.MergeInstances(peer, ch)
			require.Len(t, knows.UsableInstances(), 1, "%v, started %v", condition, started)
			reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 83, 12, tracker.ConditionReady)}, false, tracker.Offset(2, 84))
			ch, _ = reader.ChangesSince(ch.Sequence)
			require.Empty(t, ch.Entries, "relayed once in an epoch")
		}
	}
}

// A call that the store executes late may be a report from before the instance left.
func TestLateReportAfterARestoreDoesNotReviveInstanceThatLeft(t *testing.T) {
	for _, condition := range []tracker.Condition{tracker.ConditionLeaving, tracker.ConditionGone} {
		knows, c := newTracker()
		knows.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 80, 9, tracker.ConditionReady)}, true, tracker.Offset(1, 81))
		knows.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(1, 90, 10, condition)}, false, tracker.Offset(1, 91))
		reader := tracker.New(c, zap.NewNop())
		reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 70, 8, tracker.ConditionReady)}, true, tracker.Offset(2, 81))
		ch, _ := reader.ChangesSince(0)
		knows.MergeInstances(peer, ch)
		reader.ApplyRegistrations(c.Now(), []tracker.Entry{reportAt(2, 82, 9, tracker.ConditionReady)}, false, tracker.Offset(2, 83))
		ch, _ = reader.ChangesSince(ch.Sequence)
		require.Len(t, ch.Entries, 1)
		knows.MergeInstances(peer, ch)
		require.Empty(t, knows.UsableInstances(), condition)
	}
}

func TestOlderConfigurationDoesNotConfirmTheKnownOne(t *testing.T) {
	tr, c := newTracker()
	tr.ApplyConfiguration(router.Configuration{Version: 5})
	tr.MarkTableFresh(5, c.Now(), 0)
	c.Advance(time.Second)
	tr.ApplyConfiguration(router.Configuration{Version: 4})
	tr.MarkTableFresh(4, c.Now(), 0)
	table, confirmedAt := tr.Table()
	require.EqualValues(t, 5, table.Version)
	require.Equal(t, time.Second, c.Since(confirmedAt))
	tr.MarkTableFresh(6, c.Now(), 0)
	_, confirmedAt = tr.Table()
	require.Equal(t, time.Second, c.Since(confirmedAt), "nor does a newer one that is not in force")
	tr.MarkTableFresh(5, c.Now(), 0)
	_, confirmedAt = tr.Table()
	require.Zero(t, c.Since(confirmedAt))
}

// world is a registry that is restored from copies, with the instances that write to it.
type world struct {
	epoch   uint64
	log     []tracker.Entry
	reports [4]int64
	// present says which instances are registered and ready, in truth.
	present [4]bool
}

func (w *world) write(i int, c tracker.Condition) {
	id := fmt.Sprint("i", i)
	e := gone(id, 0)
	if c != tracker.ConditionGone {
		w.reports[i]++
		e = entry(id, w.reports[i], c)
	}
	e.Offset = tracker.Offset(w.epoch, uint64(len(w.log)))
	w.log = append(w.log, e)
	w.present[i] = c == tracker.ConditionReady
}

// restore brings back a copy with the first n records. What it shows again lapses later unless the instance reports.
func (w *world) restore(n int) {
	w.epoch++
	w.log = slices.Clone(w.log[:n])
	for i := range w.log {
		w.log[i].Offset = tracker.Offset(w.epoch, uint64(i))
	}
}

// settle writes what instances and the registry write after a restore: reports of those that are there, and the ends of the
// others.
func (w *world) settle() {
	for i := range w.present {
		if w.present[i] {
			w.write(i, tracker.ConditionReady)
		} else {
			w.write(i, tracker.ConditionGone)
		}
	}
}

func (w *world) end() uint64 { return tracker.Offset(w.epoch, uint64(len(w.log))) }

func (w *world) newest() []tracker.Entry {
	by := map[string]tracker.Entry{}
	for _, e := range w.log {
		by[e.ID] = e
	}
	var es []tracker.Entry
	for _, e := range by {
		if e.Condition != tracker.ConditionGone {
			es = append(es, e)
		}
	}
	return es
}

func (w *world) usable() []string {
	ids := []string{}
	for i, p := range w.present {
		if p {
			ids = append(ids, fmt.Sprint("i", i))
		}
	}
	return ids
}

// epochReader is a reader with a position in one epoch.
type epochReader struct {
	reader
	epoch uint64
}

func (v *epochReader) read(c *clockwork.FakeClock, w *world) {
	if v.epoch == w.epoch && v.position > 0 {
		v.ApplyRegistrations(c.Now(), w.log[v.position:], false, w.end())
	} else {
		v.ApplyRegistrations(c.Now(), w.newest(), true, w.end())
	}
	v.epoch, v.position = w.epoch, uint64(len(w.log))
}

func (v *epochReader) exchange(o *epochReader) {
	ch, _ := o.ChangesSince(v.cursors[&o.reader])
	v.MergeInstances(peer, ch)
	v.cursors[&o.reader] = ch.Sequence
}

// VMs read, exchange and restart while the store is restored again and again. Whatever they knew, all use what is registered
// once the instances have reported again and the VMs have read or exchanged.
func TestViewsConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		w := &world{epoch: 1}
		vms := make([]*epochReader, 3)
		start := func(i int) {
			vms[i] = &epochReader{reader: reader{Tracker: tracker.New(c, zap.NewNop()), cursors: map[*reader]uint64{}}}
		}
		for i := range vms {
			start(i)
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.Advance(100 * time.Millisecond)
			v := vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				w.write(rapid.IntRange(0, 3).Draw(t, "instance"), tracker.Condition(rapid.IntRange(0, 2).Draw(t, "condition")))
			case 4, 5:
				v.read(c, w)
			case 6:
				start(slices.Index(vms, v))
			case 7:
				w.restore(rapid.IntRange(0, len(w.log)).Draw(t, "copied"))
			default:
				v.exchange(vms[rapid.IntRange(0, len(vms)-1).Draw(t, "peer")])
			}
		}
		w.settle()
		vms[0].read(c, w)
		c.Advance(5 * time.Second) // Grace periods end.
		for _, v := range vms {
			v.exchange(vms[0])
			v.Expire()
			require.Equal(t, w.usable(), v.usable())
		}
	})
}
