// Package calls follows calls without an answer, which a worker may still carry out seconds later.
//
// The process that makes calls records the attempts in a Log. A process that orders calls keeps a Doubt for each of them, which the
// reports of the caller's log resolve.
package calls
