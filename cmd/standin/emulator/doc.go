// Package emulator emulates the platform's metadata store and backend servers
// for tests and the demo. It speaks the platform's protocol and can inject
// faults.
package emulator
