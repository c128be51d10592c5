package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

type loadCommand struct {
	Entry   []string      `required:"" help:"Addresses to ask which addresses to use."`
	Path    string        `required:"" help:"Path of the requests."`
	Method  string        `default:"GET" help:"Method of the requests."`
	Key     string        `help:"Key of the client account."`
	Rate    float64       `default:"10" help:"Requests a second, evenly spaced."`
	For     time.Duration `default:"1s" help:"How long to send."`
	Count   int           `help:"Send this many requests and no more."`
	Once    bool          `help:"Give each request an idempotency key, and send it again through another VM when its outcome is not known."`
	Job     string        `help:"Prefix of the names by which backend servers count runs."`
	Body    string        `help:"Body of the requests."`
	Direct  bool          `help:"Send straight to the entries, without asking for addresses."`
	Timeout time.Duration `default:"5s" help:"Time for one request."`
}

// summary counts the requests by outcome; latencies are those of answered requests, in milliseconds.
type summary struct {
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Outcomes map[string]int `json:"outcomes"`
	Errors   map[string]int `json:"errors,omitempty"`
	// Wrong counts responses with status 200 that do not name the job of their request: those that are
	// truncated or belong to another request. Responses of a requested size are not checked.
	Wrong      int     `json:"wrong"`
	P50        float64 `json:"p50Ms"`
	P99        float64 `json:"p99Ms"`
	MaxLatency float64 `json:"maxMs"`
}

type load struct {
	loadCommand
	client        *http.Client
	mu            sync.Mutex
	addrs         []string
	addrsExpireAt time.Time
	sum           summary
	hist          *hdrhistogram.Histogram
}

// maxLatency is the largest latency that the histogram can hold.
const maxLatency = 5 * time.Minute

func (c loadCommand) Run() error {
	l := &load{loadCommand: c, hist: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	l.sum.Outcomes, l.sum.Errors = map[string]int{}, map[string]int{}
	l.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	n := c.Count
	if n == 0 {
		n = int(c.Rate * c.For.Seconds())
	}
	var wg sync.WaitGroup
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))))
		wg.Go(func() { l.sendWithRetries(i) })
	}
	wg.Wait()
	l.sum.P50 = float64(l.hist.ValueAtQuantile(50)) / 1000
	l.sum.P99 = float64(l.hist.ValueAtQuantile(99)) / 1000
	l.sum.MaxLatency = float64(l.hist.Max()) / 1000
	return json.NewEncoder(os.Stdout).Encode(l.sum)
}

// addresses returns the addresses to send requests to. It queries an entry again when their TTL has passed and
// keeps the old addresses while no entry responds.
func (l *load) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Direct {
		return l.Entry
	}
	if time.Now().Before(l.addrsExpireAt) {
		return l.addrs
	}
	for _, i := range rand.Perm(len(l.Entry)) {
		addrs, ttl, err := l.queryAddresses(l.Entry[i])
		if err == nil && len(addrs) > 0 {
			l.addrs, l.addrsExpireAt = addrs, time.Now().Add(ttl)
			break
		}
	}
	return l.addrs
}

func (l *load) queryAddresses(entry string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/-/addresses", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses  []string `json:"addresses"`
		TTLSeconds int      `json:"ttlSeconds"`
	}
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a.Addresses, time.Duration(a.TTLSeconds) * time.Second, err
}

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 6

// sendWithRetries sends request i and retries it at the next address, until it is answered or rejected for good,
// its outcome is unknown and send allows no retry, or all attempts are used up.
func (l *load) sendWithRetries(i int) {
	began := time.Now()
	addrs := l.addresses()
	if len(addrs) == 0 {
		l.recordOutcome("no-address", nil, began)
		return
	}
	start := rand.IntN(len(addrs))
	attempt := 1
	for n := range maxAttempts {
		outcome, retry, err := l.send(addrs[(start+n)%len(addrs)], i, attempt)
		if !strings.HasPrefix(outcome, "not-run") {
			attempt++
		}
		if !retry || n == maxAttempts-1 {
			l.recordOutcome(outcome, err, began)
			return
		}
		time.Sleep(time.Duration(n) * 50 * time.Millisecond)
	}
}

func (l *load) recordOutcome(outcome string, err error, began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Sent++
	l.sum.Outcomes[outcome]++
	if err != nil {
		l.sum.Errors[err.Error()]++
	}
	if strings.HasPrefix(outcome, "answered") {
		l.sum.Answered++
		_ = l.hist.RecordValue(time.Since(began).Microseconds())
	}
}

func (l *load) send(address string, i, attempt int) (outcome string, retry bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, l.Method, "http://"+address+l.Path, strings.NewReader(l.Body))
	if err != nil {
		return "bad-request", false, err
	}
	job := l.Job + strconv.Itoa(i)
	req.Header.Set("X-Job", job)
	if l.Key != "" {
		req.Header.Set("Authorization", "Bearer "+l.Key)
	}
	if l.Once {
		req.Header.Set("Idempotency-Key", job)
		req.Header.Set("Idempotency-Attempt", strconv.Itoa(attempt))
	}
	resp, err := l.client.Do(req)
	if err != nil {
		// If the dial failed, nothing was sent, so a retry is safe.
		var op *net.OpError
		refused := errors.As(err, &op) && op.Op == "dial"
		return "lost", refused || l.Once || l.Method == http.MethodGet, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut", l.Once || l.Method == http.MethodGet, nil
	}
	return l.classify(resp, string(body), job)
}

func (l *load) classify(resp *http.Response, body, job string) (string, bool, error) {
	outcome, reason := resp.Header.Get("X-Outcome"), resp.Header.Get("X-Reason")
	if l.Direct && outcome == "" {
		outcome = "answered"
	}
	switch outcome {
	case "answered":
		if resp.StatusCode == http.StatusOK && !strings.Contains(l.Path, "size=") && !strings.Contains(body, " "+job+" ") {
			l.mu.Lock()
			l.sum.Wrong++
			l.mu.Unlock()
		}
		return fmt.Sprintf("answered %d", resp.StatusCode), false, nil
	case "not-run":
		return "not-run " + reason, reason == "no-contact" || reason == "no-owner" || reason == "records", nil
	}
	return fmt.Sprintf("%s %s", outcome, reason), l.Once && reason != "repeated", nil
}
