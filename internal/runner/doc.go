// Package runner puts together the parts of a daemon that stands between
// callers and instances on a platform with a store, and runs them from start
// to stop.
package runner
