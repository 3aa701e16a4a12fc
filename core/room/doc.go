// Package room forecasts when waiting work could start at the earliest, and decides from that which jobs an entry refuses for lack of
// capacity.
//
// The forecast places the waiting work in the scheduler's order, each task as soon as the sum of the free capacity of a service's workers
// has room for it and not before the one ahead of it. Fragmentation of the free capacity, gangs that wait for all their members, and work
// that arrives later only make the start later, so that the forecast is a lower bound for a placement in order. The scheduler also
// places work for which there is room before work for which there is none; where the latter never finds room, what follows may start
// earlier than the forecast.
//
// The package has no goroutines, clock, input or output; the time is an argument.
package room
