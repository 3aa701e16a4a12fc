package plan

import (
	"math"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// historySize is the number of run times kept for each class.
	historySize = 32
	// unknownRun is the estimate for a job without declared time or history.
	unknownRun = time.Hour
	// enoughRuns is the number of runs from which the history counts.
	enoughRuns = 4
	// leastRun is the shortest run time expected of a job that has not run yet.
	leastRun = time.Minute
	// overdue is the shortest further time expected of a job that has outlived its estimate.
	overdue = 5 * time.Minute
)

// RunHistory is the run-time history of one class of jobs of a team.
type RunHistory struct {
	// Runs holds the latest run times, oldest first.
	Runs []time.Duration `cbor:"1,keyasint" json:"runs"`
	// Ratios holds run time divided by declared time of the same jobs; 0 if none was declared.
	Ratios []float64 `cbor:"2,keyasint" json:"ratios"`
	// Median is the median of Runs.
	Median time.Duration `cbor:"3,keyasint" json:"median"`
	// Trust is the weight of a declared time against Median, from 0 to 1, by how well the
	// declared times have matched.
	Trust float64 `cbor:"4,keyasint" json:"trust"`
	// Bias is the mean of the logarithms of Ratios.
	Bias float64 `cbor:"5,keyasint" json:"bias"`
}

// pastKey is the key of the history of a job's team and class.
func pastKey(spec model.JobSpec) string { return string(spec.Team) + "/" + spec.Class }

// learn adds the run time of a finished job to the history.
func (s *State) learn(now time.Time, j *Job) {
	ran := max(j.SavedWork+now.Sub(j.Started), time.Second)
	p := s.History[pastKey(j.Spec)]
	ratio := 0.0
	if j.Spec.Estimate > 0 {
		ratio = float64(ran) / float64(j.Spec.Estimate)
	}
	p.Runs = append(slices.Clone(p.Runs), ran)
	p.Ratios = append(slices.Clone(p.Ratios), ratio)
	if over := len(p.Runs) - historySize; over > 0 {
		p.Runs, p.Ratios = p.Runs[over:], p.Ratios[over:]
	}
	p.sum()
	s.History[pastKey(j.Spec)] = p
}

// sum works out the median, and the trust in declared times from the spread of both.
func (h *RunHistory) sum() {
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
	if len(ratios) >= enoughRuns {
		_, spread := moments(logs)
		bias, noise := moments(ratios)
		h.Bias = bias
		h.Trust = spread / max(spread+noise, 1e-9)
	}
}

// moments returns the mean and the variance.
func moments(v []float64) (mean, variance float64) {
	for _, x := range v {
		mean += x / float64(len(v))
	}
	for _, x := range v {
		variance += (x - mean) * (x - mean) / float64(len(v))
	}
	return mean, variance
}

// Estimate returns the expected run time of a new job: the median of the latest runs of its team
// and class, drawn towards the declared time as far as declared times have matched.
func (s *State) Estimate(spec model.JobSpec) time.Duration {
	p := s.History[pastKey(spec)]
	switch {
	case len(p.Runs) < enoughRuns && spec.Estimate > 0:
		return spec.Estimate
	case len(p.Runs) < enoughRuns:
		return unknownRun
	case spec.Estimate <= 0 || p.Trust == 0:
		return p.Median
	}
	own := math.Log(float64(spec.Estimate)) + p.Bias
	return time.Duration(math.Exp((1-p.Trust)*math.Log(float64(p.Median)) + p.Trust*own))
}

// left returns the time that a job is expected to run still after it has run for some time. A
// job that has outlived its estimate is expected to run for half as long again.
func left(estimate, ran time.Duration) time.Duration {
	if ran < estimate {
		return max(estimate-ran, leastRun)
	}
	return max(ran/2, overdue)
}

// remaining returns the expected time that a queued job still has to run.
func (s *State) remaining(j *Job) time.Duration { return left(s.Estimate(j.Spec), j.SavedWork) }
