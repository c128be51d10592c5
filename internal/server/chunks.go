package server

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
)

// chunkSize is the size in bytes of the buffer that a streamed answer is read into, and so the maximum
// data of one Chunk message.
const chunkSize = 64 << 10

// chunkReader reads the rest of a streamed answer from a peer.
type chunkReader struct {
	stream *messenger.Stream
	stop   func() bool
	unread []byte
	ended  bool
}

var errTruncated = errors.New("peer could not read the rest of the answer")

// Read reads the data that the peer sends. It returns errTruncated if the peer reports that the answer is incomplete.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var m wire.Chunk
		if err := c.stream.Read(&m); err != nil {
			return 0, err
		}
		if m.GetCut() {
			return 0, errTruncated
		}
		c.unread, c.ended = m.GetData(), m.GetLast()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close releases the stream for reuse if the whole answer was read, and otherwise closes it, which aborts
// the call.
func (c *chunkReader) Close() error {
	if c.stop() && c.ended {
		c.stream.Done()
		return nil
	}
	c.stream.Close()
	return nil
}

// sendChunks streams the rest of an answer to a peer in chunks and closes rest. If reading rest fails, it sends a
// chunk that marks the answer as cut.
func sendChunks(rest io.ReadCloser, send func(proto.Message) error) error {
	defer func() { _ = rest.Close() }()
	buf := make([]byte, chunkSize)
	for {
		n, err := rest.Read(buf)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return send(&wire.Chunk{Cut: true})
		}
		if err := send(&wire.Chunk{Data: buf[:n], Last: end}); err != nil || end {
			return err
		}
	}
}
