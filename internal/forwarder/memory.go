package forwarder

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// memory bounds the memory for response bodies, over all requests at once.
type memory struct {
	max  int64
	used atomic.Int64
}

// hold is reserved memory.
type hold struct {
	memory *memory
	bytes  int64
	once   sync.Once
}

// reserve reserves memory, or returns nil if there is not enough.
func (m *memory) reserve(bytes int64) *hold {
	if m.used.Add(bytes) > m.max {
		m.used.Add(-bytes)
		return nil
	}
	return &hold{memory: m, bytes: bytes}
}

// release gives the memory back. It may be called more than once, and on nil.
func (h *hold) release() {
	if h != nil {
		h.once.Do(func() { h.memory.used.Add(-h.bytes) })
	}
}

// bufferedLength returns how much of a response body may be buffered, in bytes.
func bufferedLength(r *http.Response) int64 {
	if n := r.ContentLength; n >= 0 && n <= maxKnownBody {
		return n
	}
	return maxBufferedBody
}
