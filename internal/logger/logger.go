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
	// queueLines is how many lines may wait to be written; more are dropped and counted.
	queueLines = 512
	// linesPerSecond and burstLines bound what one process logs in the long run: a few lines for each
	// request that one small VM can serve.
	linesPerSecond = 150
	burstLines     = 600
	// flushWait bounds the wait for the last lines when the process ends.
	flushWait = 200 * time.Millisecond
)

// New returns a logger of the lines at or above a level, and a function that writes the last ones.
func New(level string, out io.Writer) (*zap.Logger, func(), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "log level")
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

// Err is the field of an error, without the stack that it may carry.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// queue writes lines in order from a goroutine of its own.
type queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}

	mu     sync.Mutex
	tokens float64
	at     time.Time
	closed bool
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, lines: make(chan []byte, queueLines), ended: make(chan struct{}), tokens: burstLines, at: time.Now()}
	go q.run()
	return q
}

// Write queues a line, or drops it if too many wait or the bound on volume is reached.
func (q *queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(burstLines, q.tokens+linesPerSecond*now.Sub(q.at).Seconds())
	q.at = now
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

// Sync does nothing: lines are written as soon as the output takes them.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.ended)
	for l := range q.lines {
		// There is nowhere to report an output that fails.
		_, _ = q.out.Write(l)
	}
}

// close writes the lines that wait, for a moment.
func (q *queue) close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.ended:
	case <-time.After(flushWait):
	}
}
