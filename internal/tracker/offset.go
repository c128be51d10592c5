package tracker

import "fmt"

// epochShift is the number of bits of an offset below the epoch. They suffice for 70 years of the largest registry.
const epochShift = 48

// Offset returns the offset of a record of the registry in an order over the epochs of the store's history: a store that
// comes back from a copy gives offsets out again, in a later epoch.
func Offset(epoch, offset uint64) uint64 { return epoch<<epochShift | offset }

// EpochOf returns the epoch of an offset.
func EpochOf(offset uint64) uint64 { return offset >> epochShift }

// Split returns the epoch of an offset, and the offset in it.
func Split(offset uint64) (epoch, inEpoch uint64) {
	return EpochOf(offset), offset & (1<<epochShift - 1)
}

// formatOffset returns an offset as the epoch and the offset in it.
func formatOffset(offset uint64) string {
	return fmt.Sprintf("%d/%d", EpochOf(offset), offset&(1<<epochShift-1))
}
