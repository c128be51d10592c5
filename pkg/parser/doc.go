// Package parser reads JSON with comments into Go values and reports everything
// that is wrong with a document at once, each finding with its place.
package parser
