package plan

import (
	"math"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// maxRuns is the number of run times kept for each class.
	maxRuns = 32
	// defaultRunTime is the estimate for a job without a declared time or a history.
	defaultRunTime = time.Hour
	// minRuns is the number of runs from which the history is used.
	minRuns = 4
	// minRemaining is the shortest remaining run time of a job that has not exceeded its estimate.
	minRemaining = time.Minute
	// minOverdue is the shortest remaining run time of a job that has exceeded its estimate.
	minOverdue = 5 * time.Minute
)

// RunHistory is the run-time history of one class of jobs of a team.
type RunHistory struct {
	// Runs holds the latest run times, oldest first.
	Runs []time.Duration `cbor:"1,keyasint" json:"runs"`
	// Ratios holds the run time divided by the declared time for each of Runs; 0 if no time was declared.
	Ratios []float64 `cbor:"2,keyasint" json:"ratios"`
	// Median is the median of Runs.
	Median time.Duration `cbor:"3,keyasint" json:"median"`
	// Trust is the weight of a declared time against Median, from 0 to 1. It grows with the accuracy of earlier
	// declared times.
	Trust float64 `cbor:"4,keyasint" json:"trust"`
	// Bias is the mean of the logarithms of Ratios.
	Bias float64 `cbor:"5,keyasint" json:"bias"`
}

// historyKey returns the key of the histories of a job's team and class.
func historyKey(spec model.JobSpec) string { return string(spec.Team) + "/" + spec.Class }

// recordRunTime adds the run time of a finished job to the history.
func (s *State) recordRunTime(now time.Time, j *Job) {
	ran := max(j.SavedWork+now.Sub(j.Started), time.Second)
	h := s.History[historyKey(j.Spec)]
	ratio := 0.0
	if j.Spec.Estimate > 0 {
		ratio = float64(ran) / float64(j.Spec.Estimate)
	}
	h.Runs = append(slices.Clone(h.Runs), ran)
	h.Ratios = append(slices.Clone(h.Ratios), ratio)
	if over := len(h.Runs) - maxRuns; over > 0 {
		h.Runs, h.Ratios = h.Runs[over:], h.Ratios[over:]
	}
	h.summarize()
	s.History[historyKey(j.Spec)] = h
}

// summarize computes Median, Bias and Trust. Trust compares the spread of the run times with that of the ratios of run
// time to declared time.
func (h *RunHistory) summarize() {
	runs := slices.Sorted(slices.Values(h.Runs))
	h.Median = runs[len(runs)/2]
	var logs, ratios []float64
	for i, r := range h.Runs {
		logs = append(logs, math.Log(float64(r)))
		if h.Ratios[i] > 0 {
			ratios = append(ratios, math.Log(h.Ratios[i]))
		}
	}
	h.Trust, h.Bias = 0, 0
	if len(ratios) >= minRuns {
		_, spread := meanAndVariance(logs)
		bias, noise := meanAndVariance(ratios)
		h.Bias = bias
		h.Trust = spread / max(spread+noise, 1e-9)
	}
}

// meanAndVariance returns the mean and the variance of v.
func meanAndVariance(v []float64) (mean, variance float64) {
	for _, x := range v {
		mean += x / float64(len(v))
	}
	for _, x := range v {
		variance += (x - mean) * (x - mean) / float64(len(v))
	}
	return mean, variance
}

// Estimate returns the expected run time of a new job. It is the median of the latest runs of its team and class,
// combined with the declared time by the weight Trust.
func (s *State) Estimate(spec model.JobSpec) time.Duration {
	h := s.History[historyKey(spec)]
	switch {
	case len(h.Runs) < minRuns && spec.Estimate > 0:
		return spec.Estimate
	case len(h.Runs) < minRuns:
		return defaultRunTime
	case spec.Estimate <= 0 || h.Trust == 0:
		return h.Median
	}
	corrected := math.Log(float64(spec.Estimate)) + h.Bias
	return time.Duration(math.Exp((1-h.Trust)*math.Log(float64(h.Median)) + h.Trust*corrected))
}

// remainingTime returns how much longer a job is expected to run that has already run for ran. A job that has exceeded
// its estimate is expected to run for half as long again.
func remainingTime(estimate, ran time.Duration) time.Duration {
	if ran < estimate {
		return max(estimate-ran, minRemaining)
	}
	return max(ran/2, minOverdue)
}

// remaining returns the expected remaining run time of a queued job.
func (s *State) remaining(j *Job) time.Duration {
	return remainingTime(s.Estimate(j.Spec), j.SavedWork)
}
