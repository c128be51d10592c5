package merger

import (
	"encoding/hex"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthproxy/jacinthproxy/pkg/limiter"
	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
)

const (
	maxRate      = 1e6
	maxSlots     = 1024
	maxTimeout   = 5 * time.Minute
	defaultFloor = 0.5
	keyHashBytes = 32
)

// Document is one team's subtree.
type Document struct {
	ClientAccounts map[string]ClientAccount `json:"clientAccounts"`
	Services       map[string]Service       `json:"services"`
	Routes         []Route                  `json:"routes"`
}

// ClientAccount is a client account with its rate over the whole fleet and its keys.
type ClientAccount struct {
	limiter.Limit
	// Keys maps a key's name to the hex SHA-256 of the key.
	Keys map[string]string `json:"keys"`
}

// Service is a set of backend servers that answer alike.
type Service struct {
	Instances []Instance `json:"instances"`
	// Slots is how many requests an instance runs at once.
	Slots int `json:"slots"`
	// Floor is the share of the instances that ejections leave live.
	Floor *float64 `json:"floor"`
	// HealthPath is probed at idle instances; empty means no probes.
	HealthPath string `json:"healthPath"`
}

// MinLive returns the share of the instances that ejections leave live.
func (s Service) MinLive() float64 {
	if s.Floor == nil {
		return defaultFloor
	}
	return *s.Floor
}

// Instance is one backend server of a service.
type Instance struct {
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"failureDomain"`
}

// Route sends requests of a path prefix to a service.
type Route struct {
	// Path is the prefix below the team's name; it ends at a slash.
	Path string `json:"path"`
	// Methods are the HTTP methods that match; none means all.
	Methods []string      `json:"methods"`
	Service string        `json:"service"`
	Timeout time.Duration `json:"timeout"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Open says that a request needs no key.
	Open bool `json:"open"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValidName reports whether s can name a team, a service, an account or a key.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// ParseDocument reads and checks a team's subtree. The error, if any, is a
// parser.Findings with all that is wrong.
func ParseDocument(file string, data []byte) (*Document, error) {
	var doc Document
	d := parser.Parse(file, data, &doc)
	checkAccounts(d, doc.ClientAccounts)
	checkServices(d, doc.Services)
	checkRoutes(d, doc)
	return &doc, d.Err()
}

func checkName(d *parser.Document, path, name string) {
	if !ValidName(name) {
		d.AddFinding(path, "a name has lower-case letters, digits and hyphens, at most 63")
	}
}

func checkAccounts(d *parser.Document, as map[string]ClientAccount) {
	owners := map[string]string{}
	for _, n := range sortedKeys(as) {
		path := "clientAccounts." + n
		a := as[n]
		checkName(d, path, n)
		if a.Rate <= 0 || a.Rate > maxRate {
			d.AddFinding(path+".rate", "rate must be above 0 and at most %g requests a second", maxRate)
		}
		if a.Burst < 1 || a.Burst > maxRate {
			d.AddFinding(path+".burst", "burst must be from 1 to %g requests", maxRate)
		}
		for _, k := range sortedKeys(a.Keys) {
			checkKey(d, path+".keys."+k, k, a.Keys[k], owners, n)
		}
	}
}

func checkKey(d *parser.Document, path, name, hash string, owners map[string]string, account string) {
	checkName(d, path, name)
	if b, err := hex.DecodeString(hash); err != nil || len(b) != keyHashBytes || hash != strings.ToLower(hash) {
		d.AddFinding(path, "a key is given as the lower-case hex SHA-256 of its text, 64 digits")
	}
	if o, ok := owners[hash]; ok {
		d.AddFinding(path, "the same key belongs to client account %q", o)
	}
	owners[hash] = account
}

func checkServices(d *parser.Document, ss map[string]Service) {
	for _, n := range sortedKeys(ss) {
		path := "services." + n
		s := ss[n]
		checkName(d, path, n)
		if s.Slots < 1 || s.Slots > maxSlots {
			d.AddFinding(path+".slots", "slots must be from 1 to %d", maxSlots)
		}
		if f := s.MinLive(); f < 0 || f > 1 {
			d.AddFinding(path+".floor", "floor is a share from 0 to 1")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			d.AddFinding(path+".healthPath", "healthPath must begin with a slash")
		}
		checkInstances(d, path+".instances", s.Instances)
	}
}

func checkInstances(d *parser.Document, path string, is []Instance) {
	if len(is) == 0 {
		d.AddFinding(path, "a service needs at least one instance")
	}
	seen := map[netip.AddrPort]bool{}
	for i, in := range is {
		at := path + "." + strconv.Itoa(i)
		if !in.Address.IsValid() || in.Address.Port() == 0 {
			d.AddFinding(at+".address", "an instance needs an IP address and a port")
		} else if seen[in.Address] {
			d.AddFinding(at+".address", "%s is listed twice", in.Address)
		}
		seen[in.Address] = true
		checkName(d, at+".failureDomain", in.Domain)
	}
}

func checkRoutes(d *parser.Document, doc Document) {
	seen := map[string]bool{}
	for i, r := range doc.Routes {
		path := "routes." + strconv.Itoa(i)
		if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
			d.AddFinding(path+".path", "a path begins and ends with a slash")
		}
		if _, ok := doc.Services[r.Service]; !ok {
			d.AddFinding(path+".service", "service %q is not among services", r.Service)
		}
		if r.Timeout <= 0 || r.Timeout > maxTimeout {
			d.AddFinding(path+".timeout", "timeout must be above 0 and at most %s", maxTimeout)
		}
		for _, m := range methodsOf(r) {
			if key := m + " " + r.Path; seen[key] {
				d.AddFinding(path, "another route has the same path and method %q", m)
			} else {
				seen[key] = true
			}
		}
	}
}

// anyMethod stands for a route without methods.
const anyMethod = ""

func methodsOf(r Route) []string {
	if len(r.Methods) == 0 {
		return []string{anyMethod}
	}
	return r.Methods
}

func sortedKeys[V any](m map[string]V) []string {
	ks := make([]string, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}
