// Package learn predicts how long tasks run from the run times of earlier tasks and from the estimates of callers.
//
// A Model holds, for each queue, a line that gives the expected logarithm of the run time from that of the estimate, how far
// the run times of each team, image and kind of worker are off that line, and how widely they spread around what was expected.
// What is known of a team counts in proportion to how certain it is; the rest is taken from the queue, and without any samples
// from the estimate. The line of a queue is a robust mean over its teams, so that false estimates of one team hardly change it.
//
// The package has no goroutines, clock, input or output. A Model isn't safe for concurrent use.
package learn
