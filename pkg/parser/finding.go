package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a document; both parts count from one, the column in bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// Finding is something wrong with a document.
type Finding struct {
	File string `json:"file"`
	Position
	// Path names the value, its parts joined by dots.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: path: message.
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Path != "" {
		s += f.Path + ": "
	}
	return s + f.Message
}

// Findings is an error that holds all findings of a document.
type Findings []Finding

// Error returns the findings, one a line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings in order of place as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}
