// Package aggregator counts what a VM sees of each service over the last second and sums the counts of the VMs of a fleet
// by failure domain, so that each VM knows how short of room a service is. It answers load that is spread over many VMs of
// which each sees too few requests to tell. The sums change by differences: a report replaces the last one of its sender.
package aggregator
