package main

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/jacinthproxy/jacinthproxy/pkg/merger"
	"github.com/jacinthproxy/jacinthproxy/pkg/parser"
)

func TestPatchKeepsComments(t *testing.T) {
	text := "{\n  // The crew.\n  \"clientAccounts\": {\"crew\": {\"rate\": 1, \"burst\": 1}}, // end\n}\n"
	f := keyFlags{Account: "crew", Name: "phone"}
	out, err := apply(text, []operation{{"add", f.path(""), map[string]string{}}, {"add", f.path("/phone"), "hash"}})
	require.NoError(t, err)
	require.Contains(t, out, "// The crew.")
	require.Contains(t, out, "// end")
	require.Contains(t, out, `"phone":"hash"`)
	out, err = apply(out, []operation{{Op: "remove", Path: f.path("/phone")}})
	require.NoError(t, err)
	require.NotContains(t, out, "hash")
}

func TestVersionLine(t *testing.T) {
	require.Equal(t, uint64(12), versionOf("// version 12\n{}"))
	require.Zero(t, versionOf("{} // version 12\n"))
}

func TestExitCodes(t *testing.T) {
	one, two := parser.Findings{{Message: "one"}}, parser.Findings{{Message: "two"}}
	all := addFindings(addFindings(nil, one), two)
	require.Equal(t, exitFindings, code(all))
	require.ErrorContains(t, all, "two")
	require.Equal(t, exitStale, code(errors.Wrap(merger.ErrStale, "team")))
	require.Equal(t, exitFailure, code(errors.New("else")))
	require.NoError(t, addFindings(nil, nil))
}
