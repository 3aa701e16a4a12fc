// Package tasks stands in for the platform's worker service: workers in racks, tasks under leases, a log of
// every change of a task.
package tasks
