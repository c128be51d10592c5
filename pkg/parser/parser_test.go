package parser_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
)

type settings struct {
	Name    string            `json:"name"`
	Timeout time.Duration     `json:"timeout"`
	Address netip.AddrPort    `json:"address"`
	Inner   *inner            `json:"inner"`
	List    []inner           `json:"list"`
	Labels  map[string]string `json:"labels"`
}

type inner struct {
	Count int `json:"count"`
}

func TestReadsAllKinds(t *testing.T) {
	var s settings
	d := parser.Parse("f", []byte(`{
  // a comment
  "name": "x", "timeout": "150ms", "address": "10.0.0.1:80",
  "inner": {"count": 1}, "list": [{"count": 2}], "labels": {"a": "b"}, /* trailing */
} // the end`), &s)
	require.NoError(t, d.Err())
	want := settings{"x", 150 * time.Millisecond, netip.MustParseAddrPort("10.0.0.1:80"), &inner{1}, []inner{{2}}, map[string]string{"a": "b"}}
	require.Equal(t, want, s)
}

func TestCollectsFindingsInOrder(t *testing.T) {
	var s settings
	d := parser.Parse("f", []byte("{\n  \"nam\": 1,\n  \"timeout\": 5,\n  \"list\": [{\"count\": \"x\"}],\n  \"name\": \"a\",\n  \"name\": \"b\",\n  \"address\": \"here\",\n  \"inner\": [],\n}"), &s)
	d.AddFinding("list.0.count.deeper", "in place of its nearest parent")
	require.EqualError(t, d.Err(), `f:2:3: nam: is no known name; did you mean "name"?
f:3:14: timeout: wants a duration such as "2s" or "150ms"
f:4:22: list.0.count: wants a int, has a string
f:4:22: list.0.count.deeper: in place of its nearest parent
f:6:3: name: is set twice
f:7:14: address: not an ip:port
f:8:12: inner: wants an object`)
}

func TestSyntaxErrorHasAPlace(t *testing.T) {
	var s settings
	err := parser.Parse("f", []byte("{\n  \"name\": ,\n}"), &s).Err()
	require.ErrorContains(t, err, "f:2:11: ")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "x", "list": [{}], // c
"timeout": "1s"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s settings
		for _, e := range parser.Parse("f", b, &s).Findings() {
			require.Positive(t, e.Line)
			require.Positive(t, e.Column)
		}
	})
}

func ExampleParse() {
	var v struct {
		Port int `json:"port"`
	}
	fmt.Println(parser.Parse("a.json", []byte(`{"prot": 80}`), &v).Err())
	// Output: a.json:1:2: prot: is no known name; did you mean "port"?
}

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		var s settings
		parser.Parse("f", []byte(`{"name": "x", "timeout": "150ms", "inner": {"count": 1}}`), &s)
	}
}
