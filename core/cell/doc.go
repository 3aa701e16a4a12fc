// Package cell decides for one cell who owns it, what its plan is, and how the gangs of the plan are started,
// watched and stopped.
//
// # Ownership
//
// A process that wants the cell takes a lease, creates the key of the owner under it, and writes an Owned
// change with the next epoch to the plan. The compare-and-swap of that write is the moment at which it owns the
// cell: two processes can't write the same epoch. It then sends one command with the new epoch to the worker
// service, which fences the commands of earlier owners, and only afterwards reads which tasks exist.
//
// An owner counts its lease from the time at which it sent the renewal. When the lease may have ended it places
// nothing and releases nothing, unless it becomes detached; it goes on renewing the grants of gangs that it has
// seen whole, because the store may be down for everyone, until the worker service fences it.
//
// # Outages of the store
//
// An owner whose lease may have ended, and which finds the store unavailable for renewals and reads, is detached: it
// applies its changes to the plan in memory, and writes them in order under its epoch when the store answers. A
// later owner writes its own epoch first, in which case the changes are dropped; it stops the tasks that the written
// plan doesn't know, and places nothing until they have gone. Contenders that don't know whether the owner's key is
// missing only because of an outage leave the cell to a detached owner for the time that it needs to write.
//
// # Gangs
//
// The tasks of a placement are prepared with share 0 under one grant; when all are confirmed, Released is
// written, and then every share is set to 1. The service has no call that starts several tasks at a time, but
// the end of a grant stops all of its tasks at once, so that is how a gang is stopped.
//
// The grant of a gang is not renewed from its release until all tasks have been seen running, and afterwards
// only on the strength of a list of tasks that is at most one control interval old and shows the gang whole. A
// gang that is not whole therefore ends at the latest one grant ttl plus one control interval after it ceased
// to be whole, whatever happens to its owner.
package cell
