// Package jobs takes callers' jobs at an entry: it stores them before it accepts them, and reads and cancels them.
package jobs
