package learn

import (
	"math"
	"time"
)

// queueWeight is the weight, in samples, that the spread of a queue has beside that of one of its teams.
const queueWeight = 16

// Prediction is what is expected of a task. It is valid until the next call of Record.
type Prediction struct {
	// center is the expected logarithm of the run time in seconds, 0 if nothing is known. imageShift and kindShift are the parts
	// of it that the image and the kind of worker contribute.
	center, imageShift, kindShift float64
	// queue is nil if nothing is known of the queue, team if nothing is known of the team.
	queue *queue
	team  *team
	// estimate is the caller's.
	estimate time.Duration
}

// line returns the logarithm of the run time on the queue's line for that of an estimate.
func (q *queue) line(x float64) float64 { return q.level + q.slope*(x-q.pivot) }

// shrink returns a logarithm of the run time, moved towards that of the estimate: the less is known of the queue, the further.
func (q *queue) shrink(y, x float64) float64 {
	return (q.samples*y + priorSamples*x) / (q.samples + priorSamples)
}

// Predict returns what is expected of a task with a caller's estimate.
func (m *Model) Predict(k Key, estimate time.Duration) Prediction {
	q := m.queues[k.Queue]
	if q == nil || q.samples == 0 || estimate <= 0 {
		return Prediction{estimate: estimate}
	}
	x := logTime(estimate)
	p := Prediction{center: q.line(x), queue: q, estimate: estimate}
	if t := q.teams[k.Team]; t != nil && t.samples > 0 {
		p.team = t
		off := t.meanY - q.line(t.meanX)
		slope := (t.sumXY + priorSlope*q.slope) / (t.sumXX + priorSlope)
		own := t.meanY + slope*(x-t.meanX)
		p.center += certainty(off, t.samples, q.variance) * (own - p.center)
		if k.Image != "" {
			p.imageShift = t.images[k.Image].shrunk(t.imageMean, q.variance)
		}
	}
	if k.Kind != "" {
		p.kindShift = q.kinds[k.Kind].shrunk(q.kindMean, q.variance)
	}
	p.center = x + clamp(q.shrink(p.center, x)+p.imageShift+p.kindShift-x, math.Log(maxError))
	return p
}

// Samples returns the number of samples of the queue.
func (p *Prediction) Samples() float64 {
	if p.queue == nil {
		return 0
	}
	return p.queue.samples
}

// Expected returns the expected run time, which is the caller's estimate if nothing is known.
func (p *Prediction) Expected() time.Duration {
	if p.queue == nil {
		return p.estimate
	}
	return toDuration(p.center)
}

func toDuration(logSeconds float64) time.Duration {
	return time.Duration(math.Exp(logSeconds) * float64(time.Second))
}

// fill sets h to the distribution of the logarithm of actual by expected run time: that of the team, with some of that of its
// queue, and little of the prior.
func (p *Prediction) fill(h *histogram) {
	const priorWeight = float32(priorSamples)
	for i, w := range prior {
		h[i] = priorWeight * w
	}
	if p.queue == nil {
		return
	}
	share := float32(1)
	if p.team != nil && p.queue.weight > queueWeight {
		share = float32(queueWeight / p.queue.weight)
	}
	for i, w := range p.queue.spread {
		h[i] += share * w
	}
	if p.team != nil {
		for i, w := range p.team.spread {
			h[i] += w
		}
	}
}

// Quantile returns the run time that a share of such tasks doesn't exceed, which is the caller's estimate if nothing is known.
func (p *Prediction) Quantile(share float64) time.Duration {
	if p.queue == nil {
		return p.estimate
	}
	var h histogram
	p.fill(&h)
	z, _ := h.quantileAbove(lowest, share)
	return toDuration(p.center + z)
}

// overdueDivisor is the part of its time for which a run goes on that has taken longer than any run that is known.
const overdueDivisor = 4

// Remaining returns the time after which a share of the runs end that have taken elapsed. If nothing is known, it is the rest
// of the caller's estimate, or a part of the elapsed time if that is longer.
func (p *Prediction) Remaining(elapsed time.Duration, share float64) time.Duration {
	if p.queue == nil {
		return max(elapsed/overdueDivisor, p.estimate-elapsed)
	}
	var h histogram
	p.fill(&h)
	z, ok := h.quantileAbove(logTime(elapsed)-p.center, share)
	if !ok {
		return elapsed / overdueDivisor
	}
	return max(0, toDuration(p.center+z)-elapsed)
}

// Remaining returns the time after which a share of the runs of a task end that have taken elapsed.
func (m *Model) Remaining(k Key, estimate, elapsed time.Duration, share float64) time.Duration {
	p := m.Predict(k, estimate)
	return p.Remaining(elapsed, share)
}
