// Package sched schedules jobs in cells. It runs the state machine of core/cell for each cell, carries out its effects at
// the store and the worker service, and gets the scheduling decisions from core/plan.
//
// A cell is a group of workers that is scheduled by one owner at a time. It holds the workers of a region, which is the default
// of an entry's settings, or those of a data centre, depending on the stored layout. Every process with a Sched contends for the
// ownership of the cell of each worker that the worker service lists. The keys of a cell in the store are
//
//	cells/<cell>/owner      the owner and its epoch, under the owner's lease
//	cells/<cell>/plan/base  the plan up to some revision
//	cells/<cell>/plan/log   the changes since that revision
package sched
