package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines is how many lines may be queued for writing; further lines are dropped and counted.
	maxQueuedLines = 512
	// linesPerSecond and burstLines are the rate and size of the token bucket that limits what one process logs:
	// a few lines for each request that one small VM can serve.
	linesPerSecond = 150
	burstLines     = 600
	// flushTimeout bounds the wait for queued lines to be written when the process exits.
	flushTimeout = 200 * time.Millisecond
)

// New returns a logger that writes lines at or above a level to out, and a function to call before the process exits:
// it waits up to flushTimeout for queued lines to be written, and later lines are dropped.
func New(level string, out io.Writer) (*zap.Logger, func(), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "invalid log level")
	}
	ec := zap.NewProductionEncoderConfig()
	ec.TimeKey, ec.MessageKey = "at", "event"
	ec.EncodeDuration = zapcore.StringDurationEncoder
	ec.EncodeTime = func(t time.Time, e zapcore.PrimitiveArrayEncoder) {
		e.AppendString(t.UTC().Format("2006-01-02T15:04:05.000000Z"))
	}
	q := newQueue(out)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(ec), q, l)
	return zap.New(core), q.close, nil
}

// Err returns the field for an error, without the stack trace that it may carry; nil adds no field.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// queue is a zapcore.WriteSyncer that writes lines in order from a separate goroutine.
type queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	closed     bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: burstLines, refilledAt: time.Now()}
	go q.run()
	return q
}

// Write queues a line, or drops it if the queue is full or the rate limit is exceeded. It never fails.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(burstLines, q.tokens+linesPerSecond*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	if q.closed || q.tokens < 1 {
		q.dropped.Add(1)
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	if n := q.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "at=%s level=warn event=\"lines dropped\" lines=%d\n", now.UTC().Format(time.RFC3339Nano), n)
	}
	select {
	case q.lines <- line:
		q.tokens--
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing, because queued lines are written without delay.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.done)
	for l := range q.lines {
		// There is nowhere to report a write error of the log itself.
		_, _ = q.out.Write(l)
	}
}

// close stops accepting lines and waits up to flushTimeout until the queued ones are written.
func (q *queue) close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
