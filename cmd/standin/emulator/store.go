package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a topic: its key, its value, the encoding of both as one message of the protocol, and when it was
// written.
type record struct {
	key       string
	value     []byte
	encoded   []byte
	writtenAt time.Time
}

// topic is a single-partition log of records; offsets below first can no longer be read. The map newest
// holds the offset of the latest record per key.
type topic struct {
	records []record
	first   int
	newest  map[string]int
}

// Store emulates the platform's metadata store. Its methods may be called concurrently.
type Store struct {
	// PageSize is the maximum number of keys in one response to log-newest.
	PageSize int

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// epoch counts the histories of the store, from 1.
	epoch int
	// intercept, if set, may handle calls in place of the store and reports whether it did.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	calls     map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{PageSize: 500, epoch: 1, topics: map[string]*topic{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetInterceptor sets a function that may handle calls in place of the store and reports whether it did; nil
// removes it. It also applies to reads that are waiting for records.
func (s *Store) SetInterceptor(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intercept = f
	s.notify()
}

// Unavailable responds with 503; the store does not execute the call.
func Unavailable(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// Unresponsive sends no response and aborts the call when the client closes the connection.
func Unresponsive(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Calls returns the number of calls of an endpoint such as log-read, including failed ones.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// DiscardRecords makes all present records of a topic unreadable; the latest value of each key stays in log-newest.
func (s *Store) DiscardRecords(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
}

// Restore brings the store back from a copy that was made the given time ago: what was written since is lost, and its offsets
// are given out again.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	for _, t := range s.topics {
		t.records = slices.DeleteFunc(t.records, func(r record) bool { return r.writtenAt.After(copiedAt) })
		t.first = min(t.first, len(t.records))
		t.newest = map[string]int{}
		for i, r := range t.records {
			t.setNewest(i, r)
		}
	}
	s.epoch++
	s.notify()
}

// setNewest makes a record the newest one of its key.
func (t *topic) setNewest(offset int, r record) {
	t.newest[r.key] = offset
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	}
}

// setEpoch sets the header that names the epoch in a response. s.mu must be held.
func (s *Store) setEpoch(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.epoch)) }

// Put appends a record with the value of a key to the topic with this name; an empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, key, value)
}

// Heartbeat is a heartbeat of an instance in the registry. SequenceNumber counts the heartbeats since
// the instance started; StartedAtMs is that start in Unix milliseconds, which distinguishes its incarnations.
type Heartbeat struct {
	Address                       string
	Service, FailureDomain, State string
	Slots                         int
	SequenceNumber, StartedAtMs   int64
	// Warmup is how much longer the instance warms up.
	Warmup time.Duration
}

// Register writes a heartbeat of the instance with this ID to the registry.
func (s *Store) Register(id string, b Heartbeat) {
	s.Put("keyed.servers", id, fmt.Appendf(nil, `{"Address":"%s","ServerInfo":{"Service":"%s","Version":"v1","Zone":"%s","Slots":%d},`+
		`"Status":{"State":"%s","SequenceNumber":%d,"WarmupRemainingS":%.3f},"born":%d}`, b.Address, b.Service, b.FailureDomain, b.Slots, b.State, b.SequenceNumber, b.Warmup.Seconds(), b.StartedAtMs))
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(name, key string, value []byte) {
	t := s.topic(name)
	raw := append([]byte{byte(len(key))}, key...)
	r := record{key, value, append(raw, value...), time.Now()}
	t.records = append(t.records, r)
	t.setNewest(len(t.records)-1, r)
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles the calls log-append, log-read and log-newest of the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	s.mu.Lock()
	s.calls[name]++
	s.setEpoch(w)
	intercept := s.intercept
	s.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	switch name {
	case "log-append":
		s.serveAppend(w, r)
	case "log-read":
		s.serveRead(w, r)
	case "log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEpoch(w)
	name := r.URL.Query().Get("Topic")
	offset := len(s.topic(name).records)
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(offset) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"End": offset})
		return
	}
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		rec := b[4 : 4+n]
		b = b[4+n:]
		k := int(rec[0])
		s.append(name, string(rec[1:1+k]), slices.Clone(rec[1+k:]))
	}
	writeJSON(w, map[string]int{"Offset": offset, "End": len(s.topic(name).records)})
}

// maxReadBytes is the most that one read returns, unless its first record alone is longer.
const maxReadBytes = 1 << 20

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed, intercept := s.topic(q.Get("Topic")), s.changed, s.intercept
		s.setEpoch(w)
		if from < t.first || from > len(t.records) {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int{"First": t.first})
			return
		}
		if from < len(t.records) || ms == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			b = binary.BigEndian.AppendUint64(b, uint64(t.first))
			for i, rec := range t.records[min(from, len(t.records)):] {
				if i > 0 && len(b)+4+len(rec.encoded) > maxReadBytes {
					break
				}
				b = binary.BigEndian.AppendUint32(b, uint32(len(rec.encoded)))
				b = append(b, rec.encoded...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b) // The client may have closed the connection.
			return
		}
		s.mu.Unlock()
		if intercept != nil && intercept(w, r) {
			return
		}
		select {
		case <-deadline:
			ms = 0
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEpoch(w)
	t := s.topic(q.Get("Topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	type item struct {
		Key    string
		Value  []byte
		Offset int
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int
	}{HasMore: len(keys) > s.PageSize, End: len(t.records)}
	for _, k := range keys[:min(len(keys), s.PageSize)] {
		page.Items = append(page.Items, item{k, t.records[t.newest[k]].value, t.newest[k]})
	}
	writeJSON(w, page)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // The client may have closed the connection.
}
