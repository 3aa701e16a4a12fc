// Package config decides which revision of the configuration a process stores, puts in force and reports as confirmed.
//
// Revisions reach a process from the store and from linked peers. State applies these inputs and returns effects for the
// process to carry out; it does no I/O. A starting process puts the revision in force that the store or all reachable peers
// report as the highest. A running process puts a higher revision in force once the store or a quorum of peers has it, and
// never reverts to a lower one. The revision in force is confirmed once the store is known to contain it.
package config
