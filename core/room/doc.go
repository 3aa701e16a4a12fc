// Package room forecasts when waiting work could start at the earliest, and decides from that which jobs an entry refuses for lack of
// capacity.
//
// The forecast is a lower bound. It sums the capacity of all workers of a service, so that fragmentation is ignored, and counts as
// ahead of a task only work that is placed first wherever the task could be placed: work of the same or a higher rank that needs at
// most as much of each resource and may run on any worker. Two bounds hold in whatever order such work is started by backfilling; the
// larger one counts:
//
//   - by volume: all work ahead has started when the task starts, so that only what runs at that time may have work left;
//   - by order: tasks of the same need start in their order, each when the capacity for it is free.
//
// The package has no goroutines, clock, input or output; the time is an argument.
package room
