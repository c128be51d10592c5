package server

import (
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
	"github.com/jacinthproxy/jacinthproxy/pkg/placer"
)

// Settings are the settings of one daemon.
type Settings struct {
	Fleet         FleetSettings    `json:"fleet"`
	FailureDomain string           `json:"failureDomain"`
	Callers       CallerSettings   `json:"callers"`
	Peers         PeerSettings     `json:"peers"`
	Operators     ListenSettings   `json:"operators"`
	Platform      PlatformSettings `json:"platform"`
	Log           LogSettings      `json:"log"`
	// StopTimeout bounds a planned stop; requests that still run then are cut off.
	StopTimeout time.Duration `json:"stopTimeout"`
}

// FleetSettings must be the same for all daemons of a fleet.
type FleetSettings struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failureDomains"`
}

// ListenSettings are the addresses of a listener.
type ListenSettings struct {
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address that others use to connect, if it differs from Listen.
	Advertise netip.AddrPort `json:"advertise"`
}

// AdvertisedAddress returns the address that others use to connect: Advertise if set, else Listen.
func (l ListenSettings) AdvertisedAddress() netip.AddrPort {
	if l.Advertise.IsValid() {
		return l.Advertise
	}
	return l.Listen
}

// CallerSettings configure the listener for callers.
type CallerSettings struct {
	ListenSettings
	TLS           *TLSSettings  `json:"tls"`
	MaxBody       int64         `json:"maxBodyBytes"`
	MaxHeader     int           `json:"maxHeaderBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	BodyTimeout   time.Duration `json:"bodyTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
	MaxRequests   int           `json:"maxRequests"`
}

// PeerSettings configure the listener for other daemons.
type PeerSettings struct {
	ListenSettings
	// TLS, if set, enables mutual TLS between daemons; it requires Authority.
	TLS *TLSSettings `json:"tls"`
	// Seeds are peers to contact first while no other VM is known, also if the VM list is unavailable.
	Seeds []netip.AddrPort `json:"seeds"`
}

// TLSSettings are paths of PEM files. The certificate and the key are reloaded when the certificate file changes.
type TLSSettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority has the certificates of the authorities that may sign peers' certificates.
	Authority string `json:"authority"`
}

// PlatformSettings have the URLs of the platform's services.
type PlatformSettings struct {
	Log      string `json:"log"`
	Machines string `json:"machines"`
	// Retention is the minimum time for which the log keeps a record.
	Retention time.Duration `json:"retention"`
}

// LogSettings configure the daemon's own log output.
type LogSettings struct {
	Level string `json:"level"`
}

// DefaultSettings returns the default values of the settings.
func DefaultSettings() Settings {
	return Settings{
		Callers: CallerSettings{
			MaxBody: 1 << 20, MaxHeader: 64 << 10, HeaderTimeout: 5 * time.Second,
			BodyTimeout: 30 * time.Second, IdleTimeout: time.Minute, MaxRequests: 4096,
		},
		Operators:   ListenSettings{Listen: netip.MustParseAddrPort("127.0.0.1:7070")},
		Platform:    PlatformSettings{Retention: 24 * time.Hour},
		Log:         LogSettings{Level: "info"},
		StopTimeout: time.Minute,
	}
}

// ReadSettings reads and validates a settings file. An error about its contents has all findings.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings parses and validates settings; file is the name used in messages. The error, if any, is a
// parser.Findings.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	d := parser.Parse(file, data, &s)
	checkFleet(d, s)
	checkListener(d, "callers", s.Callers.ListenSettings)
	checkListener(d, "peers", s.Peers.ListenSettings)
	checkListener(d, "operators", s.Operators)
	checkTLS(d, "callers.tls", s.Callers.TLS, false)
	checkTLS(d, "peers.tls", s.Peers.TLS, true)
	checkURL(d, "platform.log", s.Platform.Log)
	checkURL(d, "platform.machines", s.Platform.Machines)
	checkBounds(d, s)
	return s, d.Err()
}

func checkFleet(d *parser.Document, s Settings) {
	if !merger.ValidName(s.Fleet.Name) {
		d.AddFinding("fleet.name", "must be 1 to 63 lower-case letters, digits and hyphens, and not begin with a hyphen")
	}
	seen := map[string]bool{}
	for i, n := range s.Fleet.FailureDomains {
		path := "fleet.failureDomains." + strconv.Itoa(i)
		if !merger.ValidName(n) {
			d.AddFinding(path, "must be 1 to 63 lower-case letters, digits and hyphens, and not begin with a hyphen")
		}
		if seen[n] {
			d.AddFinding(path, "%q is listed twice", n)
		}
		seen[n] = true
	}
	if !slices.Contains(s.Fleet.FailureDomains, s.FailureDomain) {
		d.AddFinding("failureDomain", "%q is not among fleet.failureDomains", s.FailureDomain)
	}
}

func checkListener(d *parser.Document, path string, l ListenSettings) {
	if !l.Listen.IsValid() || l.Listen.Port() == 0 {
		d.AddFinding(path+".listen", "must be an IP address and a port, such as \"10.0.0.7:8080\"")
	}
	if l.AdvertisedAddress().Addr().IsUnspecified() && path != "operators" {
		d.AddFinding(path+".advertise", "is required if listen has an unspecified address")
	}
}

func checkTLS(d *parser.Document, path string, t *TLSSettings, mutual bool) {
	if t == nil {
		return
	}
	for _, f := range []struct{ name, file string }{{"certificate", t.Certificate}, {"key", t.Key}, {"authority", t.Authority}} {
		if f.name == "authority" && !mutual {
			continue
		}
		if _, err := os.Stat(f.file); err != nil {
			d.AddFinding(path+"."+f.name, "cannot be read: %v", err)
		}
	}
}

func checkURL(d *parser.Document, path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		d.AddFinding(path, "must be an http or https URL, such as \"http://10.0.0.2:9000\"")
	}
}

func checkBounds(d *parser.Document, s Settings) {
	positive := map[string]int64{
		"callers.maxBodyBytes": s.Callers.MaxBody, "callers.maxHeaderBytes": int64(s.Callers.MaxHeader),
		"callers.headerTimeout": int64(s.Callers.HeaderTimeout), "callers.bodyTimeout": int64(s.Callers.BodyTimeout),
		"callers.idleTimeout": int64(s.Callers.IdleTimeout), "callers.maxRequests": int64(s.Callers.MaxRequests),
		"platform.retention": int64(s.Platform.Retention), "stopTimeout": int64(s.StopTimeout),
	}
	for path, v := range positive {
		if v <= 0 {
			d.AddFinding(path, "must be above 0")
		}
	}
	if s.Callers.MaxBody > maxBodyBytes {
		d.AddFinding("callers.maxBodyBytes", "must be at most %d, the limit of a message between daemons", maxBodyBytes)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		d.AddFinding("log.level", "must be debug, info, warn or error")
	}
}

// maxBodyBytes is the maximum size of a request body, given by the size of a message between daemons.
const maxBodyBytes = 4 << 20

// layout returns a hash of the settings that all daemons of the fleet must agree on: the failure domains in order.
func (s Settings) layout() uint64 {
	return placer.Hash(strings.Join(s.Fleet.FailureDomains, ","))
}
