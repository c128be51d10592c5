package watcher

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/jacinthproxy/jacinthproxy/internal/follower"
)

//go:generate go tool enumer -type=Role,State -trimprefix=Role,State -transform=title-lower -text

// Role is what a VM of the list is for.
type Role int

// The roles of VMs.
const (
	// RoleEntry is a VM that runs a daemon.
	RoleEntry Role = iota
	// RoleBackend is a backend server.
	RoleBackend
)

// State is how the platform describes a VM.
type State int

// The states of VMs.
const (
	// StateLive means that the VM runs.
	StateLive State = iota
	// StateLeaving means that the VM will go away.
	StateLeaving
)

// VM is an entry of the VM list. The list lags.
type VM struct {
	// Address is the peer address of an entry VM, or where a backend server listens.
	Address netip.AddrPort `json:"address"`
	Role    Role           `json:"role"`
	State   State          `json:"state"`
}

// Lister reads the VM list. A tag names a version of the list; if the list still
// has the given one, unchanged is true and no machines are returned.
type Lister interface {
	List(ctx context.Context, tag string) (ms []VM, newTag string, unchanged bool, err error)
}

// HTTPLister reads the VM list over HTTP.
type HTTPLister struct {
	base   *url.URL
	client *http.Client
}

// NewHTTPLister returns the VM list at a base URL.
func NewHTTPLister(base *url.URL, client *http.Client) *HTTPLister {
	return &HTTPLister{base: base, client: client}
}

// List gets the list.
func (l *HTTPLister) List(ctx context.Context, tag string) ([]VM, string, bool, error) {
	var answer struct {
		Tag      string `json:"tag"`
		Machines []VM   `json:"machines"`
	}
	u := l.base.JoinPath("machines")
	u.RawQuery = url.Values{"tag": {tag}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, "", false, err
	}
	if err := follower.Fetch(l.client, req, &answer); err != nil {
		return nil, "", false, err
	}
	return answer.Machines, answer.Tag, tag != "" && answer.Tag == tag, nil
}

const (
	// period is how often the list is read.
	period = 2 * time.Second
	// timeout bounds a read of the list.
	timeout = 3 * time.Second
)

// Watcher keeps the latest VM list.
type Watcher struct {
	lister Lister
	clock  clockwork.Clock
	logger *zap.Logger
	mu     sync.Mutex
	tag    string
	list   map[netip.AddrPort]VM
	readAt time.Time
	failed bool
	change func()
}

// New returns a watcher that calls change after each read that changed the list.
func New(lister Lister, clock clockwork.Clock, logger *zap.Logger, change func()) *Watcher {
	return &Watcher{lister: lister, clock: clock, logger: logger, change: change, list: map[netip.AddrPort]VM{}}
}

// Run reads the list from time to time until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.read(ctx)
		select {
		case <-ctx.Done():
		case <-w.clock.After(period):
		}
	}
}

func (w *Watcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := w.clock.Now()
	ms, tag, unchanged, err := w.lister.List(ctx, w.tag)
	w.mu.Lock()
	if err != nil {
		if !w.failed && ctx.Err() == nil {
			w.logger.Warn("VM list cannot be read", zap.Error(err))
		}
		w.failed = true
		w.mu.Unlock()
		return
	}
	w.failed, w.readAt, w.tag = false, began, tag
	if !unchanged {
		w.list = make(map[netip.AddrPort]VM, len(ms))
		for _, m := range ms {
			w.list[m.Address] = m
		}
	}
	w.mu.Unlock()
	if !unchanged {
		w.change()
	}
}

// EntryVMs returns the addresses of the listed entry VMs and when the list was read; zero means never.
func (w *Watcher) EntryVMs() (map[netip.AddrPort]State, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	es := map[netip.AddrPort]State{}
	for a, m := range w.list {
		if m.Role == RoleEntry {
			es[a] = m.State
		}
	}
	return es, w.readAt
}

// Leaving reports whether the list says that a backend server is going away.
func (w *Watcher) Leaving(a netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.list[a]
	return ok && m.State == StateLeaving
}
