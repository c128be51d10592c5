package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// authority is a test certificate authority that writes its files to a temporary directory.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return k
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue creates a key and a certificate with the given serial number, signed by the authority, and writes
// them to cert.pem and key.pem, replacing those issued before.
func (a *authority) issue(serial int64) TLSSettings {
	k := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(k)
	require.NoError(a.t, err)
	return TLSSettings{
		Certificate: a.write("cert.pem", "CERTIFICATE", der), Key: a.write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority: filepath.Join(a.dir, "ca.pem"),
	}
}

// handshake runs a TLS handshake over a loopback connection and returns the errors of both ends.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(c, server)
		err = s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		done <- err
		_ = s.Close()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	s := tls.Client(c, client)
	defer func() { _ = s.Close() }()
	if clientErr = s.Handshake(); clientErr == nil {
		// In TLS 1.3 the client's handshake may succeed before the server rejects its certificate, so the
		// rejection shows only on the next read.
		_, clientErr = s.Read(make([]byte, 1))
	}
	return clientErr, <-done
}

// TestBothEndsNeedTheAuthority checks that sessions between daemons need a certificate of the same authority
// on both ends.
func TestBothEndsNeedTheAuthority(t *testing.T) {
	clock := clockwork.NewRealClock()
	configs := func(a *authority) (client, server *tls.Config) {
		c, err := newCertificate(a.issue(2), clock, zap.NewNop())
		require.NoError(t, err)
		client, server, err = c.mutualConfigs()
		require.NoError(t, err)
		return client, server
	}
	client, server := configs(newAuthority(t))
	otherClient, otherServer := configs(newAuthority(t))
	clientErr, serverErr := handshake(t, client, server)
	require.NoError(t, clientErr)
	require.NoError(t, serverErr)
	_, serverErr = handshake(t, otherClient, server)
	require.Error(t, serverErr, "a client of another authority is refused")
	clientErr, _ = handshake(t, client, otherServer)
	require.Error(t, clientErr, "a server of another authority is refused")
	_, serverErr = handshake(t, &tls.Config{InsecureSkipVerify: true}, server) //nolint:gosec // A client without a certificate.
	require.Error(t, serverErr)
}

// TestCertificateIsReadAgain checks that a changed file is reloaded and that an invalid one is ignored.
func TestCertificateIsReadAgain(t *testing.T) {
	a := newAuthority(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	s := a.issue(2)
	c, err := newCertificate(s, clock, zap.NewNop())
	require.NoError(t, err)
	serial := func() int64 {
		x, err := x509.ParseCertificate(c.current().Certificate[0])
		require.NoError(t, err)
		return x.SerialNumber.Int64()
	}
	require.EqualValues(t, 2, serial())
	renew := func(at time.Time) {
		clock.Advance(certificateCheckInterval + time.Second)
		require.NoError(t, os.Chtimes(s.Certificate, at, at))
	}
	a.issue(3)
	renew(time.Now().Add(time.Minute))
	require.EqualValues(t, 3, serial())
	require.NoError(t, os.WriteFile(s.Certificate, []byte("damaged"), 0o600))
	renew(time.Now().Add(2 * time.Minute))
	require.EqualValues(t, 3, serial(), "the previous certificate stays in use when the file is damaged")
}
