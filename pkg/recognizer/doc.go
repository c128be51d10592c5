// Package recognizer recognizes instances that may have started again, and be
// cold, although no registration says so yet: those that answered nobody for a
// while.
//
// The load that it answers: a failure domain comes back at once, its
// instances seem idle to all processes, and each takes only a few requests a
// second until it is warm. Their registrations may be seconds old.
package recognizer
