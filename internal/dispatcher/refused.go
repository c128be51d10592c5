package dispatcher

import (
	"hash/maphash"
	"slices"
	"sync"
)

// maxRefusedIDs bounds the refusals that are remembered for each backend server.
const maxRefusedIDs = 1024

// refusedIDs remembers the requests that a backend server refused last, by hashes of their IDs. It is safe for concurrent use.
type refusedIDs struct {
	seed maphash.Seed
	mu   sync.Mutex
	// hashes is a ring once it is full; next is the oldest entry then.
	hashes []uint64
	next   int
}

func newRefusedIDs() *refusedIDs { return &refusedIDs{seed: maphash.MakeSeed()} }

func (r *refusedIDs) add(id string) {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.hashes) < maxRefusedIDs {
		r.hashes = append(r.hashes, h)
		return
	}
	r.hashes[r.next] = h
	r.next = (r.next + 1) % maxRefusedIDs
}

// has reports whether a request is remembered; rarely also another one with the same hash.
func (r *refusedIDs) has(id string) bool {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.hashes, h)
}
