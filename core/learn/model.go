package learn

import (
	"cmp"
	"maps"
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

// value returns the part of a deviation that is certain, given the mean of the deviations of its sort and the variance of a
// sample. A deviation that may be chance counts little, and the only one of its sort nothing: it is that of the team or queue.
func (d *deviation) value(mean, variance float64) float64 {
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

// known returns a name, or an empty string for one that isn't told apart.
func known(name string) string {
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
	t := m.team(q, known(k.Team))
	q.add(t, z, weight, s.Censored, &distribution)
	residual := clamp(y-p.center, maxResidual*(1+firstSamples/(t.samples+1)))
	if image := known(k.Image); image != "" {
		m.image(t, image).add(residual+p.imageShift, weight)
		t.imageMean = meanDeviation(t.images)
	}
	if kind := known(k.Kind); kind != "" {
		m.kind(q, kind).add(residual+p.kindShift, weight)
		q.kindMean = meanDeviation(q.kinds)
	}
	// The means are of run times on all kinds of workers and of all images: their shifts stay in.
	t.add(x, p.center+residual, weight)
	q.fit()
}

// minRuledOut is the share of run times that a stopped run must rule out to be recorded. One that is stopped or fails sooner
// says next to nothing, and would only repeat what is expected.
const minRuledOut = 0.1

// add adds by how much a run is off what was expected to the spreads of the queue and the team.
func (q *queue) add(t *team, z, weight float64, censored bool, distribution *histogram) {
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

// add adds the logarithms of an estimate and a run time.
func (t *team) add(x, y, weight float64) {
	if t.samples >= maxSamples {
		const keep = (maxSamples - 1.0) / maxSamples
		t.samples *= keep
		t.sumXX *= keep
		t.sumXY *= keep
	}
	t.samples += weight
	dx := x - t.meanX
	t.meanX += dx * weight / t.samples
	t.meanY += (y - t.meanY) * weight / t.samples
	t.sumXX += weight * dx * (x - t.meanX)
	t.sumXY += weight * dx * (y - t.meanY)
}

// teamValue is a figure of a team with its weight.
type teamValue struct{ value, weight float64 }

// fit determines the line of the queue from the samples of its teams. Each team counts for the same at most, however many
// samples it has and however far its run times are off its estimates.
func (q *queue) fit() {
	values := make([]teamValue, 0, len(q.teams))
	for _, t := range q.order {
		values = append(values, teamValue{t.sumXX, min(t.samples, maxTeamWeight)})
	}
	limit := math.Inf(1)
	if len(values) > 2 {
		limit = weightedMedian(values)
	}
	sumXX, sumXY, weights, pivot := priorSlope, priorSlope, 0.0, 0.0
	for _, t := range q.order {
		part := 1.0
		if t.sumXX > limit {
			part = limit / t.sumXX
		}
		sumXX += part * t.sumXX
		sumXY += part * t.sumXY
		weight := min(t.samples, maxTeamWeight)
		weights += weight
		pivot += weight * t.meanX
	}
	q.slope = sumXY / sumXX
	q.pivot = pivot / weights
	values = values[:0]
	for _, t := range q.order {
		values = append(values, teamValue{t.meanY - q.slope*(t.meanX-q.pivot), min(t.samples, maxTeamWeight)})
	}
	q.level = robustMean(values)
}

// weightedMedian returns the weighted median of values, which it sorts.
func weightedMedian(values []teamValue) float64 {
	slices.SortFunc(values, func(a, b teamValue) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight))
	})
	half := 0.0
	for _, v := range values {
		half += v.weight / 2
	}
	for i, v := range values {
		if half -= v.weight; half < 0 {
			return v.value
		} else if half == 0 && i+1 < len(values) {
			return (v.value + values[i+1].value) / 2
		}
	}
	return values[len(values)-1].value
}

