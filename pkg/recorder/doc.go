// Package recorder keeps the records that let a request with an idempotency
// key run at most once, whichever VMs its attempts come through.
//
// Each key has two holders, in different failure domains, placed by the fleet
// map. An attempt runs only if both holders recorded it as new. A holder that
// the map newly names first copies the records of an earlier holder, and
// answers only once it has them or no earlier holder is left.
package recorder
