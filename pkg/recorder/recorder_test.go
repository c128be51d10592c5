package recorder_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
)

func TestMain(m *testing.M) { chooser.Main(m) }

const (
	maxMapAge = 5 * time.Second
	guard     = 2*maxMapAge + time.Second
	keys      = 3
)

var domains = []string{"a", "b", "c"}

type node struct {
	vm           placer.VM
	rec          *recorder.Recorder
	applied      int
	readAt       time.Time
	dead         bool
	disconnected bool
}

// model simulates a fleet of holders in virtual time, with random attempts, replacements of VMs
// and loss of messages.
type model struct {
	choose chooser.Chooser
	now    time.Time
	maps   []*mapper.Map
	nodes  []*node
	// runs counts the attempts that ran for each key, and ranAt is when the last one did.
	runs     [keys]int
	ranAt    [keys]time.Time
	attempts int
	// quorum returns how many of n holders must record an attempt; tests replace it to show that
	// fewer are not enough.
	quorum func(int) int
}

func newModel(c chooser.Chooser) *model {
	m := &model{choose: c, now: time.Unix(100000, 0), quorum: recorder.Quorum, maps: []*mapper.Map{mapper.NewMap(0, nil)}}
	var ms []mapper.Member
	for i := range 6 {
		m.boot(i)
		if i < 4 {
			ms = append(ms, mapper.Member{VM: m.nodes[i].vm})
		}
	}
	m.maps = append(m.maps, mapper.NewMap(1, ms))
	return m
}

func (m *model) boot(i int) {
	vm := placer.VM{
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)), Domain: domains[i%len(domains)],
		Incarnation: placer.NewIncarnation(m.now),
	}
	n := &node{vm: vm, rec: recorder.New(vm, guard)}
	if i < len(m.nodes) {
		m.nodes[i] = n
		return
	}
	m.nodes = append(m.nodes, n)
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.choose.IntN(400)) * time.Millisecond)
	i := m.choose.IntN(len(m.nodes))
	n := m.nodes[i]
	switch m.choose.IntN(10) {
	case 0:
		n.disconnected = chooser.OneIn(m.choose, 2)
	case 1:
		m.replace(i, n)
	case 2, 3, 4:
		m.copyAll()
	default:
		m.attempt()
	}
	for _, n := range m.nodes {
		if !n.disconnected && !n.dead && chooser.OneIn(m.choose, 2) {
			m.readMaps(n)
		}
	}
}

func (m *model) readMaps(n *node) {
	for n.applied < len(m.maps)-1 {
		n.rec.Apply(m.now, m.maps[n.applied], m.maps[n.applied+1])
		n.applied++
	}
	n.readAt = m.now
}

// replace replaces a VM by a new incarnation, but only when no VM has copies outstanding, so that
// at most one holder of a key is lost at a time.
func (m *model) replace(i int, n *node) {
	for _, o := range m.nodes {
		if o.applied != len(m.maps)-1 || len(o.rec.PendingCopies()) > 0 {
			return
		}
	}
	current := m.maps[len(m.maps)-1]
	c := mapper.Change{Replaces: current.Version}
	if e, ok := current.Member(n.vm.Address); ok {
		c.Removed = []placer.VM{e.VM}
	}
	m.boot(i)
	c.Added = []placer.VM{m.nodes[i].vm}
	next, err := current.Apply(current.Version, c)
	if err == nil {
		m.maps = append(m.maps, next)
	}
}

func (m *model) find(vm placer.VM) *node {
	for _, n := range m.nodes {
		if n.vm.Same(vm) && !n.dead {
			return n
		}
	}
	return nil
}

func (m *model) copyAll() {
	for _, n := range m.nodes {
		for _, need := range n.rec.PendingCopies() {
			for _, from := range need.From {
				f := m.find(from)
				if f == nil || f.disconnected || n.disconnected || chooser.OneIn(m.choose, 3) {
					continue
				}
				if c, err := f.rec.Copy(m.now, need.Partition, m.maps[n.applied].Version); err == nil {
					n.rec.ApplyCopy(m.now, need.Partition, from, c)
				}
			}
		}
	}
}

// attempt sends one attempt through a random VM. Each request and each reply may be lost.
func (m *model) attempt() {
	n := m.nodes[m.choose.IntN(len(m.nodes))]
	if n.dead || n.applied == 0 || m.now.Sub(n.readAt) > maxMapAge {
		return
	}
	k := m.choose.IntN(keys)
	m.attempts++
	a := recorder.Attempt{Account: "t/a", Key: fmt.Sprint("key", k), ID: fmt.Sprint("try", m.attempts)}
	holders, version := n.rec.Holders(a.Account, a.Key)
	recorded := 0
	for _, h := range holders {
		f := m.find(h)
		if f == nil || f.disconnected || m.now.Sub(f.readAt) > maxMapAge || chooser.OneIn(m.choose, 4) {
			continue
		}
		if v, _ := f.rec.Begin(m.now, a, version); v == recorder.VerdictNew && !chooser.OneIn(m.choose, 4) {
			recorded++
		}
	}
	if recorded < m.quorum(len(holders)) {
		for _, h := range holders {
			if f := m.find(h); f != nil && !chooser.OneIn(m.choose, 4) {
				f.rec.Cancel(a)
			}
		}
		return
	}
	if m.now.Sub(m.ranAt[k]) > recorder.RecordTTL {
		m.runs[k] = 0
	}
	m.runs[k]++
	m.ranAt[k] = m.now
}

