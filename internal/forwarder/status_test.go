package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/internal/forwarder"
)

// invalidStatuses are statuses that no final response has, and that no response follows.
var invalidStatuses = []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "20", "0200", "abc"}

// headers are the headers with which responses that have an invalid status may come.
var headers = map[string]string{
	"none": "", "ID": "Request-Id: 2\r\n", "ID and signature": "Request-Id: 2\r\nServer-Signature: sig-2\r\n",
	"statements": "Request-Id: 2\r\nServer-Signature: sig-2\r\n" + leavingHeader + "Retry-After: 1\r\n",
	"refusal":    "Request-Id: 2\r\nNot-Executed: 1\r\n",
}

// responsesWithStatus returns responses to request 2 with a status, and bytes that may follow them.
func responsesWithStatus(status string) map[string]string {
	rs := map[string]string{}
	other := answerTo("2", "other")
	for name, h := range headers {
		for what, body := range map[string]string{"no body": "", "body": "text", "response as body": other} {
			length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
			head := "HTTP/1.1 " + status + " X\r\n" + h
			rs[name+", "+what] = head + length + "\r\n" + body
			rs[name+", "+what+", response behind"] = head + length + "\r\n" + body + other
			rs[name+", "+what+", chunked"] = head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", max(1, len(body)), body+strings.Repeat("x", max(0, 1-len(body))))
			rs[name+", "+what+", to the end"] = head + "Connection: close\r\n\r\n" + body
			rs[name+", "+what+", switched"] = head + "Connection: Upgrade\r\nUpgrade: x\r\n\r\n" + body
		}
	}
	return rs
}

// Bytes without a valid status must not be the answer, nor may what follows them be.
func TestResponseWithoutStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		for name, r := range responsesWithStatus(status) {
			for _, kept := range []bool{false, true} {
				f, script := newForwarder(), []string{r, answerTo("3", "late")}
				if kept {
					script = append([]string{answerTo("1", "first")}, script...)
				}
				a := newScriptedInstance(t, script...)
				if kept {
					_, err := sendTo(t, f, a, "1")
					require.NoError(t, err)
				}
				resp, err := sendTo(t, f, a, "2")
				require.Error(t, err, "%s, %s, kept %v: %+v", status, name, kept, resp)
				require.False(t, errors.Is(err, forwarder.ErrNotSent), "it may have run")
				require.False(t, resp.NotRun)
				require.False(t, resp.Leaving, "what is no response states nothing: %s, %s", status, name)
				_, idle := f.Stats()
				require.Zero(t, idle, "the connection is kept: %s, %s", status, name)
			}
		}
	}
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	own := answerTo("2", "own")
	for _, status := range []int{100, 102, 103, 199} {
		interim := fmt.Sprintf("HTTP/1.1 %d X\r\n\r\n", status)
		resp, err := sendTo(t, newForwarder(), newScriptedInstance(t, interim+interim+own), "2")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.Status)
		require.Equal(t, "own", string(resp.Body))
		_, err = sendTo(t, newForwarder(), newScriptedInstance(t, strings.Repeat(interim, 10)+own), "2")
		require.Error(t, err, "their number is bounded")
	}
}

// FuzzReadResponse checks that what is returned for any bytes has a head that a caller may get.
func FuzzReadResponse(f *testing.F) {
	for _, status := range append(invalidStatuses, "100", "103", "200", "503") {
		for _, r := range []string{"", "text", answerTo("2", "other")} {
			f.Add(fmt.Appendf(nil, "HTTP/1.1 %s X\r\nRequest-Id: 2\r\nServer-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, len(r), r))
			f.Add([]byte("HTTP/1.1 " + status + " X\r\n\r\n" + r))
		}
	}
	for _, name := range brokenNames("X-Field") {
		f.Add([]byte("HTTP/1.1 200 X\r\nRequest-Id: 2\r\n" + name + ": v\r\nContent-Length: 3\r\n\r\nown"))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		resp, err := sendTo(t, newForwarder(), newScriptedInstance(t, string(b)), "2")
		if err == nil {
			require.True(t, forwarder.IsFinal(resp.Status), resp.Status)
			require.NoError(t, forwarder.CheckFieldNames(resp.Header))
			require.NoError(t, resp.Close())
		}
	})
}
