package server

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// certificate is a TLS key pair that is reloaded when the certificate file's modification time changes.
type certificate struct {
	settings   TLSSettings
	clock      clockwork.Clock
	logger     *zap.Logger
	mu         sync.Mutex
	pair       *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

func newCertificate(s TLSSettings, clock clockwork.Clock, logger *zap.Logger) (*certificate, error) {
	c := &certificate{settings: s, clock: clock, logger: logger}
	return c, c.load()
}

func (c *certificate) load() error {
	i, err := os.Stat(c.settings.Certificate)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	pair, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	c.pair, c.modifiedAt = &pair, i.ModTime()
	return nil
}

// current returns the key pair. At most once per certificateCheckInterval it checks the certificate file and
// reloads the pair if the file changed; if that fails, the previous pair stays in use.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.checkedAt) < certificateCheckInterval {
		return c.pair
	}
	c.checkedAt = now
	i, err := os.Stat(c.settings.Certificate)
	if err == nil && i.ModTime().Equal(c.modifiedAt) {
		return c.pair
	}
	if err == nil {
		err = c.load()
	}
	if err != nil {
		c.logger.Error("failed to reload the certificate; keeping the previous one", zap.Error(err))
	} else {
		c.logger.Info("certificate reloaded", zap.String("file", c.settings.Certificate))
	}
	return c.pair
}

// listenerConfig returns the TLS configuration of a listener. net/http adds HTTP/2 to the offered protocols.
func (c *certificate) listenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}
}

// mutualConfigs returns the mutual TLS configurations for both ends of the sessions between daemons. A peer is
// authenticated by a certificate that the authority signed. No host name is checked, because VMs have none.
func (c *certificate) mutualConfigs() (client, server *tls.Config, err error) {
	pem, err := os.ReadFile(c.settings.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Newf("authority file %s contains no PEM certificate", c.settings.Authority)
	}
	server = c.listenerConfig()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth, server.ClientCAs = tls.RequireAndVerifyClientCert, pool
	client = &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current(), nil
		},
		// VerifyConnection verifies the chain without a host name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyPeer(s, pool) },
	}
	return client, server, nil
}

// verifyPeer checks that the peer's certificate chains to an authority in pool, for any extended key usage and without
// checking a host name.
func verifyPeer(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
