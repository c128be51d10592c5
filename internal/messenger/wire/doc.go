// Package wire holds the generated messages between the daemons of one fleet.
package wire

//go:generate go run ../generator wire.proto
