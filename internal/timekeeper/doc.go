// Package timekeeper provides a clock that keeps counting while the VM is
// suspended.
package timekeeper
