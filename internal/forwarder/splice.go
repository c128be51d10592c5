package forwarder

import (
	"net/http"
	"slices"
	"strings"
)

// Spliced reports whether the head of a response contains a status line: it then begins with a part of an earlier response,
// whose status or headers say nothing of the request.
func Spliced(httpResp *http.Response) bool {
	if containsStatusLine(httpResp.Status) {
		return true
	}
	for n, vs := range httpResp.Header {
		if containsStatusLine(n) || slices.ContainsFunc(vs, containsStatusLine) {
			return true
		}
	}
	return false
}

// containsStatusLine reports whether a text contains the beginning of a status line, such as "HTTP/1.1 200".
func containsStatusLine(s string) bool {
	const version, digits = "HTTP/1.", 3
	_, rest, ok := strings.Cut(s, version)
	if !ok || len(rest) < 2+digits || rest[1] != ' ' {
		return false
	}
	return !strings.ContainsFunc(rest[2:2+digits], func(r rune) bool { return r < '0' || r > '9' })
}
