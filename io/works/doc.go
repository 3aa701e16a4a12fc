// Package works is the client of the platform's worker service, which lists the workers and runs tasks on them. Tasks run under
// leases, which the package calls grants to tell them from the leases of the store.
package works
