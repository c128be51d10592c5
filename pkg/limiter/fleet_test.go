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
	contactTimeout = 5 * time.Second
	account        = "team/account"
)

var shards = []mapper.Shard{{Domain: "a"}, {Domain: "b"}}

// node is one VM of the model. It may read the maps late, be disconnected or be dead.
type node struct {
	vm           placer.VM
	owner        *limiter.Owner
	applied      int
	contactAt    time.Time
	dead         bool
	disconnected bool
}

// model is a fleet in virtual time. The tokens granted by all VMs together count against the limit.
type model struct {
	choose      chooser.Chooser
	guardPeriod time.Duration
	now         time.Time
	maps        []*mapper.Map
	nodes       []*node
	limit       limiter.Limit
	// shards are the tokens that the limit alone allows each shard to grant; a negative level is an overdraft.
	shards       map[mapper.Shard]*referenceBucket
	maxOverdraft limiter.Tokens
}

// referenceBucket is a token bucket whose level may become negative.
type referenceBucket struct {
	level limiter.Tokens
	at    time.Time
}

func newModel(c chooser.Chooser, guardPeriod time.Duration) *model {
	m := &model{choose: c, guardPeriod: guardPeriod, now: time.Unix(1000, 0), limit: limiter.Limit{Rate: 10, Burst: 20}}
	m.shards = map[mapper.Shard]*referenceBucket{}
	for _, d := range shards {
		m.shards[d] = &referenceBucket{m.limit.Share(len(shards)).Burst, m.now}
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
	n := &node{vm: vm, owner: limiter.NewOwner(vm, m.guardPeriod, a)}
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
		n.disconnected = chooser.OneIn(m.choose, 2)
	case 1:
		n.dead = n.dead || chooser.OneIn(m.choose, 3)
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
		m.acquire(n)
	}
	for _, n := range m.nodes {
		if !n.disconnected && chooser.OneIn(m.choose, 2) {
			m.read(n)
		}
	}
}

// read applies the maps that a VM has not read yet and renews its contact with the fleet.
func (m *model) read(n *node) {
	if n.dead {
		return
	}
	for n.applied < len(m.maps)-1 {
		n.owner.Apply(m.now, m.maps[n.applied], m.maps[n.applied+1], shards)
		n.applied++
	}
	n.contactAt = m.now
}

// change appends a map in which a VM joins, leaves, or is removed if it is dead or was restarted.
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

// handOver requests the releases that a VM waits for. Each request or reply may be lost.
func (m *model) handOver(n *node) {
	if n.dead || n.applied == 0 {
		return
	}
	for _, need := range n.owner.PendingReleases() {
		from := m.find(need.From)
		if from == nil || from.dead || from.disconnected || chooser.OneIn(m.choose, 4) {
			continue
		}
		cur := m.maps[from.applied]
		if cur.Version < m.maps[n.applied].Version {
			continue
		}
		h, err := from.owner.Release(m.now, need.Partition, cur, n.vm)
		if err == nil && !chooser.OneIn(m.choose, 4) {
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

// acquire takes all available tokens from a VM that considers itself in contact with the fleet.
func (m *model) acquire(n *node) {
	if n.dead || m.now.Sub(n.contactAt) > contactTimeout {
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
		m.maxOverdraft = max(m.maxOverdraft, -r.level)
	}
}

// settle restarts dead VMs, reconnects all of them and runs them until nothing is left to hand over.
func (m *model) settle() {
	for i, n := range m.nodes {
		n.disconnected = false
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

func TestFleetNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(chooser.Property(t), 2*contactTimeout+time.Second)
		for range modelSteps {
			m.step()
			require.LessOrEqual(t, float64(m.maxOverdraft), 1e-3, "granted more than rate and burst allow")
		}
		m.settle()
		for _, d := range shards {
			owner, ok := m.maps[len(m.maps)-1].Owner(mapper.PartitionOf(account, d))
			require.True(t, ok)
			_, err := m.find(owner).owner.Acquire(m.now, mapper.PartitionOf(account, d), account, m.limit.Share(2), 1)
			require.NoError(t, err, "a shard never gets an owner again")
		}
	})
}

// maxOverdraft returns by how many tokens a shard exceeds its limit in this case: the second owner of the
// shard dies and a third takes over, before the first has read that it is no longer the owner.
func maxOverdraft(t *testing.T, guardPeriod time.Duration) limiter.Tokens {
	t.Helper()
	m := newModel(chooser.Seeded(1), guardPeriod)
	first, second, third := m.nodes[0], m.nodes[2], m.nodes[4]
	maps := []*mapper.Map{
		m.maps[0], mapper.NewMap(1, []mapper.Member{{VM: first.vm}}),
		mapper.NewMap(2, []mapper.Member{{VM: first.vm}, {VM: second.vm}}),
		mapper.NewMap(3, []mapper.Member{{VM: first.vm}, {VM: third.vm}}),
	}
	p := pickPartition(t, maps, []placer.VM{first.vm, second.vm, third.vm})
	limit := limiter.Limit{Rate: 10, Burst: 20}
	first.owner.Apply(m.now, maps[0], maps[1], shards)
	for i := range 3 {
		third.owner.Apply(m.now, maps[i], maps[i+1], shards)
	}
	overdraft, level := limiter.Tokens(0), limit.Burst
	for range 50 {
		m.now = m.now.Add(contactTimeout / 50)
		level = min(limit.Burst, level+limit.Refill(contactTimeout/50))
		for _, n := range []*node{first, third} {
			if g, err := n.owner.Acquire(m.now, p, account, limit, 100); err == nil {
				level -= g.Tokens
			}
		}
		overdraft = max(overdraft, -level)
	}
	return overdraft
}

// pickPartition returns a partition whose owner under maps[i+1] is owners[i], for every i.
func pickPartition(t *testing.T, maps []*mapper.Map, owners []placer.VM) mapper.Partition {
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

func TestSuccessorOfDeadOwnerWaitsGuardPeriod(t *testing.T) {
	require.Greater(t, float64(maxOverdraft(t, 0)), 10.0, "without a guard period two VMs grant from the shard at once")
	require.LessOrEqual(t, float64(maxOverdraft(t, 2*contactTimeout)), 1e-6)
}
