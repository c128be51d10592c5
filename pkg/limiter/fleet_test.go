package limiter_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jacinthproxy/jacinthproxy/internal/chooser"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func TestMain(m *testing.M) { chooser.Main(m) }

const (
	contact = 5 * time.Second
	account = "team/account"
)

var shards = []mapper.Shard{{Domain: "a"}, {Domain: "b"}}

// node is one VM of the model: an owner that reads the maps late, and may be paused or dead.
type node struct {
	vm      placer.VM
	owner   *limiter.Owner
	applied int
	freshAt time.Time
	dead    bool
	cut     bool
}

// model is a fleet in virtual time. What an ask gets from any VM counts against the limit.
type model struct {
	choose chooser.Chooser
	guard  time.Duration
	now    time.Time
	maps   []*mapper.Map
	nodes  []*node
	limit  limiter.Limit
	// shards are what each shard may still give, by the limit alone; below zero is too much.
	shards map[mapper.Shard]*reference
	worst  limiter.Tokens
}

// reference is a token bucket that may be overdrawn.
type reference struct {
	level limiter.Tokens
	at    time.Time
}

func newModel(c chooser.Chooser, guard time.Duration) *model {
	m := &model{choose: c, guard: guard, now: time.Unix(1000, 0), limit: limiter.Limit{Rate: 10, Burst: 20}}
	m.shards = map[mapper.Shard]*reference{}
	for _, d := range shards {
		m.shards[d] = &reference{m.limit.Share(len(shards)).Burst, m.now}
	}
	m.maps = []*mapper.Map{mapper.NewMap(0, nil)}
	for i := range 5 {
		m.boot(i)
	}
	var ms []mapper.Member
	for _, n := range m.nodes[:3] {
		ms = append(ms, mapper.Member{VM: n.vm})
	}
	m.maps = append(m.maps, mapper.NewMap(1, ms))
	return m
}

func (m *model) boot(i int) {
	vm := placer.VM{
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)), Domain: shards[i%len(shards)].Domain,
		Incarnation: placer.NewIncarnation(m.now),
	}
	a := asserter.New(func(v asserter.Violation) { panic(v) })
	n := &node{vm: vm, owner: limiter.NewOwner(vm, m.guard, a)}
	if i < len(m.nodes) {
		m.nodes[i] = n
		return
	}
	m.nodes = append(m.nodes, n)
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.choose.IntN(500)) * time.Millisecond)
	n := m.nodes[m.choose.IntN(len(m.nodes))]
	switch m.choose.IntN(12) {
	case 0:
		n.cut = chooser.Hit(m.choose, 2)
	case 1:
		n.dead = n.dead || chooser.Hit(m.choose, 3)
	case 2:
		if n.dead {
			for i := range m.nodes {
				if m.nodes[i] == n {
					m.boot(i)
				}
			}
		}
	case 3, 4:
		m.change(n)
	case 5, 6:
		m.handOver(n)
	default:
		m.ask(n)
	}
	for _, n := range m.nodes {
		if !n.cut && chooser.Hit(m.choose, 2) {
			m.read(n)
		}
	}
}

// read applies the maps that a VM has not seen and makes it fresh.
func (m *model) read(n *node) {
	if n.dead {
		return
	}
	for n.applied < len(m.maps)-1 {
		n.owner.Apply(m.now, m.maps[n.applied], m.maps[n.applied+1], shards)
		n.applied++
	}
	n.freshAt = m.now
}

// change appends a map in which a VM joins, leaves, or is removed if it is certainly dead.
func (m *model) change(n *node) {
	cur := m.maps[len(m.maps)-1]
	c := mapper.Change{Format: mapper.Format, Replaces: cur.Version}
	e, member := cur.Member(n.vm.Address)
	switch {
	case member && (!e.Same(n.vm) || n.dead):
		c.Removed = []placer.VM{e.VM}
		if !n.dead {
			c.Added = []placer.VM{n.vm}
		}
	case member && !e.Leaving && len(cur.ActiveVMs()) > 1:
		c.Leaving = []placer.VM{n.vm}
	case !member && !n.dead:
		c.Added = []placer.VM{n.vm}
	default:
		return
	}
	next, err := cur.Apply(cur.Version, c)
	if err == nil {
		m.maps = append(m.maps, next)
	}
}

