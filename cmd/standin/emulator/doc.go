// Package emulator plays the outside of the system for tests and the
// demonstration: the platform's metadata store and backend servers, as the
// platform's protocol describes them, with the troubles that they may have.
package emulator
