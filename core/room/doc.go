// Package room forecasts when waiting work could start at the earliest, and decides from that which jobs an entry refuses for lack of
// capacity.
//
// The forecast for a size of tasks places the waiting work that comes before such tasks, in the scheduler's order, each task as soon as
// the sum of the free capacity of a service's workers has room for it and not before the one ahead of it. Only work counts that has room
// wherever a task of that size has it: the scheduler backfills, and places other work later if it finds no room. Fragmentation of the free
// capacity and work that arrives later only make the start later, so that the forecast is a lower bound for a placement in order.
//
// The package has no goroutines, clock, input or output; the time is an argument.
package room
