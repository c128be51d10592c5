package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const routesDocument = `{"Version":7,"Resources":[
{"ResourceKind":"Routes","Metadata":{"Name":"all"},"Specification":{"Host":"a.example","PathPrefix":"/","Kind":"safe","TimeoutS":2,"Service":"x","Attempts":2}},
{"ResourceKind":"Routes","Metadata":{"Name":"long"},"Specification":{"Host":"a.example","PathPrefix":"/p/q/","Kind":"upload","TimeoutS":2,"TrafficSplit":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}],"Public":true}},
{"ResourceKind":"Routes","Metadata":{"Name":"short"},"Specification":{"Host":"a.example","PathPrefix":"/p/","Kind":"safe","TimeoutS":2,"Service":"y","Attempts":2}},
{"ResourceKind":"Routes","Metadata":{"Name":"other"},"Specification":{"Host":"b.example","PathPrefix":"/p/","Kind":"safe","TimeoutS":2,"Service":"y","Attempts":2}}]}`

func TestRouteOfARequestIsExplained(t *testing.T) {
	for _, c := range []struct {
		host, path string
		want       []string
	}{
		{"A.example:80", "/p/q/r?x=/1/", []string{"version   7", "route     long", "longest that matches; also short (/p/) all (/)", "x (weight 90) y (weight 10)", "once at most", "not needed"}},
		{"a.example", "/p/q", []string{"route     short", "also all (/)", "at up to 2 instances"}},
		{"b.example", "/p/", []string{"route     other", "no other prefix matches"}},
	} {
		var out strings.Builder
		require.NoError(t, routeCommand{Host: c.host, Path: c.path, Method: "GET"}.explain(&out, []byte(routesDocument)))
		for _, w := range c.want {
			require.Contains(t, out.String(), w, c.path)
		}
	}
	var out strings.Builder
	require.ErrorIs(t, routeCommand{Host: "b.example", Path: "/"}.explain(&out, []byte(routesDocument)), errNoRoute)
	require.ErrorContains(t, routeCommand{File: "f"}.explain(&out, []byte("{")), "f: ")
}
