// Package sched controls the cells that a process owns: it carries out the effects of core/cell at the store and
// the worker service, and asks core/plan for decisions.
//
// A cell is a data centre. Every process with a Sched contends for the cells that the worker service lists. The
// keys of a cell are
//
//	cells/<cell>/owner      under the owner's lease
//	cells/<cell>/plan/base  the plan up to some revision
//	cells/<cell>/plan/log   the changes since
package sched
