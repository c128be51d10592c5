package main

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// startEchoProxy starts an echo server and a proxy in front of it.
func startEchoProxy(t *testing.T) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.listener.Close() })
	return p
}

func dial(t *testing.T, p *proxy) net.Conn {
	c, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a line and returns the line that comes back.
func roundTrip(t *testing.T, c net.Conn, text string) string {
	_, err := io.WriteString(c, text+"\n")
	require.NoError(t, err)
	got, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	return got
}

func TestProxyPassesAndResets(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	require.Equal(t, "a\n", roundTrip(t, c, "a"))
	p.resetConnections()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, "b\n", roundTrip(t, dial(t, p), "b"), "new connections work")
}

// A part of an answer that the server reset must not look as if it had ended in order.
func TestProxyPassesOnThatTheServerResets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "part")
			reset(c)
		}
	}()
	p, err := newProxy("127.0.0.1:0", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.listener.Close() })
	for range 50 {
		c := forwarder.CheckEnds(dial(t, p))
		go func() { _, _ = c.Write(make([]byte, 256<<10)) }()
		_, err = io.ReadAll(c)
		require.Error(t, err)
	}
}

func TestProxySilencesOpenConnectionsOnly(t *testing.T) {
	p := startEchoProxy(t)
	c := dial(t, p)
	require.Equal(t, "a\n", roundTrip(t, c, "a"))
	p.silenceConnections()
	_, err := io.WriteString(c, "lost\n")
	require.NoError(t, err)
	require.Equal(t, "b\n", roundTrip(t, dial(t, p), "b"))
}

func TestProxyRefuses(t *testing.T) {
	p := startEchoProxy(t)
	p.setImpairment(impairment{refuse: true})
	_, err := dial(t, p).Read(make([]byte, 1))
	require.Error(t, err)
}
