package learn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MinRunTime is the shortest run time that is told apart; lists of runs aren't more exact.
	MinRunTime = 50 * time.Millisecond
	// maxError bounds a sample: a run that took longer or shorter than its estimate by a larger factor was disturbed.
	maxError = 20
	// maxSamples bounds the weight of what was learned, so that later run times count more than earlier ones.
	maxSamples = 200
	// priorSamples is the number of samples that the caller's estimate counts as.
	priorSamples = 2
	// priorSlope is the weight of the expectation that run times are proportional to the estimates, in squared logarithms.
	priorSlope = 0.5
	// maxTeamWeight bounds the weight of a team in the line of its queue, in samples.
	maxTeamWeight = 16
	// maxShift bounds by how much a team moves the line of its queue beyond the median of the teams.
	maxShift = 0.5
	// maxResidual bounds by how far a run is off what was expected, as far as it changes what is expected: a few long runs
	// belong to the spread. The bound is wider by firstSamples by the samples of the team, whose first ones set the level.
	maxResidual, firstSamples = 1.2, 8
	// shrinkage is by how much the square of a deviation must exceed its variance to count half.
	shrinkage = 2
	// maxQueues, maxTeams, maxImages and maxKinds bound the size of a model. Beyond them, the least recently used are replaced.
	maxQueues, maxTeams, maxImages, maxKinds = 32, 400, 400, 8
	// maxName is the length in bytes from which a name isn't told apart.
	maxName = 96
)

// Key says what a task is: nothing is known of an empty field.
type Key struct {
	// Queue and Team are those of the task's job; Image is that of the task's step.
	Queue, Team, Image string
	// Kind is the kind of worker. It is empty for a task that isn't placed.
	Kind string
}

// Sample is what is known of a run that has ended.
type Sample struct {
	// Estimate is the caller's estimate, RunTime the time from the beginning to the end of the run.
	Estimate, RunTime time.Duration
	// Censored marks runs that were stopped or have failed: they would have taken at least RunTime.
	Censored bool
	// Weight is the number of samples that this one counts as. Tasks of a step have the same error of the estimate.
	Weight float64
}

// Model holds what was learned about run times. Its zero value has learned nothing.
type Model struct {
	queues map[string]*queue
	// teams and images count those of all queues.
	teams, images int
	// uses counts the samples.
	uses uint64
}

// queue is what is known of a queue.
type queue struct {
	teams map[string]*team
	// order holds the teams in the order of their first sample: sums in the order of a map would differ from run to run.
	order []*team
	kinds map[string]*deviation
	// samples is the weight of all samples.
	samples float64
	// pivot, level and slope are the line: the logarithm of the run time is level at an estimate of exp(pivot) seconds.
	pivot, level, slope float64
	// variance is that of the logarithms of actual by expected run time, spread their distribution.
	variance float64
	spread   histogram
	// weight is the total of spread. kindMean is the mean deviation of the kinds.
	weight, kindMean float64
	used             uint64
}

// team is what is known of a team in a queue.
type team struct {
	images map[string]*deviation
	// samples is their weight, meanX and meanY are the means of the logarithms of estimates and run times, sumXX and sumXY the
	// sums of the squares and products of the distances from them.
	samples, meanX, meanY, sumXX, sumXY float64
	spread                              histogram
	// imageMean is the mean deviation of the images.
	weight, imageMean float64
	used              uint64
}

// deviation is by how much the logarithms of run times are off what else is expected.
type deviation struct {
	samples, mean float64
	used          uint64
}

// add adds a sample of a deviation.
func (d *deviation) add(z, weight float64) {
	d.samples = min(d.samples+weight, maxSamples)
	d.mean += (z - d.mean) * weight / d.samples
}

// shrunk returns the part of a deviation that is certain, given the mean of the deviations of its sort and the variance of a
// sample. A deviation that may be chance counts little, and the only one of its sort nothing: it is that of the team or queue.
func (d *deviation) shrunk(mean, variance float64) float64 {
	if d == nil {
		return 0
	}
	return (d.mean - mean) * certainty(d.mean-mean, d.samples, variance)
}

// meanDeviation returns the weighted mean of deviations.
func meanDeviation(all map[string]*deviation) float64 {
	if len(all) < 2 {
		for _, d := range all {
			return d.mean
		}
		return 0
	}
	// The sums are in whole units, so that they don't depend on the order of the map.
	const unit = 1 << 20
	var sum, samples int64
	for _, d := range all {
		sum += int64(d.mean * d.samples * unit)
		samples += int64(d.samples * unit)
	}
	return float64(sum) / float64(max(1, samples))
}

// certainty returns the share, from 0 to 1, of a deviation that is the mean of some samples, as far as it exceeds chance.
func certainty(deviation, samples, variance float64) float64 {
	square := deviation * deviation * samples
	if square <= 0 {
		return 0
	}
	return square / (square + shrinkage*variance) * samples / (samples + priorSamples)
}

func logTime(d time.Duration) float64 { return math.Log(max(d, MinRunTime).Seconds()) }

