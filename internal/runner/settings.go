package runner

import (
	"net/netip"
	"time"
)

// Settings are what a daemon is told when it starts.
type Settings struct {
	Name   string
	Domain string
	// Callers, Readiness and Directory are the addresses that the daemon serves to others.
	Callers, Readiness, Directory netip.AddrPort
	// Peers is where other daemons reach it, and Operators where its state and metrics are read.
	Peers, Operators netip.AddrPort
	// Cores is its share of a processor core, and Link the speed of its link in bit/s; zero if unknown.
	Cores, Link float64
	// Memory is the most that the process may use, in bytes.
	Memory int64
	// Descriptors is how many sockets it may open.
	Descriptors int
	Bounds      Bounds
}

// linkOfCore is the traffic that keeps one core busy, in bit/s: of HTTP messages of some kilobytes, each read and
// written once.
const linkOfCore = 250e6

// Capacity returns how much a VM can do, in cores: the less of what its processor and its link allow.
func (s Settings) Capacity() float64 {
	c := s.Cores
	if s.Link > 0 {
		c = min(c, s.Link/linkOfCore)
	}
	return max(leastCapacity, c)
}

// leastCapacity is what a VM of unknown size counts as, in cores.
const leastCapacity = 0.01

// Bounds are the promises that a fleet keeps to its users.
type Bounds struct {
	// MaxKeyAge is how long after its withdrawal a key may still be accepted.
	MaxKeyAge time.Duration
	// StopGracePeriod is how long after a request to stop the process is killed.
	StopGracePeriod time.Duration
	// RetryRatio and RetrySlack bound the requests that are sent once more, over all VMs: a part of all
	// requests, and a number besides, in any span of RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RateWindow is the span over which the rates of accounts hold.
	RateWindow time.Duration
	// MaxAddressTTL is the longest time that callers keep a list of addresses.
	MaxAddressTTL time.Duration
}

// DefaultBounds returns the bounds of a fleet whose platform gives none.
func DefaultBounds() Bounds {
	return Bounds{
		MaxKeyAge: 5 * time.Second, StopGracePeriod: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		RateWindow: 5 * time.Second, MaxAddressTTL: 5 * time.Second,
	}
}
