package alloc

import (
	"math"
	"time"

	"wagtailhoist/core/batch"
)

const (
	// priorSamples is the number of samples that the caller's estimate counts as.
	priorSamples = 2
	// priorSlope is the weight of the expectation that run times are proportional to the estimates, in squared logarithms.
	priorSlope = 0.5
	// maxSamples bounds the weight of what was learned, so that later run times count more than earlier ones.
	maxSamples = 200
	// maxEstimateError bounds a sample: a run that took longer or shorter by more was disturbed.
	maxEstimateError = 20
	// minRunTime is the shortest run time that is told apart; lists of runs aren't more exact.
	minRunTime = 50 * time.Millisecond
)

// runTimes learns from completed runs how long the tasks of each queue run. It is for callers whose estimates are wrong by up
// to ten times, and in one direction: objectives, order, reservations and preemption all depend on the run time.
type runTimes map[string]*regression

// regression is a regression of the logarithm of the run time on that of the estimate.
type regression struct{ n, sumX, sumY, sumXX, sumXY float64 }

// add adds the run time of a task.
func (r *regression) add(estimate, actual time.Duration) {
	if r.n >= maxSamples {
		keep := (maxSamples - 1.0) / maxSamples
		r.n, r.sumX, r.sumY, r.sumXX, r.sumXY = r.n*keep, r.sumX*keep, r.sumY*keep, r.sumXX*keep, r.sumXY*keep
	}
	x, y := logTime(estimate), logTime(actual)
	y = max(x-math.Log(maxEstimateError), min(x+math.Log(maxEstimateError), y))
	r.n++
	r.sumX += x
	r.sumY += y
	r.sumXX += x * x
	r.sumXY += x * y
}

// predict returns the expected run time of a task.
func (r *regression) predict(estimate time.Duration) time.Duration {
	if r == nil || r.n == 0 || estimate <= 0 {
		return estimate
	}
	x := logTime(estimate)
	meanX, meanY := r.sumX/r.n, r.sumY/r.n
	slope := (r.sumXY - r.n*meanX*meanY + priorSlope) / (r.sumXX - r.n*meanX*meanX + priorSlope)
	y := meanY + slope*(x-meanX)
	y = (r.n*y + priorSamples*x) / (r.n + priorSamples)
	y = max(x-math.Log(maxEstimateError), min(x+math.Log(maxEstimateError), y))
	return time.Duration(math.Exp(y) * float64(time.Second))
}

func logTime(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// record adds the run time of a task that has just ended, unless another one of its step was recorded before: the tasks of a
// step run equally long, and have the same error of the estimate.
func (r runTimes) record(j *job, t *task) {
	for _, other := range j.stepTasks(t.Occurrence, t.Step) {
		if other != t && other.RunTime > 0 {
			return
		}
	}
	r.add(j, t)
}

// recordStored adds the stored run times of a job, one for each step.
func (r runTimes) recordStored(j *job) {
	for occurrence := range j.job.Occurrences() {
		for step := range j.job.Steps {
			for _, t := range j.stepTasks(occurrence, step) {
				if t.RunTime > 0 {
					r.add(j, t)
					break
				}
			}
		}
	}
}

// add adds the run time of a task to its queue.
func (r runTimes) add(j *job, t *task) {
	q := r[j.job.Queue]
	if q == nil {
		q = &regression{}
		r[j.job.Queue] = q
	}
	q.add(j.job.Steps[t.Step].Estimate, t.RunTime)
}

// expectedTime returns the expected run time of a task of a job's step.
func (s *Scheduler) expectedTime(j *batch.Job, step int) time.Duration {
	return s.runTimes[j.Queue].predict(j.Steps[step].Estimate)
}

// criticalPath returns the expected run time of the longest chain of a job's dependent steps.
func (s *Scheduler) criticalPath(j *batch.Job) time.Duration {
	return j.LongestChain(func(step int) time.Duration { return s.expectedTime(j, step) })
}