// clamp returns value bounded to limit in either direction.
func clamp(value, limit float64) float64 { return max(-limit, min(limit, value)) }

// distinctName returns a name, or an empty string for one that is too long to be told apart.
func distinctName(name string) string {
	if len(name) > maxName {
		return ""
	}
	return name
}

// Record adds a run that has ended.
func (m *Model) Record(k Key, s Sample) {
	if s.Weight <= 0 || s.Estimate <= 0 || s.RunTime <= 0 || len(k.Queue) > maxName {
		return
	}
	p := m.Predict(k, s.Estimate)
	x, y := logTime(s.Estimate), logTime(s.RunTime)
	if p.queue == nil {
		p.center = x
	}
	y = x + clamp(y-x, math.Log(maxError))
	weight := min(1, s.Weight)
	z := y - p.center
	var distribution histogram
	if s.Censored {
		p.fill(&distribution)
		if distribution.above(z) > (1-minRuledOut)*distribution.total() {
			return
		}
		// The run counts as one that takes as long as those that take longer on average.
		y = p.center + distribution.meanAbove(z)
	}
	m.uses++
	q := m.queue(k.Queue)
	t := m.team(q, distinctName(k.Team))
	q.addResidual(t, z, weight, s.Censored, &distribution)
	residual := clamp(y-p.center, maxResidual*(1+firstSamples/(t.samples+1)))
	if image := distinctName(k.Image); image != "" {
		m.image(t, image).add(residual+p.imageShift, weight)
		t.imageMean = meanDeviation(t.images)
	}
	if kind := distinctName(k.Kind); kind != "" {
		m.kind(q, kind).add(residual+p.kindShift, weight)
		q.kindMean = meanDeviation(q.kinds)
	}
	// The means are of run times on all kinds of workers and of all images: their shifts stay in.
	t.addPoint(x, p.center+residual, weight)
	q.fit()
}

// minRuledOut is the share of run times that a stopped run must rule out to be recorded. One that is stopped or fails sooner
// says next to nothing, and would only repeat what is expected.
const minRuledOut = 0.1

// addResidual adds by how much a run is off what was expected to the spreads of the queue and the team.
func (q *queue) addResidual(t *team, z, weight float64, censored bool, distribution *histogram) {
	q.samples = min(q.samples+weight, maxSamples)
	// The first expectations of a queue are mostly wrong, and say little about the later ones.
	weight *= q.samples / (q.samples + priorSamples)
	const keep = (maxSamples - 1.0) / maxSamples
	if q.weight >= maxSamples {
		q.spread.scale(keep)
		q.weight *= keep
	}
	if t.weight >= maxSamples {
		t.spread.scale(keep)
		t.weight *= keep
	}
	if censored {
		q.spread.addAbove(z, weight, distribution)
		t.spread.addAbove(z, weight, distribution)
	} else {
		q.spread.add(z, weight)
		t.spread.add(z, weight)
	}
	q.weight += weight
	t.weight += weight
	square := min(z*z, maxResidual*maxResidual)
	q.variance += (square - q.variance) * weight / (q.weight + priorSamples)
}

// addPoint adds the logarithms of an estimate and a run time to the line of the team.
func (t *team) addPoint(x, y, weight float64) {
	if t.samples >= maxSamples {
		const keep = (maxSamples - 1.0) / maxSamples
		t.samples *= keep
		t.sumXX *= keep
		t.sumXY *= keep
	}
	t.samples += weight
	dx, dy := x-t.meanX, y-t.meanY
	t.meanX += dx * weight / t.samples
	t.meanY += dy * weight / t.samples
	// The distance from the new mean, dx * (1 - weight / t.samples), isn't taken from the rounded mean: the square would be below zero
	// where rounding puts the mean beyond x.
	rest := weight * max(0, 1-weight/t.samples)
	t.sumXX += rest * dx * dx
	t.sumXY += rest * dx * dy
}

// Changes returns a number that grows with each sample that changes the model.
func (m *Model) Changes() uint64 { return m.uses }

// QueueSummary describes what was learned about a queue.
type QueueSummary struct {
	Queue string
	// Ratio is the expected run time by the estimate, at the mean of the estimates.
	Ratio float64
	// Spread is the quotient of the run times that are exceeded by one in ten and by nine in ten, of tasks with equal
	// expectation.
	Spread float64
	// Samples is the weight of what was learned.
	Samples float64
}

// Summary describes what was learned, by queue.
func (m *Model) Summary() []QueueSummary {
	list := make([]QueueSummary, 0, len(m.queues))
	for name, q := range m.queues {
		if q.samples == 0 {
			continue
		}
		p := Prediction{queue: q}
		var h histogram
		p.fill(&h)
		low, _ := h.quantileAbove(lowest, 0.1)
		high, _ := h.quantileAbove(lowest, 0.9)
		list = append(list, QueueSummary{name, math.Exp(q.shrink(q.level, q.pivot) - q.pivot), math.Exp(high - low), q.samples})
	}
	slices.SortFunc(list, func(a, b QueueSummary) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}
