// Package learn predicts how long tasks run from the run times of earlier tasks and from the estimates of callers.
//
// A Model holds, for each queue, a line that gives the expected logarithm of the run time from that of the estimate, how far
// the run times of each team, image and kind of worker are off that line, and how widely they spread around what was expected.
// What is known of a team counts in proportion to how certain it is (shrinkage); the rest is taken from the queue, and without any
// samples from the estimate. The line of a queue is a robust mean over its teams, so that false estimates of one team hardly change it.
//
// All times are compared as natural logarithms of seconds: x is that of an estimate, y that of a run time, and z the logarithm of actual by
// expected run time. Record compares a run with what was expected of it (Predict), adds z to the spreads, and fits the line again.
//
//   - model.go: the samples and what is kept of them; Record
//   - fit.go: the line of a queue from those of its teams
//   - hist.go: the spread, as a histogram of z
//   - predict.go: expected run times, quantiles and remaining times
//   - bound.go: at most so many queues, teams, images and kinds; the least recently used are replaced
//   - codec.go: the encoded form for the store
//
// The package has no goroutines, clock, input or output. A Model isn't safe for concurrent use.
package learn
