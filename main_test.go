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
	out, err := applyPatch(text, []operation{{"add", f.path(""), map[string]string{}}, {"add", f.path("/phone"), "hash"}})
	require.NoError(t, err)
	require.Contains(t, out, "// The crew.")
	require.Contains(t, out, "// end")
	require.Contains(t, out, `"phone":"hash"`)
	out, err = applyPatch(out, []operation{{Op: "remove", Path: f.path("/phone")}})
	require.NoError(t, err)
	require.NotContains(t, out, "hash")
}

func TestVersionLine(t *testing.T) {
	require.Equal(t, uint64(12), parseVersion("// version 12\n{}"))
	require.Zero(t, parseVersion("{} // version 12\n"))
}

func TestExitCodes(t *testing.T) {
	one, two := parser.Findings{{Message: "one"}}, parser.Findings{{Message: "two"}}
	all := combineErrors(combineErrors(nil, one), two)
	require.Equal(t, exitFindings, exitCode(all))
	require.ErrorContains(t, all, "two")
	require.Equal(t, exitStale, exitCode(errors.Wrap(merger.ErrStale, "team")))
	require.Equal(t, exitFailure, exitCode(errors.New("else")))
	require.NoError(t, combineErrors(nil, nil))
}
