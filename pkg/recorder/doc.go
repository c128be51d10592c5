// Package recorder keeps the records that let a request with an idempotency
// key run at most once, whichever VMs its attempts come through.
//
// Each key has three holders, in different failure domains, placed by the
// fleet map. An attempt runs only if two of them recorded it as new, so one
// lost holder costs nothing and two attempts cannot both run. A holder that
// the map newly names first copies the records of as many earlier holders as
// it takes to have every record that two of them had, and answers only then.
package recorder
