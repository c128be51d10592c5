// Package chooser makes the random choices of randomized tests, drawn by a property-testing
// library or generated from a fixed seed.
package chooser
