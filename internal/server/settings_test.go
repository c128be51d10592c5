package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const goodSettings = `{
  "fleet": {"name": "riga", "failureDomains": ["a", "b"]},
  "failureDomain": "a", // this VM's
  "callers": {"listen": "10.0.0.1:80"},
  "peers": {"listen": "10.0.0.1:81"},
  "platform": {"log": "http://10.0.0.2:1", "machines": "http://10.0.0.2:1"},
}`

func TestDefaultsHold(t *testing.T) {
	s, err := ParseSettings("s", []byte(goodSettings))
	require.NoError(t, err)
	require.Equal(t, time.Minute, s.StopTimeout)
	require.Equal(t, "127.0.0.1:7070", s.Operators.Listen.String())
	require.Equal(t, s.Peers.Listen, s.Peers.AdvertisedAddress())
}

func TestAllFindingsAtOnce(t *testing.T) {
	_, err := ParseSettings("s", []byte(`{
  "fleet": {"name": "Riga", "failureDomains": ["a", "a"]},
  "failureDomain": "c",
  "callers": {"listen": "0.0.0.0:80", "maxBodyBytes": 99999999, "headerTimeout": "0s", "tls": {"certificate": "/nowhere", "key": "/nowhere"}},
  "peers": {"lisen": "10.0.0.1:81"},
  "platform": {"log": "10.0.0.2", "machines": "http://x"},
  "log": {"level": "loud"},
}`))
	for _, want := range []string{
		"s:2:21: fleet.name:", "fleet.failureDomains.1:", `s:3:20: failureDomain: "c" is not among`, "callers.advertise:",
		"callers.maxBodyBytes:", "callers.headerTimeout:", "callers.tls.certificate:", `peers.lisen: is no known name; did you mean "listen"?`,
		"peers.listen:", "platform.log:", "log.level:",
	} {
		require.ErrorContains(t, err, want)
	}
}
