package router

import "time"

// Configuration is one version of everything that an operator sets.
type Configuration struct {
	// Version increases with each change that the operator publishes.
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// Route says which services handle the requests of a host and path prefix, and with which limits.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent says that requests may run more than once, so that they can be hedged and retried.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds the time until a caller has its final response.
	Timeout time.Duration `json:"timeoutNs"`
	// Objective is the latency that the operator wants requests to stay within.
	Objective time.Duration `json:"objectiveNs"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `json:"priority"`
	// Attempts bounds the instances that one request may be sent to, the first included.
	Attempts int `json:"attempts"`
	// Open says that requests need no key.
	Open bool `json:"open"`
	// Services are the services among which the requests are split by weight.
	Services []WeightedService `json:"parts"`
}

// WeightedService is a service that gets a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service has the settings that all instances of a service share.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is how many connections one instance accepts from all callers together.
	MaxConnections int `json:"maxConnections"`
	// WarmupRate is how many requests a second, from all VMs together, an instance takes while it warms up; zero if that is not
	// limited. Warmup is how long an instance warms up after its start.
	WarmupRate float64       `json:"warmupRate,omitempty"`
	Warmup     time.Duration `json:"warmup,omitempty"`
}

// Account is a client account with its keys and its limit.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the route's priority unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Rate is in requests per second over the whole fleet; zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Limits bound the size of callers' requests, the time to send the headers and the idle time of connections.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeoutNs"`
	IdleTimeout    time.Duration `json:"idleTimeoutNs"`
}

// DefaultLimits returns the limits that apply until a configuration is known.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}
