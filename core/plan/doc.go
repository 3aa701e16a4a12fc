// Package plan decides where jobs run. It covers gang scheduling, guarantees, preemption, backfill
// around reservations, defragmentation and the attribution of failures. It has no sockets, goroutines
// or clock; the current time is an argument.
//
// # Terms
//
//   - A guarantee is a shape that a team can have within a grace. Its anchor is the place set aside
//     for it on concrete workers. A guarantee without an anchor has a shortfall.
//   - A claim is a job that asks for a guarantee; it runs on the anchor. Other jobs are borrowers: they
//     may use an anchor while it is free and are stopped when it is claimed.
//   - The grace of a job is the time that it needs to stop. A slow job is one that can't be stopped in
//     time for urgent work; the headroom is the capacity that slow jobs must leave for urgent work.
//   - A movable job can be checkpointed within a minute. One rack is kept free of other jobs where possible.
//   - An evacuated data centre gets no new work; jobs that run there go on.
//   - A block is a range of workers within which the adjacency of a shape allows it to be placed.
//
// # Use by a controller
//
// A State holds everything that a decision depends on, and encodes as CBOR or JSON. The controller
// owns one State per cell and repeats these steps:
//
//  1. Pass the events that have arrived to State.Apply, several at a time if possible. Apply also moves
//     anchors that have become infeasible. Pass a Reported event for every interval, even without
//     measurements, so that Apply detects that reports have ceased.
//  2. Call Decide. It leaves the State unchanged and returns the actions, a Reason for each job that
//     waits, the shortfalls, and the time at which to decide again without an event.
//  3. Write the actions to the plan, then pass them to State.Accept. Accept drops the actions that
//     are no longer valid because of later events, such as the cancellation of a job or the loss of
//     a worker, and returns the others. Only these may be carried out.
//  4. Carry them out and report the results as events: Started when every task of a gang is released,
//     Stopped when every task has ended, Finished, or Failed with the worker at fault.
//
// Actions:
//
//   - Start runs a gang on Slots. Run numbers the starts of the job, for task identifiers.
//   - Checkpoint saves the work of a job and then stops it; the job returns to the queue.
//   - Stop ends a job; it returns to the queue unless it was cancelled.
//   - Move checkpoints a job that is then started on Slots. The controller carries it out like
//     Checkpoint; a Start follows after the Stopped event.
//   - Reserve and Anchored only change the State and need no command.
//
// A State is not safe for concurrent use. Clone returns a copy that shares the jobs, which are never
// changed in place, and is cheap enough to be called for each query.
package plan
