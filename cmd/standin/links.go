package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

type linksCommand struct {
	Listen string   `required:"" help:"Address of the control."`
	Link   []string `required:"" help:"A link, as listen=target. The callers of a link are known by their IP address, the target by its own."`
}

// cut is a direction, given as two IP addresses, in which all traffic is dropped. One of the two
// may be empty and then matches all addresses.
type cut struct {
	From string `json:"from"`
	To   string `json:"to"`
}

type links struct {
	mu   sync.Mutex
	cuts map[cut]bool
}

func (c linksCommand) Run() error {
	ls := &links{cuts: map[cut]bool{}}
	for _, l := range c.Link {
		listen, target, ok := strings.Cut(l, "=")
		if !ok {
			return errors.Newf("link %q is not of the form listen=target", l)
		}
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		go ls.accept(ln, target)
	}
	m := http.NewServeMux()
	m.HandleFunc("PUT /faults", ls.setCuts)
	return (&http.Server{Addr: c.Listen, Handler: m, ReadHeaderTimeout: time.Second}).ListenAndServe()
}

func (l *links) setCuts(w http.ResponseWriter, r *http.Request) {
	var cs []cut
	if !readJSON(w, r, &cs) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = map[cut]bool{}
	for _, c := range cs {
		l.cuts[c] = true
	}
}

// isCut reports whether the direction is cut, by its exact addresses or by a cut in which one address is empty.
func (l *links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[cut{from, to}] || l.cuts[cut{from, ""}] || l.cuts[cut{"", to}]
}

func (l *links) accept(ln net.Listener, target string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.relay(c, target)
	}
}

func (l *links) relay(c net.Conn, target string) {
	defer func() { _ = c.Close() }()
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	to, _, _ := net.SplitHostPort(target)
	if l.isCut(from, to) || l.isCut(to, from) {
		// A new connection that is cut in either direction hangs until the client closes it.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	d, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	done := make(chan struct{}, 2)
	go func() { l.pump(d, c, from, to); done <- struct{}{} }()
	go func() { l.pump(c, d, to, from); done <- struct{}{} }()
	<-done
}

// pump copies one direction of a connection. Data that arrives while the direction is cut is dropped, and so
// is all later data of this connection in the direction, as when a packet filter loses the connection's state.
func (l *links) pump(dst io.Writer, src io.Reader, from, to string) {
	buf := make([]byte, 64<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		lost = lost || l.isCut(from, to)
		if !lost && n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
