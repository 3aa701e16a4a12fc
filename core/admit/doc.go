// Package admit decides whether a request runs at once, waits in the queue of its team or is refused.
package admit
