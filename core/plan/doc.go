// Package plan decides where jobs run: guarantees, gangs, reservations, defragmentation and the
// attribution of failures. It has no sockets, goroutines or clock; the present time is an argument.
//
// # Use by a controller
//
// A State holds everything that a decision depends on, and encodes as CBOR or JSON. The controller
// owns one State per cell and repeats these steps:
//
//  1. Pass what happened to State.Apply, as many events at a time as have arrived. Apply also moves
//     anchors, so that the guarantees are feasible again when it returns. Reported carries the usage
//     of an interval, also an empty one: that is how Apply learns that reports have ceased.
//  2. Call Decide. It reads the State, leaves it unchanged, and returns the actions, a Reason for
//     each job that waits, the shortfalls, and the time at which to decide again without an event.
//  3. Write the actions to the plan, then pass them to State.Accept. Accept drops the actions that
//     events since the decision have overtaken (a job cancelled, a worker lost) and returns the
//     actions that remain. Only these may be carried out.
//  4. Carry them out and report the result as events: Started when every task of a gang is
//     released, Stopped when every task has gone, Finished, Failed with the worker at fault.
//
// Actions:
//
//   - Start runs a gang on Slots. Run counts the starts of the job, for task identifiers.
//   - Checkpoint saves the work of a job and then stops it; the job goes back to the queue.
//   - Stop ends a job; it goes back to the queue unless it was cancelled.
//   - Move checkpoints a job that is started again on Slots. The controller carries it out like
//     Checkpoint; a Start follows after the Stopped event.
//   - Reserve and Anchor only change the State and need no command.
//
// A State is not safe for concurrent use. Clone returns a copy that shares the jobs, which are
// never changed in place; it is cheap enough to hand one to each query.
package plan
