package limiter_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// BenchmarkOwner is the memory of a bucket and the time of an ask at its owner.
func BenchmarkOwner(b *testing.B) {
	const buckets = 20000
	now := time.Unix(1e6, 0)
	vm := placer.VM{Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "a", Incarnation: 1}
	shard := mapper.Shard{Domain: "a"}
	names := make([]string, buckets)
	for i := range names {
		names[i] = fmt.Sprint("team/account-", i)
	}
	o := limiter.NewOwner(vm, 0, nil)
	o.Apply(now, mapper.NewMap(0, nil), mapper.NewMap(1, []mapper.Member{{VM: vm}}), []mapper.Shard{shard})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	limit := limiter.Limit{Rate: 1e9, Burst: 1e9}
	for i := 0; b.Loop(); i++ {
		n := names[i%buckets]
		if _, err := o.Acquire(now, mapper.PartitionOf(n, shard), n, limit, 1); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(min(b.N, buckets)), "B/bucket")
	runtime.KeepAlive(o)
	runtime.KeepAlive(names)
}
