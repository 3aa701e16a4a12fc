// Package conns decides which connection of a listener is closed when the bound on its connections, or on the bytes of their unfinished
// headers, is reached.
//
// A connection waits while no request is in progress on it. Waiting connections can be closed, the one that has waited the longest
// first; one with a request in progress can't. If only few connections wait, these are new ones, and closing them would keep all
// callers from sending a request. Requests in progress are then ended instead.
package conns
