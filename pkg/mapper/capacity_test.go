package mapper_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// BenchmarkReplaceOne makes the map that follows when one VM is replaced, and counts the
// partitions that move.
func BenchmarkReplaceOne(b *testing.B) {
	for _, n := range []int{40, 600, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			shards := mapper.Shards([]string{"d0", "d1", "d2", "d3"})
			old := mapper.NewMap(1, fleet(n))
			moved := 0
			for b.Loop() {
				next, err := old.Apply(1, mapper.Change{Replaces: 1, Removed: []placer.VM{vm(7, 1)}, Added: []placer.VM{vm(n+7, 1)}})
				if err != nil {
					b.Fatal(err)
				}
				moved = 0
				for _, s := range shards {
					for i := range mapper.PartitionsPerShard {
						p := mapper.Partition{Shard: s, Index: i}
						was, _ := old.Owner(p)
						is, _ := next.Owner(p)
						if !was.Same(is) {
							moved++
						}
					}
				}
			}
			b.ReportMetric(float64(moved), "partitions-moved")
		})
	}
}

// BenchmarkPlacement compares where accounts of skewed size put the load on VMs: by the hash of
// whole accounts, by the hash of their shards, and by a table that puts each shard, the
// largest first, on the VM with the least. Reported is the busiest VM over the mean.
func BenchmarkPlacement(b *testing.B) {
	const vms, accounts = 40, 4000
	weights := make([]float64, accounts)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.9)
		total += weights[i]
	}
	ratio := func(loads map[string]float64) float64 {
		top := 0.0
		for _, l := range loads {
			top = max(top, l)
		}
		return top / (total / vms)
	}
	m := mapper.NewMap(1, fleet(vms))
	shards := mapper.Shards([]string{"d0", "d1", "d2", "d3"})
	b.Run("whole-accounts-by-hash", func(b *testing.B) {
		for b.Loop() {
			loads := map[string]float64{}
			for i, w := range weights {
				loads[m.Spread(fmt.Sprint(i), 1)[0].ID()] += w
			}
			b.ReportMetric(ratio(loads), "busiest/mean")
		}
	})
	b.Run("shards-by-hash", func(b *testing.B) {
		for b.Loop() {
			loads := map[string]float64{}
			for i, w := range weights {
				for _, s := range shards {
					owner, _ := m.Owner(mapper.PartitionOf(fmt.Sprint(i), s))
					loads[owner.ID()] += w / float64(len(shards))
				}
			}
			b.ReportMetric(ratio(loads), "busiest/mean")
		}
	})
	b.Run("shards-by-table", func(b *testing.B) {
		for b.Loop() {
			loads := make([]float64, vms)
			for _, w := range weights {
				for range shards {
					i := slices.Index(loads, slices.Min(loads))
					loads[i] += w / float64(len(shards))
				}
			}
			b.ReportMetric(slices.Max(loads)/(total/vms), "busiest/mean")
		}
	})
}
