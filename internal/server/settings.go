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

// Settings are what one daemon is started with.
type Settings struct {
	Fleet         FleetSettings    `json:"fleet"`
	FailureDomain string           `json:"failureDomain"`
	Callers       CallerSettings   `json:"callers"`
	Peers         PeerSettings     `json:"peers"`
	Operators     ListenSettings   `json:"operators"`
	Platform      PlatformSettings `json:"platform"`
	Log           LogSettings      `json:"log"`
	// StopTimeout bounds a planned stop; what runs then is cut.
	StopTimeout time.Duration `json:"stopTimeout"`
}

// FleetSettings are the same for all daemons of a fleet.
type FleetSettings struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failureDomains"`
}

// ListenSettings say where to listen.
type ListenSettings struct {
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address that others are told, if it is not the one listened on.
	Advertise netip.AddrPort `json:"advertise"`
}

// Public returns the address that others are told.
func (l ListenSettings) Public() netip.AddrPort {
	if l.Advertise.IsValid() {
		return l.Advertise
	}
	return l.Listen
}

// CallerSettings are about the callers' listener.
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

// PeerSettings are about the listener for other daemons.
type PeerSettings struct {
	ListenSettings
	// TLS, if set, is used in both directions and needs an authority.
	TLS *TLSSettings `json:"tls"`
	// Seeds are peers to ask when the VM list is not there.
	Seeds []netip.AddrPort `json:"seeds"`
}

// TLSSettings name PEM files; they are read again when they change.
type TLSSettings struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the certificate that peers' certificates are signed with.
	Authority string `json:"authority"`
}

// PlatformSettings say where the platform's services are.
type PlatformSettings struct {
	Log      string `json:"log"`
	Machines string `json:"machines"`
	// Retention is how long the log keeps records at least.
	Retention time.Duration `json:"retention"`
}

// LogSettings are about the daemon's own log.
type LogSettings struct {
	Level string `json:"level"`
}

// DefaultSettings returns the settings that hold where none are given.
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

// ReadSettings reads and checks a settings file. The error holds all findings.
func ReadSettings(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return ParseSettings(file, data)
}

// ParseSettings reads and checks settings. The error, if any, is a parser.Findings.
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
		d.AddFinding("fleet.name", "a fleet's name has lower-case letters, digits and hyphens, at most 63")
	}
	seen := map[string]bool{}
	for i, n := range s.Fleet.FailureDomains {
		path := "fleet.failureDomains." + strconv.Itoa(i)
		if !merger.ValidName(n) {
			d.AddFinding(path, "a failure domain's name has lower-case letters, digits and hyphens, at most 63")
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
		d.AddFinding(path+".listen", "wants an IP address and a port such as \"10.0.0.7:8080\"")
	}
	if l.Public().Addr().IsUnspecified() && path != "operators" {
		d.AddFinding(path+".advertise", "is needed when listen has no address of its own")
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
		d.AddFinding(path, "wants a URL such as \"http://10.0.0.2:9000\"")
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
		d.AddFinding("callers.maxBodyBytes", "must be at most %d, what fits a message between daemons", maxBodyBytes)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		d.AddFinding("log.level", "must be debug, info, warn or error")
	}
}

// maxBodyBytes is the largest request body that a message between daemons carries.
const maxBodyBytes = 4 << 20

// layout returns the hash of what all daemons of the fleet must agree on.
func (s Settings) layout() uint64 {
	return placer.Hash(strings.Join(s.Fleet.FailureDomains, ","))
}
