package messenger

import (
	"bufio"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// write sends a message as one length-delimited frame, in a single call of Write.
func write(w io.Writer, m proto.Message) error {
	b := protowire.AppendVarint(nil, uint64(proto.Size(m)))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// read receives one frame of at most maxFrameBytes bytes and decodes it into m.
func read(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, m)
}
