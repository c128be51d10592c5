// Package parser decodes JSON with comments into Go values. It reports all
// errors of a document at once, each with its position.
package parser
