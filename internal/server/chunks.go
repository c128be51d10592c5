package server

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
)

// chunkSize is how much of a long answer goes in one message, in bytes.
const chunkSize = 64 << 10

// chunks reads the rest of a long answer from a peer.
type chunks struct {
	stream *messenger.Stream
	stop   func() bool
	left   []byte
	ended  bool
}

var errCut = errors.New("the answer was cut")

// Read returns what the peer sends; it fails if the peer says that the answer was cut.
func (c *chunks) Read(p []byte) (int, error) {
	for len(c.left) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var m wire.Chunk
		if err := c.stream.Read(&m); err != nil {
			return 0, err
		}
		if m.GetCut() {
			return 0, errCut
		}
		c.left, c.ended = m.GetData(), m.GetLast()
	}
	n := copy(p, c.left)
	c.left = c.left[n:]
	return n, nil
}

// Close ends the call, or keeps its stream if all was read.
func (c *chunks) Close() error {
	if c.stop() && c.ended {
		c.stream.Done()
		return nil
	}
	c.stream.Close()
	return nil
}

// forward sends the rest of a long answer to a peer.
func forward(rest io.ReadCloser, send func(proto.Message) error) error {
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
