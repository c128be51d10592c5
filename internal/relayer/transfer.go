package relayer

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jacinthproxy/jacinthproxy/internal/logger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger"
	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/internal/router"
	"github.com/jacinthproxy/jacinthproxy/internal/tracker"
)

// content is an encoded change of the configuration, or an encoded whole configuration.
type content struct {
	// base is the version that the content changes; zero if it holds a whole configuration.
	base, version int64
	hash          uint64
	data          []byte
}

// encodeContent encodes a change as compressed JSON.
func encodeContent(c router.Change) (content, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err == nil {
		err = json.NewEncoder(w).Encode(c)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return content{}, errors.Wrap(err, "encode configuration")
	}
	return content{c.Base, c.Version, xxhash.Sum64(b.Bytes()), b.Bytes()}, nil
}

// decodeContent is the inverse of encodeContent.
func decodeContent(data []byte) (router.Change, error) {
	var c router.Change
	r := flate.NewReader(bytes.NewReader(data))
	err := json.NewDecoder(io.LimitReader(r, maxConfigurationBytes)).Decode(&c)
	return c, errors.Wrap(err, "decode configuration")
}

// transfers passes configurations on between VMs, as changes between versions and in parts: neither the size of a
// configuration nor the speed of a link decides whether a transfer ends.
type transfers struct {
	// pace keeps the parts that this VM sends to a share of its link.
	pace *rate.Limiter

	mu sync.Mutex
	// changes are the latest changes that came into force here, in order of version.
	changes []content
	// wholes are the latest whole configurations that were asked for here.
	wholes []content

	// fetching holds an element while this VM fetches, which guards partial and size.
	fetching chan struct{}
	// partial is the unfinished transfer to this VM, and size its length in bytes.
	partial content
	size    uint64
	// wake holds a peer that has a newer configuration.
	wake chan netip.AddrPort
}

// newTransfers returns the transfers of a VM with a link of the given speed in bit/s; zero if unknown.
func newTransfers(linkSpeed float64) *transfers {
	limit := rate.Inf
	if linkSpeed > 0 {
		limit = rate.Limit(transferLinkShare * linkSpeed / 8)
	}
	return &transfers{pace: rate.NewLimiter(limit, 4*partBytes), fetching: make(chan struct{}, 1), wake: make(chan netip.AddrPort, 1)}
}

// applyTable puts a table in force, and keeps the change for VMs that have the version before. Encoded is the change or
// the whole configuration as a peer sent it; its data is nil if the table was read from the store.
func (r *Relayer) applyTable(t *router.Table, encoded content) {
	before, _ := r.Tracker.Table()
	if before != nil && before.Version >= t.Version {
		r.Tracker.ApplyTable(t) // It logs an older one.
		return
	}
	if encoded.data == nil && before != nil {
		if c, ok := t.ChangeFrom(before); ok {
			var err error
			if encoded, err = encodeContent(c); err != nil {
				r.Logger.Error("cannot encode the change of the configuration", logger.Err(err))
			}
		}
	}
	// Peers ask for the change as soon as the table is in force.
	if encoded.data != nil {
		r.transfers.add(encoded)
	}
	r.Tracker.ApplyTable(t)
}

// add keeps a content for peers, and drops the oldest ones.
func (t *transfers) add(c content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.base == 0 {
		t.addWhole(c)
		return
	}
	t.changes = append(t.changes, c)
	size := 0
	for i := len(t.changes) - 1; i >= 0; i-- {
		if size += len(t.changes[i].data); size > maxChangesBytes || len(t.changes)-i > maxChanges {
			t.changes = slices.Clone(t.changes[i+1:])
			return
		}
	}
}

// addWhole keeps a whole configuration. t.mu must be held.
func (t *transfers) addWhole(c content) {
	t.wholes = append(t.wholes, c)
	t.wholes = slices.Clone(t.wholes[max(0, len(t.wholes)-maxWholes):])
}

