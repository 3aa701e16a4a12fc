// Package owner elects one entry as the owner, which schedules all jobs, and carries out its decisions: it commits
// the jobs' progress to the store and sends start and stop orders to the agents.
package owner
