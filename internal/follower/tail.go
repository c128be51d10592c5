package follower

// maxTailEntries and maxTailBytes bound the number and total size of the records that a VM keeps per stream for
// relaying.
const (
	maxTailEntries = 1024
	maxTailBytes   = 4 << 20
)

// tail keeps the latest consecutive records of a stream for peers that cannot read the log.
type tail struct {
	entries []Entry
	bytes   int
}

// add keeps an entry and removes the oldest ones beyond the bounds.
func (t *tail) add(e Entry) {
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	for len(t.entries) > maxTailEntries || t.bytes > maxTailBytes {
		t.bytes -= len(t.entries[0].Data)
		t.entries = t.entries[1:]
	}
}

// from returns the kept records from an offset on, and false if the record at that offset is not kept.
func (t *tail) from(offset uint64) ([]Entry, bool) {
	for i, e := range t.entries {
		if e.Offset == offset {
			return t.entries[i:], true
		}
		if e.Offset > offset {
			break
		}
	}
	return nil, false
}

func (t *tail) reset() { *t = tail{} }
