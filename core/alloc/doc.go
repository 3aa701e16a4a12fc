// Package alloc is the scheduler of batch jobs. It runs in the owner (see package batch) and decides which task runs on
// which worker.
//
// A Scheduler has no goroutines, clock, input or output. The owner passes stored jobs to UpdateJob, reports of agents to
// ApplyReport and answers of the advice service to ApplyAdvice, and calls Plan to place tasks. It then stores the records
// that PendingUpdates returns, confirms them with ConfirmStored, and sends the orders that Orders returns. A run is ordered
// only after the record of its placement is stored, and its end is acknowledged only after the record of the end is
// stored, so that a later owner knows both.
//
// The owner passes the evacuated data centres to SetEvacuated and calls EnforceEvacuation at short intervals. Nothing is placed or
// ordered in them, and what runs there goes on.
//
// Two times are passed to most functions: now is a reading of the owner's boot-time clock, wall is the time of day.
package alloc