// next returns what a VM with a version needs next to reach the table's version: the change from its version, or a whole
// configuration if that change is not known or too many follow.
func (t *transfers) next(have int64, table *router.Table) (content, error) {
	t.mu.Lock()
	defer t.mu.Unlock() // Held while a configuration is encoded, so that it is not encoded for each of many VMs.
	if c, ok := t.step(have, table.Version); ok {
		return c, nil
	}
	if i := slices.IndexFunc(t.wholes, func(c content) bool { return c.version == table.Version }); i >= 0 {
		return t.wholes[i], nil
	}
	whole, err := encodeContent(table.Whole())
	if err == nil {
		t.addWhole(whole)
	}
	return whole, err
}

// step returns the change from a version if at most maxSteps changes lead from it to another version. t.mu must be held.
func (t *transfers) step(from, to int64) (first content, ok bool) {
	steps, version := 0, from
	for _, c := range t.changes {
		if c.base != version || version == to || from == 0 {
			continue
		}
		if steps++; steps == 1 {
			first = c
		}
		version = c.version
	}
	return first, steps > 0 && steps <= maxSteps && version == to
}

// find returns the content with a hash, if it is still known and suits a VM with a version.
func (t *transfers) find(hash uint64, have int64) (content, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cs := range [][]content{t.changes, t.wholes} {
		for _, c := range cs {
			if c.hash == hash && (c.base == have || c.base == 0 && c.version > have) {
				return c, true
			}
		}
	}
	return content{}, false
}

// handleFetch returns the next part of what a peer lacks of the configuration. It waits until the link has room, and
// refuses the request if that takes too long.
func (r *Relayer) handleFetch(ctx context.Context, m *wire.FetchConfiguration) (*wire.ConfigurationPart, error) {
	t := r.transfers
	table, _ := r.Tracker.Table()
	if table == nil {
		return nil, errors.New("this daemon knows no configuration")
	}
	if m.GetHave() >= table.Version {
		return &wire.ConfigurationPart{Version: table.Version}, nil
	}
	c, ok := t.find(m.GetContent(), m.GetHave())
	offset := m.GetOffset()
	if !ok {
		var err error
		if c, err = t.next(m.GetHave(), table); err != nil {
			return nil, err
		}
	}
	if c.hash != m.GetContent() || offset > uint64(len(c.data)) {
		offset = 0
	}
	data := c.data[offset:min(offset+partBytes, uint64(len(c.data)))]
	now := r.Clock.Now()
	v := t.pace.ReserveN(now, len(data))
	if d := v.DelayFrom(now); d > maxPartDelay {
		v.CancelAt(now)
		return nil, errors.New("too many transfers of the configuration are in progress")
	} else if d > 0 {
		r.sleep(ctx, d)
	}
	return &wire.ConfigurationPart{Base: c.base, Version: c.version, Content: c.hash, Size: uint64(len(c.data)), Offset: offset, Data: data}, nil
}

// wantConfiguration starts fetching the configuration from a peer that has a newer version, unless this VM already does.
func (r *Relayer) wantConfiguration(from netip.AddrPort) {
	select {
	case r.transfers.wake <- from:
	default:
	}
}

// fetchConfigurations fetches newer configurations from the peers that have them.
func (r *Relayer) fetchConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case from := <-r.transfers.wake:
			if err := r.fetchFrom(ctx, from); err != nil && ctx.Err() == nil {
				r.Logger.Info("configuration not fetched", zap.Stringer("peer", from), logger.Err(err))
				r.fetchElsewhere(ctx, err)
			}
		}
	}
}

// fetchElsewhere fetches the configuration from another VM of this domain after a fetch failed: VMs that have a new version
// pass it on, so that a leader with a slow link need not send it to all others.
func (r *Relayer) fetchElsewhere(ctx context.Context, cause error) {
	r.sleep(ctx, jittered(fetchRetryDelay))
	if !errors.Is(cause, messenger.ErrRefused) {
		return
	}
	var as []netip.AddrPort
	for _, m := range r.Tracker.Members() {
		if m.Domain == r.Self.Domain && m.Address != r.Self.Address && m.Role == tracker.RoleReady && !r.Suspected(m.Address) {
			as = append(as, m.Address)
		}
	}
	if len(as) == 0 {
		return
	}
	a := as[rand.N(len(as))]
	if err := r.fetchFrom(ctx, a); err != nil && ctx.Err() == nil {
		r.Logger.Info("configuration not fetched", zap.Stringer("peer", a), logger.Err(err))
	}
}

