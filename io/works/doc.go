// Package works is the client of the platform's worker service: workers, tasks and the leases that tasks run under.
package works
