package router

import "time"

// Configuration is one version of everything that an operator sets.
type Configuration struct {
	// Version grows with each change that the operator publishes.
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Accounts []Account `json:"accounts"`
	Limits   Limits    `json:"limits"`
}

// Route tells where the requests of a host and path prefix go and what they may take.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time until a caller has a final answer.
	Timeout time.Duration `json:"timeoutNs"`
	// Objective is the latency that the operator wants.
	Objective time.Duration `json:"objectiveNs"`
	// Priority is the rank of the route, 0 the highest.
	Priority int `json:"priority"`
	// Attempts is the most instances that one request may be sent to.
	Attempts int `json:"attempts"`
	// Open routes need no key.
	Open bool `json:"open"`
	// Services share the requests by their weights.
	Services []WeightedService `json:"parts"`
}

// WeightedService is a service that gets a share of a route's requests.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is what is common to the instances of a service.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one instance takes from all callers together.
	MaxConnections int `json:"maxConnections"`
}

// Account is a client account with its keys and its limit.
type Account struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before the route's; nil leaves the route's.
	Priority *int `json:"priority,omitempty"`
	// Rate is in requests a second over the whole fleet; zero means no limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeoutNs"`
	IdleTimeout    time.Duration `json:"idleTimeoutNs"`
}

// DefaultLimits hold until a configuration is known.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}