// robustMean returns the mean of values, each of which moves it by a bounded distance from their median.
func robustMean(values []teamValue) float64 {
	median := weightedMedian(values)
	sum, weights := 0.0, 0.0
	for _, v := range values {
		sum += v.weight * clamp(v.value-median, maxShift)
		weights += v.weight
	}
	return median + sum/weights
}

// queue returns what is known of a queue, which is added if necessary.
func (m *Model) queue(name string) *queue {
	q := m.queues[name]
	if q == nil {
		if m.queues == nil {
			m.queues = map[string]*queue{}
		}
		if len(m.queues) >= maxQueues {
			m.deleteQueue(oldest(m.queues, func(q *queue) uint64 { return q.used }))
		}
		q = &queue{teams: map[string]*team{}, kinds: map[string]*deviation{}, variance: priorSpread * priorSpread, slope: 1}
		m.queues[name] = q
	}
	q.used = m.uses
	return q
}

func (m *Model) deleteQueue(name string) {
	q := m.queues[name]
	for id := range q.teams {
		m.deleteTeam(q, id)
	}
	delete(m.queues, name)
}

func (m *Model) deleteTeam(q *queue, name string) {
	m.teams--
	t := q.teams[name]
	m.images -= len(t.images)
	delete(q.teams, name)
	q.order = slices.DeleteFunc(q.order, func(other *team) bool { return other == t })
}

// team returns what is known of a team in a queue. It is added if necessary, in place of the least recently used one if there
// are too many.
func (m *Model) team(q *queue, name string) *team {
	t := q.teams[name]
	if t == nil {
		if m.teams >= maxTeams {
			m.evictTeam()
		}
		t = &team{}
		q.teams[name] = t
		q.order = append(q.order, t)
		m.teams++
	}
	t.used = m.uses
	return t
}

// evictTeam deletes the least recently used team of all queues.
func (m *Model) evictTeam() {
	var from *queue
	var name string
	for _, id := range slices.Sorted(maps.Keys(m.queues)) {
		q := m.queues[id]
		if len(q.teams) == 0 {
			continue
		}
		team := oldest(q.teams, func(t *team) uint64 { return t.used })
		if from == nil || q.teams[team].used < from.teams[name].used {
			from, name = q, team
		}
	}
	m.deleteTeam(from, name)
}

// image returns what is known of an image of a team. It is added if necessary, in place of the least recently used one of the
// team if there are too many in all. Each team may have one, so that there are at most maxImages + maxTeams.
func (m *Model) image(t *team, name string) *deviation {
	d := t.images[name]
	if d == nil {
		if t.images == nil {
			t.images = map[string]*deviation{}
		}
		if m.images >= maxImages && len(t.images) > 0 {
			delete(t.images, oldest(t.images, func(d *deviation) uint64 { return d.used }))
			m.images--
		}
		d = &deviation{}
		t.images[name] = d
		m.images++
	}
	d.used = m.uses
	return d
}

// kind returns what is known of a kind of worker in a queue, which is added if necessary.
func (m *Model) kind(q *queue, name string) *deviation {
	d := q.kinds[name]
	if d == nil {
		if len(q.kinds) >= maxKinds {
			delete(q.kinds, oldest(q.kinds, func(d *deviation) uint64 { return d.used }))
		}
		d = &deviation{}
		q.kinds[name] = d
	}
	d.used = m.uses
	return d
}

// oldest returns the name of the element that was used least recently, and of those the first by name.
func oldest[T any](all map[string]T, used func(T) uint64) string {
	best, found := "", false
	for name, v := range all {
		if !found || used(v) < used(all[best]) || used(v) == used(all[best]) && name < best {
			best, found = name, true
		}
	}
	return best
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
		list = append(list, QueueSummary{name, math.Exp(q.drawn(q.level, q.pivot) - q.pivot), math.Exp(high - low), q.samples})
	}
	slices.SortFunc(list, func(a, b QueueSummary) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}
