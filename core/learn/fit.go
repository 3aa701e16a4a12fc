package learn

import (
	"cmp"
	"math"
	"slices"
)

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
