// Package cell implements the scheduling control of one cell as a deterministic state machine. A Cell elects the
// owner of the cell, keeps the durable plan, and starts, checks and stops the gangs of the plan. It does no I/O:
// Step takes an event and returns the calls that the caller has to make.
//
// # Ownership
//
// A process that wants to own the cell takes a lease from the store, creates the owner key under it, and writes an
// OwnerChanged change with the next epoch to the plan. The epoch is the fencing token. The process owns the cell as
// soon as the compare-and-swap of that write has succeeded: two processes can't write the same epoch. It then sends
// one command with the new epoch to the worker service, which from then on fences commands of earlier epochs. Only
// after that does it list the tasks, so that no task of an earlier owner can appear after the list.
//
// An owner counts its lease from the time at which it sent the renewal. Once the lease may have ended, the owner
// starts no placement and releases no gang, unless it is detached (see below). It continues to renew the grants of
// gangs whose tasks it sees running, because the store may be down for every process, until the worker service
// fences it.
//
// # Outages of the store
//
// An owner becomes detached when its lease may have ended and the store answers neither renewals nor reads. A
// detached owner applies its changes to the plan in memory, and writes them in order under its epoch when the store
// answers again. If a later owner writes its own epoch first, these changes are dropped. The later owner stops the
// tasks that the stored plan doesn't contain, and places nothing until they have ended.
//
// After an outage, the owner key may be missing only because its lease couldn't be renewed. A process that can't
// rule this out waits for as long as a detached owner needs to write its changes before it contends for the cell.
//
// # Gangs
//
// A grant is a lease at the worker service: when it ends, all tasks under it are stopped at once. The tasks of a placement
// are prepared under one grant, with share 0, so that they don't run yet. When all of them are confirmed, a JobReleased
// change is written to the plan, and then the share of every task is set to 1. Since the worker service can't start several
// tasks in one call, a gang may run partly while it starts; it is stopped as a whole by ending its grant.
//
// From its release until all of its tasks have been seen running, the grant of a gang is not renewed. Afterwards it is
// renewed only if a list of tasks that is at most one control interval old shows every task of the gang running or
// done. A gang of which only some tasks run therefore ends at the latest one grant TTL plus one control interval after
// this has begun, even if its owner dies.
package cell