const modelSteps = 250

func TestRunsAtMostOnce(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(chooser.Property(t))
		for range modelSteps {
			m.step()
			for k, n := range m.runs {
				require.LessOrEqual(t, n, 1, "key %d", k)
				ran += n
			}
		}
	})
	require.Positive(t, ran)
}

// TestOneHolderIsNotEnough checks that the model detects requests that run twice when an attempt
// may run after one holder, rather than a quorum, recorded it.
func TestOneHolderIsNotEnough(t *testing.T) {
	duplicates := 0
	for seed := range uint64(20) {
		m := newModel(chooser.Seeded(seed))
		m.quorum = func(int) int { return 1 }
		for range modelSteps {
			m.step()
		}
		for _, n := range m.runs {
			duplicates += max(0, n-1)
		}
	}
	require.Positive(t, duplicates)
}

func single(t *testing.T, now time.Time) *recorder.Recorder {
	t.Helper()
	vm := placer.VM{Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Incarnation: 1}
	r := recorder.New(vm, guard)
	r.Apply(now, mapper.NewMap(0, nil), mapper.NewMap(1, []mapper.Member{{VM: vm}}))
	return r
}

func TestVerdicts(t *testing.T) {
	now := time.Unix(1e6, 0)
	r := single(t, now)
	a := recorder.Attempt{Account: "t/a", Key: "k", ID: "1", Fingerprint: 7}
	begin := func(a recorder.Attempt) recorder.Verdict {
		v, _ := r.Begin(now, a, 1)
		return v
	}
	require.Equal(t, recorder.VerdictNew, begin(a))
	again := a
	again.ID = "2"
	require.Equal(t, recorder.VerdictRunning, begin(again))
	other := again
	other.Fingerprint = 8
	require.Equal(t, recorder.VerdictMismatch, begin(other))
	r.Cancel(again)
	require.Equal(t, recorder.VerdictRunning, begin(again), "only the attempt itself can cancel its record")
	r.Finish(a, recorder.Result{Known: true, Status: 201, Body: []byte("done")})
	v, res := r.Begin(now, again, 1)
	require.Equal(t, recorder.VerdictDone, v)
	require.Equal(t, 201, res.Status)
	_, old := r.Begin(now, again, 2)
	require.False(t, old.Known, "an attempt under another map is refused")
	now = now.Add(recorder.RecordTTL + time.Second)
	require.Equal(t, recorder.VerdictNew, begin(again), "the record has expired")
}

func TestRetryWithIncompleteRecordsIsUnsure(t *testing.T) {
	now := time.Unix(1e6, 0)
	vm := placer.VM{Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Incarnation: 1}
	old := placer.VM{Address: netip.MustParseAddrPort("127.0.0.2:1"), Domain: "b", Incarnation: 1}
	r := recorder.New(vm, guard)
	r.Apply(now, mapper.NewMap(1, []mapper.Member{{VM: old}}), mapper.NewMap(2, []mapper.Member{{VM: vm}}))
	a := recorder.Attempt{Account: "t/a", Key: "k", ID: "1", Retry: true}
	v, _ := r.Begin(now, a, 2)
	require.Equal(t, recorder.VerdictBusy, v, "the guard time has not passed")
	now = now.Add(guard)
	v, _ = r.Begin(now, a, 2)
	require.Equal(t, recorder.VerdictUnsure, v)
	a.Retry = false
	v, _ = r.Begin(now, a, 2)
	require.Equal(t, recorder.VerdictNew, v)
}

func ExampleRecorder() {
	now := time.Unix(1e6, 0)
	vm := placer.VM{Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Incarnation: 1}
	r := recorder.New(vm, guard)
	r.Apply(now, mapper.NewMap(0, nil), mapper.NewMap(1, []mapper.Member{{VM: vm}}))
	first, _ := r.Begin(now, recorder.Attempt{Account: "t/a", Key: "order-7", ID: "1"}, 1)
	second, _ := r.Begin(now, recorder.Attempt{Account: "t/a", Key: "order-7", ID: "2"}, 1)
	fmt.Println(first, second)
	// Output: new running
}

func BenchmarkBegin(b *testing.B) {
	now := time.Unix(1e6, 0)
	vm := placer.VM{Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Incarnation: 1}
	r := recorder.New(vm, guard)
	r.Apply(now, mapper.NewMap(0, nil), mapper.NewMap(1, []mapper.Member{{VM: vm}}))
	for i := 0; b.Loop(); i++ {
		a := recorder.Attempt{Account: "t/a", Key: fmt.Sprint(i), ID: "1"}
		r.Begin(now, a, 1)
		r.Cancel(a)
	}
}

// BenchmarkApply measures a map change in which one VM leaves the fleet.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{40, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1e6, 0)
			var ms []mapper.Member
			for i := range n {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
				ms = append(ms, mapper.Member{VM: placer.VM{Address: a, Domain: domains[i%3], Incarnation: 1}})
			}
			old, next := mapper.NewMap(1, ms), mapper.NewMap(2, ms[1:])
			for b.Loop() {
				r := recorder.New(ms[5].VM, guard)
				r.Apply(now, old, next)
			}
		})
	}
}
