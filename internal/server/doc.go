// Package server wires the parts of one daemon together: settings, listeners,
// the roles it plays and the messages between them.
package server
