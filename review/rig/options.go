package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// playOptions is the case of a request for the server itself, which no route matches: "OPTIONS *".
func playOptions(s *site, trouble bool) (bool, error) {
	q := quota{rate: 100, burst: 100}
	s.publish(q.resources(q.rate, q.burst)...)
	for n := range 2 {
		if err := s.addInstance(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), n, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if err := s.addMachine(n); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	lines := []string{"OPTIONS /lookup/1", "OPTIONS /none/1"}
	if trouble {
		lines = append(lines, "OPTIONS *")
	}
	broken := false
	for i, m := range s.machines {
		for k, line := range lines {
			id := fmt.Sprintf("%016x", 16*i+k+1)
			status, signed, err := s.exchangeRaw(m, line, id)
			if err != nil {
				return false, err
			}
			s.record.note("%s (%s) answered by %s: %d, signed %v", line, id, m.ip, status, signed)
			if status >= 200 && status < 300 && !signed {
				text := fmt.Sprintf("MIXED: %s at %s: status %d without Server-Signature", line, m.ip, status)
				s.record.note("%s", text)
				fmt.Println(text)
				broken = true
			}
		}
	}
	return broken, nil
}

// exchangeRaw sends a request with a known key, and returns the status of the answer and whether it is signed.
func (s *site) exchangeRaw(m *machine, line, id string) (status int, signed bool, err error) {
	c, err := net.DialTimeout("tcp", m.address(), time.Second)
	if err != nil {
		return 0, false, errors.Wrap(err, "connect")
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // It fails only on a closed connection.
	s.record.addSent(id)
	if _, err := fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nX-Api-Key: %s\r\n\r\n", line, host, id, tenantKey); err != nil {
		return 0, false, errors.Wrap(err, "send")
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, errors.Wrap(err, "read the answer")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Server-Signature") != "", errors.Wrap(err, "read the answer")
}
