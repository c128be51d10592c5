package messenger_test

import (
	"net"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"net/netip"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

func startBench(b *testing.B) (*messenger.Messenger, netip.AddrPort) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	a := l.Addr().(*net.TCPAddr).AddrPort()
	m := messenger.New(messenger.Options{
		Self: placer.VM{Address: a, CallerAddress: a, Domain: "a", Incarnation: 1}, Fleet: "f", Layout: 1,
		Dial: messenger.DialFrom(netip.MustParseAddr("127.0.0.1")), Handler: handler{}, Logger: zap.NewNop(),
		Clock: clockwork.NewRealClock(),
	})
	go func() { _ = m.Serve(b.Context(), l) }()
	b.Cleanup(func() { _ = l.Close(); m.Close() })
	return m, a
}

// BenchmarkCall is a message and its reply between two daemons, both ends in one process.
func BenchmarkCall(b *testing.B) {
	m, _ := startBench(b)
	_, to := startBench(b)
	in, out := m.Traffic()
	for b.Loop() {
		if _, err := m.Call(b.Context(), to, beat()); err != nil {
			b.Fatal(err)
		}
	}
	in2, out2 := m.Traffic()
	b.ReportMetric(float64(in2-in+out2-out)/float64(b.N), "wire-B/op")
}

// BenchmarkSession is the memory of one session, both ends in one process.
func BenchmarkSession(b *testing.B) {
	m, _ := startBench(b)
	const peers = 50
	for b.Loop() {
		before := heapBytes()
		for range peers {
			_, to := startBench(b)
			if _, err := m.Call(b.Context(), to, beat()); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((heapBytes()-before)/peers, "B/session")
	}
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
