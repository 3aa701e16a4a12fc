// Package tasks is a test double of the platform's worker service: workers in racks, tasks that run under grants (task
// leases), and a log of every state change of a task.
package tasks
