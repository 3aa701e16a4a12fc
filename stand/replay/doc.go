// Package replay plays load patterns against the scheduler of batch jobs, without processes and in simulated time, and
// compares the worth that two versions of it earn on the same days.
package replay
