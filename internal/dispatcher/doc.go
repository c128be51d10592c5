// Package dispatcher runs requests on backend servers.
//
// A group of a service's instances is dispatched for by one VM, which so knows
// the slots in use, holds the one fair queue and sees all evidence of
// sickness. The decisions are made by packages scheduler and detector; this
// package holds the connections.
package dispatcher
