package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// newServedInstance starts an instance whose connections are served by a function, and closed after it.
func newServedInstance(t *testing.T, serve func(c *net.TCPConn)) netip.AddrPort {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// answerEarly writes an answer as soon as the first bytes of a request have come.
func answerEarly(c *net.TCPConn, answer string) {
	if _, err := c.Read(make([]byte, 1024)); err == nil {
		_, _ = io.WriteString(c, answer)
	}
}

// newEarlyInstance starts an instance that answers early and then ends the connection.
func newEarlyInstance(t *testing.T, answer string, end func(c *net.TCPConn)) netip.AddrPort {
	return newServedInstance(t, func(c *net.TCPConn) {
		answerEarly(c, answer)
		end(c)
	})
}

// Ways to end a connection.

func resetAtOnce(c *net.TCPConn) { _ = c.SetLinger(0) }

func resetLater(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	_ = c.SetLinger(0)
}

// endInOrder reads on after its end, so that no reset follows.
func endInOrder(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// endAndReset resets the connection behind its end.
func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	_ = c.SetLinger(0)
}

const headWithoutLength = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nServer-Signature: sig-2\r\n\r\n"

// uploads returns requests whose bodies take more than one write.
func uploads() map[string]func() forwarder.Request {
	us := map[string]func() forwarder.Request{}
	for _, size := range []int{6 << 10, 64 << 10, 256 << 10, 4 << 20} {
		for _, chunked := range []bool{false, true} {
			for _, streamed := range []bool{false, true} {
				us[fmt.Sprintf("%d bytes, chunked %v, streamed %v", size, chunked, streamed)] = func() forwarder.Request {
					r, body := request("2"), strings.Repeat("b", size)
					r.Body, r.Length, r.Chunked = []byte(body), int64(size), chunked
					if streamed {
						r.Body, r.BodyRest = []byte(body[:1000]), strings.NewReader(body[1000:])
					}
					return r
				}
			}
		}
	}
	return us
}

// answerSizes are the lengths of the bodies of answers, of which the last is passed on as it comes.
var answerSizes = []int{0, 5, 20 << 10, 400 << 10}

// readWhole reads the rest of a response.
func readWhole(resp forwarder.Response) (body string, err error) {
	b := resp.Body
	if resp.BodyRest != nil {
		var rest []byte
		rest, err = io.ReadAll(resp.BodyRest)
		b = append(b, rest...)
	}
	_ = resp.Close()
	return string(b), err
}

func TestAnswerThatIsResetDuringTheUploadIsNotWhole(t *testing.T) {
	var whole []string
	forms := 0
	for name, upload := range uploads() {
		for _, size := range answerSizes {
			for when, end := range map[string]func(*net.TCPConn){"at once": resetAtOnce, "later": resetLater} {
				forms++
				a := newEarlyInstance(t, headWithoutLength+strings.Repeat("x", size), end)
				for range 5 {
					resp, err := newForwarder().Send(t.Context(), a, upload(), maxIdle)
					if err == nil {
						_, err = readWhole(resp)
					}
					if err == nil {
						whole = append(whole, fmt.Sprintf("%s, answer of %d bytes, reset %s", name, size, when))
						break
					}
				}
			}
		}
	}
	require.Empty(t, whole, "%d of %d forms", len(whole), forms)
}

func TestAnswerThatIsResetOnAKeptConnectionIsNotWhole(t *testing.T) {
	a := newServedInstance(t, func(c *net.TCPConn) {
		answerEarly(c, answerTo("1", "first"))
		answerEarly(c, headWithoutLength+"part")
		resetAtOnce(c)
	})
	whole, forms := 0, 0
	for _, upload := range uploads() {
		for range 5 {
			f := newForwarder()
			_, err := sendTo(t, f, a, "1")
			require.NoError(t, err)
			resp, err := f.Send(t.Context(), a, upload(), maxIdle)
			if err == nil {
				_, err = readWhole(resp)
			}
			if resp.Connection.Carried == 0 {
				continue // The kept connection was idle for too long.
			}
			forms++
			if err == nil {
				whole++
			}
		}
	}
	require.Zero(t, whole, "of %d", forms)
}

func TestAnswerThatEndsInOrderDuringTheUploadIsWhole(t *testing.T) {
	for name, upload := range uploads() {
		for _, size := range answerSizes {
			a := newEarlyInstance(t, headWithoutLength+strings.Repeat("x", size), endInOrder)
			resp, err := newForwarder().Send(t.Context(), a, upload(), maxIdle)
			require.NoError(t, err, "%s, answer of %d bytes", name, size)
			body, err := readWhole(resp)
			require.NoError(t, err, "%s, answer of %d bytes", name, size)
			require.Len(t, body, size)
		}
	}
}

// A reset behind the end hides whether the end came first: the answer is refused, or it is whole.
func TestAnswerThatIsResetBehindItsEndIsNotCut(t *testing.T) {
	for name, upload := range uploads() {
		for _, size := range answerSizes {
			a := newEarlyInstance(t, headWithoutLength+strings.Repeat("x", size), endAndReset)
			resp, err := newForwarder().Send(t.Context(), a, upload(), maxIdle)
			if err != nil {
				continue
			}
			if body, err := readWhole(resp); err == nil {
				require.Len(t, body, size, name)
			}
		}
	}
}

// An answer that ends before the caller has sent the whole upload must not wait for the rest of it.
func TestAnswerThatEndsInOrderDoesNotWaitForTheUpload(t *testing.T) {
	a := newEarlyInstance(t, headWithoutLength+"whole", endInOrder)
	caller, sending := io.Pipe()
	defer func() { _ = sending.Close() }()
	r := request("2")
	r.BodyRest, r.Length = caller, 1<<20
	go func() { _, _ = sending.Write(make([]byte, 100<<10)) }()
	resp, err := newForwarder().Send(t.Context(), a, r, maxIdle)
	require.NoError(t, err)
	require.Equal(t, "whole", string(resp.Body))
}

// endlessBody is an upload without an end, of which each read returns a full buffer.
type endlessBody struct{ reads atomic.Int64 }

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return len(p), nil
}

// The reset is met by a write while nobody reads the answer.
func TestStreamedAnswerWhoseResetIsMetByAWriteIsNotWhole(t *testing.T) {
	a := newEarlyInstance(t, headWithoutLength+strings.Repeat("x", 300<<10), resetLater)
	r, upload := request("2"), &endlessBody{}
	r.BodyRest, r.Chunked = upload, true
	resp, err := newForwarder().Send(t.Context(), a, r, maxIdle)
	if err == nil {
		require.Eventually(t, func() bool {
			n := upload.reads.Load()
			time.Sleep(50 * time.Millisecond)
			return n == upload.reads.Load()
		}, time.Minute, time.Millisecond, "the upload is read on")
		_, err = readWhole(resp)
	}
	require.Error(t, err)
}
