package runner

import (
	"net/netip"
	"time"
)

// Settings configure a daemon; they are fixed while it runs.
type Settings struct {
	Name   string
	Domain string
	// Callers is where the daemon serves requests, Readiness and Directory where it serves the Entry handler.
	Callers, Readiness, Directory netip.AddrPort
	// Peers is where it serves other daemons, and Operators where it serves its state and metrics.
	Peers, Operators netip.AddrPort
	// Cores is its CPU share in cores, and Link the speed of its network link in bit/s; zero if unknown.
	Cores, Link float64
	// Memory is the memory limit of the process, in bytes.
	Memory int64
	// Descriptors bounds the sockets that it may open.
	Descriptors int
	Bounds      Bounds
}

// linkPerCore is the traffic that saturates one core, in bit/s, for HTTP messages of some kilobytes that are each
// read and written once.
const linkPerCore = 250e6

// Capacity returns the capacity of a VM in cores: the lower of what its CPU and its network link allow, and at
// least minCapacity.
func (s Settings) Capacity() float64 {
	c := s.Cores
	if s.Link > 0 {
		c = min(c, s.Link/linkPerCore)
	}
	return max(minCapacity, c)
}

// minCapacity is the capacity of a VM of unknown size, in cores.
const minCapacity = 0.01

// Bounds are the guarantees of a fleet to its users.
type Bounds struct {
	// MaxKeyAge is how long a key may still be accepted after its withdrawal.
	MaxKeyAge time.Duration
	// DrainTimeout is how long an instance that left, or said that it leaves, may still get requests.
	DrainTimeout time.Duration
	// StopGracePeriod is the time from a request to stop until the process is killed.
	StopGracePeriod time.Duration
	// RetryRatio and RetrySlack bound the retries and hedges of all VMs together: in any RetryWindow there are at
	// most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// RateWindow is the time over which the rates of client accounts are enforced.
	RateWindow time.Duration
	// WarmupOvershoot and WarmupSlack bound what all VMs together send to an instance that warms up: in any second, the warm-up
	// rate of its service times WarmupOvershoot, plus WarmupSlack requests.
	WarmupOvershoot, WarmupSlack float64
	// MaxAddressTTL bounds how long callers may cache a list of addresses.
	MaxAddressTTL time.Duration
}

// DefaultBounds returns the bounds that apply where the platform sets none.
func DefaultBounds() Bounds {
	return Bounds{
		MaxKeyAge: 5 * time.Second, DrainTimeout: 2 * time.Second, StopGracePeriod: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
		RateWindow: 5 * time.Second, WarmupOvershoot: 1.5, WarmupSlack: 8, MaxAddressTTL: 5 * time.Second,
	}
}
