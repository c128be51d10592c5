package messenger

import (
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/internal/messenger/wire"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// ToVM returns the message for a VM.
func ToVM(v placer.VM) *wire.VM {
	return &wire.VM{
		Address: toAddress(v.Address), Domain: v.Domain, Incarnation: v.Incarnation, Callers: toAddress(v.CallerAddress),
	}
}

func toAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary() // It never fails.
	return b
}

// FromVM reads a VM from its message.
func FromVM(m *wire.VM) (placer.VM, error) {
	v := placer.VM{Domain: m.GetDomain(), Incarnation: m.GetIncarnation()}
	if err := v.Address.UnmarshalBinary(m.GetAddress()); err != nil {
		return v, errors.Wrap(err, "address of a VM")
	}
	if err := v.CallerAddress.UnmarshalBinary(m.GetCallers()); err != nil {
		return v, errors.Wrap(err, "callers' address of a VM")
	}
	if !v.Address.IsValid() {
		return v, errors.New("a VM has no address")
	}
	return v, nil
}

// ToHeaders returns the message for HTTP headers.
func ToHeaders(h http.Header) []*wire.Header {
	hs := make([]*wire.Header, 0, len(h))
	for n, vs := range h {
		hs = append(hs, &wire.Header{Name: n, Values: vs})
	}
	return hs
}

// FromHeaders reads HTTP headers from their message.
func FromHeaders(hs []*wire.Header) http.Header {
	h := make(http.Header, len(hs))
	for _, e := range hs {
		h[e.GetName()] = e.GetValues()
	}
	return h
}