// fetchFrom fetches what this VM lacks of a peer's configuration, and puts it in force. What it got before an error is
// kept: the next fetch goes on from there, from any peer that has the same content.
func (r *Relayer) fetchFrom(ctx context.Context, from netip.AddrPort) error {
	t := r.transfers
	select {
	case <-ctx.Done():
		return ctx.Err()
	case t.fetching <- struct{}{}:
	}
	defer func() { <-t.fetching }()
	for ctx.Err() == nil {
		table, _ := r.Tracker.Table()
		have := int64(0)
		if table != nil {
			have = table.Version
		}
		p, err := r.fetchPart(ctx, from, &wire.FetchConfiguration{Have: have, Content: t.partial.hash, Offset: uint64(len(t.partial.data))})
		if err != nil {
			return err
		}
		if p.GetSize() == 0 {
			return nil // The peer has nothing newer.
		}
		done, err := t.addPart(p)
		if err != nil {
			return err
		}
		if !done {
			continue
		}
		c := t.partial
		t.partial = content{}
		change, err := decodeContent(c.data)
		if err != nil {
			return err
		}
		n, err := table.Apply(change)
		if err != nil {
			return errors.Wrap(err, "apply the configuration of a peer")
		}
		r.applyTable(n, c)
	}
	return ctx.Err()
}

// fetchPart asks a peer for a part of a configuration.
func (r *Relayer) fetchPart(ctx context.Context, from netip.AddrPort, m *wire.FetchConfiguration) (*wire.ConfigurationPart, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	rep, err := r.call(ctx, from, &wire.Request{Body: &wire.Request_FetchConfiguration{FetchConfiguration: m}})
	return rep.GetConfigurationPart(), err
}

// addPart adds a part to the unfinished transfer, or begins a new one with it, and reports whether the transfer is complete.
func (t *transfers) addPart(p *wire.ConfigurationPart) (done bool, err error) {
	if p.GetContent() != t.partial.hash || p.GetOffset() != uint64(len(t.partial.data)) || p.GetSize() != t.size {
		t.partial, t.size = content{base: p.GetBase(), version: p.GetVersion(), hash: p.GetContent()}, p.GetSize()
	}
	if p.GetOffset() != uint64(len(t.partial.data)) || len(p.GetData()) == 0 || p.GetSize() > maxContentBytes {
		t.partial = content{}
		return false, errors.New("the peer sent a part of a configuration that does not fit")
	}
	t.partial.data = append(t.partial.data, p.GetData()...)
	if uint64(len(t.partial.data)) < t.size {
		return false, nil
	}
	if xxhash.Sum64(t.partial.data) != t.partial.hash {
		t.partial = content{}
		return false, errors.New("the configuration from the peer has another hash")
	}
	return true, nil
}

// applyVersion applies what a peer states about the configuration that it has: it confirms the one in force here, or is
// fetched.
func (r *Relayer) applyVersion(from netip.AddrPort, b *wire.Beliefs, sent time.Time) {
	if !b.GetConfigurationKnown() {
		return
	}
	version := b.GetConfigurationVersion()
	table, _ := r.Tracker.Table()
	if version == 0 && table != nil {
		version = table.Version // A daemon without the field does not tell.
	}
	if b.GetDrainsKnown() { // Else this VM reads the drains itself once its configuration is stale.
		r.Tracker.MarkTableFresh(version, sent.Add(-time.Duration(b.GetConfigurationAgeMs())*time.Millisecond), b.GetConfigurationEnd())
	}
	if table == nil || table.Version < version {
		r.wantConfiguration(from)
	}
}
