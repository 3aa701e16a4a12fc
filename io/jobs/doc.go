// Package jobs submits, reads and cancels callers' jobs at an entry. A job is stored before its caller is told that it is
// accepted.
package jobs
