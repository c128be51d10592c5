// Package timekeeper provides a clock that also counts the time for which the
// machine was suspended.
package timekeeper
