// Package sched schedules jobs in cells. It runs the state machine of core/cell for each cell, carries out its effects at
// the store and the worker service, and gets the scheduling decisions from core/plan.
//
// A cell is a group of workers, by default those of a data centre, that is scheduled by one owner at a time. Every process
// with a Sched contends for the ownership of each cell that the worker service lists. The keys of a cell in the store are
//
//	cells/<cell>/owner      the owner and its epoch, under the owner's lease
//	cells/<cell>/plan/base  the plan up to some revision
//	cells/<cell>/plan/log   the changes since that revision
package sched
