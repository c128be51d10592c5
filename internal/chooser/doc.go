// Package chooser makes the random choices of randomised tests, from a property-testing
// library or from a fixed seed.
package chooser
