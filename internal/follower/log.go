package follower

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// Names of the log's streams.
const (
	// StreamConfiguration holds the configuration changes of operators, and snapshots of the teams' subtrees.
	StreamConfiguration = "configuration"
	// StreamFleet holds the changes and snapshots of the fleet map.
	StreamFleet = "fleet"
)

// Entry is a record of the log with its offset.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the result of one read of a stream.
type Batch struct {
	// First is the offset of the oldest record that the log keeps.
	First uint64 `json:"first"`
	// Next is the offset after the newest record.
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream and returns its offset. If it returns an error,
	// the record may have been added nevertheless.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from an offset on. If there are none yet, it waits up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// maxResponseBytes is the maximum number of bytes that are read of a response from the platform.
const maxResponseBytes = 64 << 20

// HTTPLog is the log service, accessed over HTTP.
type HTTPLog struct {
	base   *url.URL
	client *http.Client
}

// NewHTTPLog returns a client of the log service at a base URL.
func NewHTTPLog(base *url.URL, client *http.Client) *HTTPLog {
	return &HTTPLog{base: base, client: client}
}

// Append adds a record with a POST request.
func (l *HTTPLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var a struct {
		Offset uint64 `json:"offset"`
	}
	u := l.base.JoinPath("streams", stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	return a.Offset, errors.Wrapf(Fetch(l.client, req, &a), "append to stream %s", stream)
}

// Read returns records with a GET request, which the log service answers after up to wait.
func (l *HTTPLog) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	var b Batch
	u := l.base.JoinPath("streams", stream)
	u.RawQuery = url.Values{"from": {strconv.FormatUint(from, 10)}, "wait": {wait.String()}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return b, err
	}
	err = Fetch(l.client, req, &b)
	return b, errors.Wrapf(err, "read stream %s", stream)
}

// Fetch sends a request to the platform and decodes the JSON response into to. A status other than 200 is an error.
func Fetch(client *http.Client, req *http.Request, to any) error {
	trace := &httptrace.ClientTrace{Got1xxResponse: forwarder.CheckInterim}
	rep, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return err
	}
	defer func() { _ = rep.Body.Close() }()
	if err := forwarder.CheckHead(rep); err != nil {
		_ = rep.Body.Close()
		client.CloseIdleConnections()
		return err
	}
	body, err := io.ReadAll(io.LimitReader(rep.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if rep.StatusCode != http.StatusOK {
		return errors.Newf("platform returned status %s", rep.Status)
	}
	return json.Unmarshal(body, to)
}
