package forwarder

import (
	"hash/maphash"
	"slices"
)

// maxCarried bounds the requests that a connection carries.
const maxCarried = 512

// carried are the keys of the requests that a connection has carried, in order.
type carried []uint64

// requestKey returns the key of a request's ID; those of two IDs may be equal.
func (f *Forwarder) requestKey(id string) uint64 { return maphash.String(f.seed, id) }

func (c carried) has(key uint64) bool { return slices.Contains(c, key) }