// handOver runs the messages that a VM needs; each may be lost, before or after it acts.
func (m *model) handOver(n *node) {
	if n.dead || n.applied == 0 {
		return
	}
	for _, need := range n.owner.PendingReleases() {
		from := m.find(need.From)
		if from == nil || from.dead || from.cut || chooser.Hit(m.choose, 4) {
			continue
		}
		cur := m.maps[from.applied]
		if cur.Version < m.maps[n.applied].Version {
			continue
		}
		h, err := from.owner.Release(m.now, need.Partition, cur, n.vm)
		if err == nil && !chooser.Hit(m.choose, 4) {
			n.owner.ApplyHandoff(m.now, need, h)
		}
	}
}

func (m *model) find(vm placer.VM) *node {
	for _, n := range m.nodes {
		if n.vm.Same(vm) {
			return n
		}
	}
	return nil
}

// ask takes all it can get from a VM that believes itself in contact.
func (m *model) ask(n *node) {
	if n.dead || m.now.Sub(n.freshAt) > contact {
		return
	}
	for _, d := range shards {
		share := m.limit.Share(len(shards))
		g, err := n.owner.Acquire(m.now, mapper.PartitionOf(account, d), account, share, 1000)
		if err != nil {
			continue
		}
		r := m.shards[d]
		r.level = min(share.Burst, r.level+share.Refill(m.now.Sub(r.at))) - g.Tokens
		r.at = m.now
		m.worst = max(m.worst, -r.level)
	}
}

// heal lets all VMs live and talk until nothing is left to hand over.
func (m *model) heal() {
	for i, n := range m.nodes {
		n.cut = false
		if n.dead {
			m.boot(i)
		}
	}
	for range 40 {
		m.now = m.now.Add(time.Second)
		for _, n := range m.nodes {
			if cur := m.maps[len(m.maps)-1]; !cur.Has(n.vm) {
				m.change(n)
			}
		}
		for _, n := range m.nodes {
			m.read(n)
		}
		for _, n := range m.nodes {
			m.handOver(n)
		}
	}
}

const modelSteps = 300

func TestFleetKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(chooser.Property(t), 2*contact+time.Second)
		for range modelSteps {
			m.step()
			require.LessOrEqual(t, float64(m.worst), 1e-3, "more than burst and rate allow")
		}
		m.heal()
		for _, d := range shards {
			owner, ok := m.maps[len(m.maps)-1].Owner(mapper.PartitionOf(account, d))
			require.True(t, ok)
			_, err := m.find(owner).owner.Acquire(m.now, mapper.PartitionOf(account, d), account, m.limit.Share(2), 1)
			require.NoError(t, err, "a shard is lost for good")
		}
	})
}

// overdraw returns by how much a shard gives too much when its owner dies before the VM that
// held it has read that it is no longer the owner, and a third takes over.
func overdraw(t *testing.T, guard time.Duration) limiter.Tokens {
	t.Helper()
	m := newModel(chooser.Seeded(1), guard)
	first, second, third := m.nodes[0], m.nodes[2], m.nodes[4]
	maps := []*mapper.Map{
		m.maps[0], mapper.NewMap(1, []mapper.Member{{VM: first.vm}}),
		mapper.NewMap(2, []mapper.Member{{VM: first.vm}, {VM: second.vm}}),
		mapper.NewMap(3, []mapper.Member{{VM: first.vm}, {VM: third.vm}}),
	}
	p := pick(t, maps, []placer.VM{first.vm, second.vm, third.vm})
	limit := limiter.Limit{Rate: 10, Burst: 20}
	first.owner.Apply(m.now, maps[0], maps[1], shards)
	for i := range 3 {
		third.owner.Apply(m.now, maps[i], maps[i+1], shards)
	}
	worst, level := limiter.Tokens(0), limit.Burst
	for range 50 {
		m.now = m.now.Add(contact / 50)
		level = min(limit.Burst, level+limit.Refill(contact/50))
		for _, n := range []*node{first, third} {
			if g, err := n.owner.Acquire(m.now, p, account, limit, 100); err == nil {
				level -= g.Tokens
			}
		}
		worst = max(worst, -level)
	}
	return worst
}

// pick returns a partition that each of the owners has in turn.
func pick(t *testing.T, maps []*mapper.Map, owners []placer.VM) mapper.Partition {
	t.Helper()
	for i := range mapper.PartitionsPerShard {
		p := mapper.Partition{Shard: shards[0], Index: i}
		fits := true
		for j, want := range owners {
			owner, _ := maps[j+1].Owner(p)
			fits = fits && owner.Same(want)
		}
		if fits {
			return p
		}
	}
	t.Fatal("no partition fits")
	return mapper.Partition{}
}

func TestDeadOwnersSuccessorWaits(t *testing.T) {
	require.Greater(t, float64(overdraw(t, 0)), 10.0, "the fault that the guard is for")
	require.LessOrEqual(t, float64(overdraw(t, 2*contact)), 1e-6)
}
