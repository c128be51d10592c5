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

// Role is the purpose of a listed VM.
type Role int

// The roles of VMs.
const (
	// RoleEntry is a VM that runs a daemon.
	RoleEntry Role = iota
	// RoleBackend is a backend server.
	RoleBackend
)

// State is the state of a VM according to the platform.
type State int

// The states of VMs.
const (
	// StateLive means that the VM runs.
	StateLive State = iota
	// StateLeaving means that the VM is about to be removed.
	StateLeaving
)

// VM is an entry of the VM list, which lags behind the actual state of the VMs.
type VM struct {
	// Address is the peer address of an entry VM, or where a backend server listens.
	Address netip.AddrPort `json:"address"`
	Role    Role           `json:"role"`
	State   State          `json:"state"`
}

// Lister reads the VM list. A tag identifies a version of the list. If the version is still the one of the given
// tag, unchanged is true and no VMs are returned.
type Lister interface {
	List(ctx context.Context, tag string) (vms []VM, newTag string, unchanged bool, err error)
}

// HTTPLister reads the VM list over HTTP.
type HTTPLister struct {
	base   *url.URL
	client *http.Client
}

// NewHTTPLister returns a lister that reads the VM list below a base URL.
func NewHTTPLister(base *url.URL, client *http.Client) *HTTPLister {
	return &HTTPLister{base: base, client: client}
}

// List implements Lister.
func (l *HTTPLister) List(ctx context.Context, tag string) ([]VM, string, bool, error) {
	var body struct {
		Tag string `json:"tag"`
		VMs []VM   `json:"machines"`
	}
	u := l.base.JoinPath("machines")
	u.RawQuery = url.Values{"tag": {tag}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, "", false, err
	}
	if err := follower.Fetch(l.client, req, &body); err != nil {
		return nil, "", false, err
	}
	return body.VMs, body.Tag, tag != "" && body.Tag == tag, nil
}

const (
	// pollInterval is the time between reads of the list.
	pollInterval = 2 * time.Second
	// readTimeout bounds one read of the list.
	readTimeout = 3 * time.Second
)

// Watcher polls the VM list and keeps its latest version.
type Watcher struct {
	lister         Lister
	clock          clockwork.Clock
	logger         *zap.Logger
	mu             sync.Mutex
	tag            string
	list           map[netip.AddrPort]VM
	readAt         time.Time
	lastReadFailed bool
	onChange       func()
}

// New returns a Watcher that calls onChange, without locks, after each read that changed the list.
func New(lister Lister, clock clockwork.Clock, logger *zap.Logger, onChange func()) *Watcher {
	return &Watcher{lister: lister, clock: clock, logger: logger, onChange: onChange, list: map[netip.AddrPort]VM{}}
}

// Run polls the list until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.read(ctx)
		select {
		case <-ctx.Done():
		case <-w.clock.After(pollInterval):
		}
	}
}

func (w *Watcher) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := w.clock.Now()
	vms, tag, unchanged, err := w.lister.List(ctx, w.tag)
	w.mu.Lock()
	if err != nil {
		if !w.lastReadFailed && ctx.Err() == nil {
			w.logger.Warn("reading the VM list failed", zap.Error(err))
		}
		w.lastReadFailed = true
		w.mu.Unlock()
		return
	}
	w.lastReadFailed, w.readAt, w.tag = false, startedAt, tag
	if !unchanged {
		w.list = make(map[netip.AddrPort]VM, len(vms))
		for _, vm := range vms {
			w.list[vm.Address] = vm
		}
	}
	w.mu.Unlock()
	if !unchanged {
		w.onChange()
	}
}

// EntryVMs returns the states of the listed entry VMs by peer address, and when the last successful read of the list
// began; zero if there was none.
func (w *Watcher) EntryVMs() (map[netip.AddrPort]State, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	es := map[netip.AddrPort]State{}
	for a, vm := range w.list {
		if vm.Role == RoleEntry {
			es[a] = vm.State
		}
	}
	return es, w.readAt
}

// Leaving reports whether the VM at an address is listed as leaving.
func (w *Watcher) Leaving(a netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	vm, ok := w.list[a]
	return ok && vm.State == StateLeaving
}
