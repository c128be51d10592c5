package forwarder_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// invalidInNames are the bytes that a name of a field must not have.
var invalidInNames = map[string]string{
	"blank": " ", "two blanks": "  ", "tab": "\t", "NUL": "\x00", "control byte": "\x01", "CR": "\r", "DEL": "\x7f", "no ASCII": "é", "quote": `"`,
}

// brokenNames returns variants of a name with bytes before the colon and within it.
func brokenNames(name string) map[string]string {
	names := map[string]string{}
	for what, b := range invalidInNames {
		names[what+" at the end"] = name + b
		names[what+" within"] = name[:3] + b + name[3:]
	}
	return names
}

// answersWithFieldName returns answers to request 2 that have a field whose name is derived by broken from a valid one.
func answersWithFieldName(broken func(name string) string) map[string]string {
	const (
		ids  = "Request-Id: 2\r\nServer-Signature: sig-2\r\n"
		head = "HTTP/1.1 200 OK\r\n" + ids
	)
	field, own := broken("X-Field")+": v\r\n", answerTo("2", "own")
	length, chunked := broken("Content-Length")+": 3\r\n", broken("Transfer-Encoding")+": chunked\r\n"
	return map[string]string{
		"first":           "HTTP/1.1 200 OK\r\n" + field + ids + "Content-Length: 3\r\n\r\nown",
		"last":            head + "Content-Length: 3\r\n" + field + "\r\nown",
		"chunked":         head + "Transfer-Encoding: chunked\r\n" + field + "\r\n3\r\nown\r\n0\r\n\r\n",
		"to the end":      head + field + "\r\nown",
		"hidden length":   head + length + "\r\nown" + own,
		"other length":    head + "Content-Length: 1\r\n" + length + "\r\nown",
		"hidden chunks":   head + chunked + "\r\n3\r\nown\r\n0\r\n\r\n",
		"chunks, length":  head + "Content-Length: 5\r\n" + chunked + "\r\n3\r\nown\r\n0\r\n\r\n",
		"no body":         "HTTP/1.1 204 X\r\n" + ids + field + "\r\n",
		"hidden ID":       "HTTP/1.1 200 OK\r\n" + broken("Request-Id") + ": 2\r\n" + ids + "Content-Length: 3\r\n\r\nown",
		"refusal":         "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 1\r\n" + ids + field + "Content-Length: 0\r\n\r\n",
		"statements":      head + leavingHeader + field + "Content-Length: 3\r\n\r\nown",
		"interim":         "HTTP/1.1 103 X\r\n" + field + "\r\n" + own,
		"interim, length": "HTTP/1.1 103 X\r\n" + length + "\r\n" + own,
		"skipped":         "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n" + field + "Content-Length: 0\r\n\r\n" + own,
		"skipped, length": "HTTP/1.1 204 X\r\nRequest-Id: 1\r\n" + length + "\r\n" + own,
		"long":            head + field + "Content-Length: 400000\r\n\r\n" + strings.Repeat("x", 400_000),
	}
}

// An answer with a name that no field can have must not be the answer, nor may what follows it be, nor does it state anything.
func TestAnswerWithAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	var passed []string
	var script atomic.Pointer[[]string]
	forms, a := 0, newInstanceWithScripts(t, func() []string { return *script.Load() })
	for what := range brokenNames("X-Field") {
		for name, answer := range answersWithFieldName(func(name string) string { return brokenNames(name)[what] }) {
			for _, method := range []string{http.MethodPost, http.MethodHead} {
				for _, kept := range []bool{false, true} {
					forms++
					f := newForwarder()
					script.Store(&[]string{answer})
					if kept {
						script.Store(&[]string{answerTo("1", "first"), answer})
						_, err := sendTo(t, f, a, "1")
						require.NoError(t, err)
					}
					resp, err := sendMethod(t, f, a, method)
					_, idle := f.Stats()
					if err == nil || resp.Leaving || resp.Pause > 0 || idle > 0 {
						passed = append(passed, fmt.Sprintf("%s, %s, %s, kept %v", what, name, method, kept))
					}
					_ = resp.Close()
					require.False(t, errors.Is(err, forwarder.ErrNotSent), "it may have run")
				}
			}
		}
	}
	require.Empty(t, passed, "%d of %d forms", len(passed), forms)
}

// sendMethod sends request 2 with a method. On a busy machine, opening a connection may take too long; it is then opened again.
func sendMethod(t *testing.T, f *forwarder.Forwarder, a netip.AddrPort, method string) (forwarder.Response, error) {
	r := request("2")
	r.Method = method
	for {
		resp, err := f.Send(t.Context(), a, r, maxIdle)
		if !errors.Is(err, forwarder.ErrNotSent) {
			return resp, err
		}
	}
}

// An answer that cannot be read may belong to another caller; what was read of it must not be in the error that the caller sees.
func TestErrorsDoNotQuoteAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\n"
	for _, answer := range []string{
		"Secret\r\n\r\n", "HTTP/Secret 200 X\r\n\r\n", "HTTP/1.1 Secret X\r\n\r\n", head + "Secret\r\n\r\n", head + "Secret\t: v\r\n\r\n",
		head + "Secret : v\r\n\r\n", head + "Content-Length: Secret\r\n\r\n", head + "Transfer-Encoding: Secret\r\n\r\n",
		head + "Content-Length: 1\r\nContent-Length: Secret\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\nSecret\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nSecret\r\n",
	} {
		_, err := sendTo(t, newForwarder(), newScriptedInstance(t, answer), "2")
		require.Error(t, err, "%q", answer)
		require.NotContains(t, err.Error(), "Secret", "%q", answer)
	}
	for _, field := range []string{"Secret\t: v", "Secret : v"} {
		_, err := sendTo(t, newForwarder(), newScriptedInstance(t, head+field+"\r\n\r\n"), "2")
		require.Contains(t, forwarder.Quoted(err), "Secret", "the log has it")
	}
}
