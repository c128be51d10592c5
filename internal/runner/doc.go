// Package runner assembles a daemon that proxies requests from callers to
// instances on a platform with a store, and runs it from start to stop.
package runner
