package main

import (
	"strings"
	"time"
)

func init() { cases["limits"] = playLimits }

// Limits of the headers, in bytes, before and after the change, and the length of one header of the clients after it.
const (
	headerLimitBefore = 16384
	headerLimitAfter  = 65536
	longHeader        = 32768
)

// playLimits raises MaxHeaderBytes while clients keep their connections, and then sends requests within the new limit.
func playLimits(root string, rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(root, rec, 3, 8, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if !trouble {
		d.headerLimit = headerLimitAfter
	}
	d.publish()
	if err := d.start(); err != nil {
		return false, err
	}
	l := d.newLoad(func() request { return dispatch })
	for range 60 {
		l.wg.Go(l.join)
		time.Sleep(10 * time.Millisecond)
	}
	l.wg.Wait()
	if trouble {
		d.headerLimit = headerLimitAfter
		d.publish()
	}
	time.Sleep(6 * time.Second)
	rec.printf("clients: send requests with headers of %d bytes", longHeader)
	l.request = func() request {
		q := dispatch
		q.header = "X-Note: " + strings.Repeat("n", longHeader) + "\r\n"
		return q
	}
	l.run(30, 8*time.Second)
	time.Sleep(time.Second)
	return checkDenied(rec, l.sentSoFar(), &stranger{}, d.instances), nil
}
