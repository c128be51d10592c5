package server

import (
	"net/netip"
	"time"

	"github.com/jacinthproxy/jacinthproxy/internal/dispatcher"
	"github.com/jacinthproxy/jacinthproxy/internal/follower"
	"github.com/jacinthproxy/jacinthproxy/internal/operator"
	"github.com/jacinthproxy/jacinthproxy/pkg/asserter"
	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/mapper"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
	"github.com/jacinthproxy/jacinthproxy/pkg/recorder"
	"github.com/jacinthproxy/jacinthproxy/pkg/witness"
)

// Dump is a snapshot of a daemon's state, with one section for each role. It contains no client account's key.
type Dump struct {
	Self       placer.VM                `json:"self"`
	At         time.Time                `json:"at"`
	Stopping   bool                     `json:"stopping"`
	Contact    witness.Reason           `json:"contact"`
	Follower   follower.Status          `json:"follower"`
	Map        mapStatus                `json:"fleetMap"`
	Peers      []peerStatus             `json:"peers"`
	Owner      limiter.Status           `json:"bucketOwner"`
	Recorder   recorder.Status          `json:"recordOwner"`
	Accounts   map[string]accountStatus `json:"clientAccounts"`
	Groups     []dispatcher.GroupStatus `json:"groups"`
	Traffic    traffic                  `json:"peerTraffic"`
	Platform   traffic                  `json:"platformTraffic"`
	Violations map[string]int64         `json:"violations"`
	Events     []operator.Event         `json:"events"`
}

type mapStatus struct {
	Version uint64          `json:"version"`
	Members []mapper.Member `json:"members"`
}

type peerStatus struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	State   string         `json:"state"`
}

type traffic struct {
	Received int64 `json:"receivedBytes"`
	Sent     int64 `json:"sentBytes"`
}

// Dump returns a snapshot of the daemon's state. Its sections are read one after another, not atomically.
func (s *Server) Dump() Dump {
	now := s.clock.Now()
	m := s.follower.Map()
	in, out := s.messenger.Traffic()
	d := Dump{
		Self: s.self, At: now, Stopping: s.Stopping(), Contact: s.witness.Reason(now),
		Follower: s.follower.Status(), Map: mapStatus{m.Version, m.Members()},
		Owner: s.owner.Status(), Recorder: s.recorder.Status(), Accounts: s.admitter.status(),
		Groups: s.dispatcher.Status(), Traffic: traffic{in, out}, Violations: map[string]int64{},
		Events: s.events.Latest(),
	}
	if t := s.platform.Traffic; t != nil {
		d.Platform.Received, d.Platform.Sent = t.Bytes()
	}
	for _, f := range s.gossiper.States() {
		d.Peers = append(d.Peers, peerStatus{f.VM.Address, f.VM.Domain, f.Kind.String()})
	}
	for _, r := range asserter.RuleValues() {
		d.Violations[r.String()] = s.asserter.Count(r)
	}
	return d
}

// gauges returns the metrics whose values are read from the daemon's state when they are collected.
func (s *Server) gauges() []operator.Gauge {
	gs := []operator.Gauge{
		{Name: "in_contact", Help: "Whether this VM may act on its configuration.", Read: func() float64 {
			if s.InContact() {
				return 1
			}
			return 0
		}},
		{Name: "configuration_next", Help: "Offset after the last applied record of the configuration.",
			Read: func() float64 { return float64(s.follower.Position().ConfigurationNext) }},
		{Name: "fleet_map_version", Help: "Version of the fleet map.",
			Read: func() float64 { return float64(s.follower.Position().MapVersion) }},
		{Name: "peers_live", Help: "Other VMs held to be live.",
			Read: func() float64 { return float64(len(s.gossiper.Live())) }},
		{Name: "partitions_held", Help: "Partitions of the accounts' rates held here.",
			Read: func() float64 { return float64(s.owner.Status().Partitions[limiter.StateHeld]) }},
		{Name: "peer_received_bytes", Help: "Bytes received from other VMs since the start.",
			Read: func() float64 { in, _ := s.messenger.Traffic(); return float64(in) }},
		{Name: "peer_sent_bytes", Help: "Bytes sent to other VMs since the start.",
			Read: func() float64 { _, out := s.messenger.Traffic(); return float64(out) }},
	}
	for _, r := range asserter.RuleValues() {
		gs = append(gs, operator.Gauge{Name: "violations_" + r.String(), Help: "Violations of the guarantee since the start.",
			Read: func() float64 { return float64(s.asserter.Count(r)) }})
	}
	return gs
}
