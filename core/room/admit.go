package room

import (
	"hash/fnv"
	"maps"
	"math/bits"
	"slices"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

const (
	// TooLateFactor is the multiple of the latency objective after which a job's completion is of no use to its caller. The scheduler
	// uses the same.
	TooLateFactor = 3
	// Validity is how long an entry uses a forecast.
	Validity = 2 * time.Second
	// readmitFactor is the part of the limit below which the forecast must fall before jobs that were refused are admitted again.
	readmitFactor = 0.8
	// minRetry and maxRetry bound the time after which a refused caller may return.
	minRetry, maxRetry = time.Second, 30 * time.Second
	// maxRefusing bounds the kinds of jobs that are remembered as refused. Queues are few, and limits are told apart by a factor of two.
	maxRefusing = 1024
)

// Request is what an entry knows of a job that may be refused.
type Request struct {
	Job      model.JobID
	Team     model.Team
	Queue    string
	Priority int
	// Sizes are those of the steps that depend on no other.
	Sizes     []Size
	Objective time.Duration
	// Limit is the time in which one of these tasks must start so that the job's completion is of use.
	Limit time.Duration
}

// NewRequest returns the request of a job that is being submitted, and whether the job may be refused at all. guarantee is the number
// of accelerators that its team is guaranteed, expected returns the expected run time of a task of a step.
func NewRequest(j *batch.Job, guarantee int64, expected func(step int) time.Duration) (Request, bool) {
	q := &j.QueueConfig
	if j.Timed() || j.LongRunning() || q.Priority == 0 && guarantee > 0 || q.Stretch <= 0 && q.Target <= 0 {
		return Request{}, false
	}
	path := j.LongestChain(expected)
	objective := q.Objective(path)
	r := Request{
		Job: j.ID, Team: j.Team, Queue: q.Name, Priority: q.Priority, Objective: objective, Limit: TooLateFactor*objective - path,
	}
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			w := Work{Need: j.Steps[i].Allocation(), Count: j.Steps[i].Count, Gang: j.Steps[i].Gang}
			r.Sizes = append(r.Sizes, w.size())
		}
	}
	// A job that can't be in time even if it starts at once isn't refused for lack of capacity.
	return r, r.Limit > 0
}

// Admission decides at an entry which jobs are refused. The zero value has no forecast and accepts all. It isn't safe for concurrent
// use.
type Admission struct {
	forecast Forecast
	// arrived is when the forecast arrived, zero without one; madeAt is a time at or before which it was made.
	arrived, madeAt time.Time
	// refusing holds the kinds of jobs that are refused, with the smallest limit of those refused.
	refusing map[kind]time.Duration
}

// kind is a queue and the class of the limit. Jobs of different limits are refused at different times, so that each class is
// admitted again by itself.
type kind struct {
	queue string
	class int
}

func (r *Request) kind() kind {
	return kind{r.Queue, bits.Len64(uint64(max(0, r.Limit.Milliseconds())))}
}

// Refusal says why a job is refused.
type Refusal struct {
	// Wait is the forecast of the time until the start, Limit the time in which the job must start.
	Wait, Limit time.Duration
	// RetryAfter is the time after which the caller may return.
	RetryAfter time.Duration
}

// Update takes over a forecast that has arrived at now in the answer to a call that was sent at sent. fence is that of the owner that
// the entry knows; forecasts of others, and older ones than the present forecast, are ignored. It reports whether the forecast is used.
func (a *Admission) Update(now, sent time.Time, f Forecast, fence uint64) bool {
	if f.Fence != fence || fence == 0 || f.Fence == a.forecast.Fence && f.Number < a.forecast.Number {
		return false
	}
	if f.Fence != a.forecast.Fence {
		a.refusing = nil
	}
	maps.DeleteFunc(a.refusing, func(k kind, _ time.Duration) bool { return !f.concerns(k.queue) })
	// The call reached the owner after it was sent, so that the forecast was made after sent less its age then.
	a.forecast, a.arrived, a.madeAt = f, now, sent.Add(-f.Age)
	return true
}

// Age returns how old the forecast in use is, and whether there is one.
func (a *Admission) Age(now time.Time, fence uint64) (time.Duration, bool) {
	if !a.valid(now, fence) {
		return 0, false
	}
	return now.Sub(a.madeAt), true
}

// valid reports whether the forecast may be used.
func (a *Admission) valid(now time.Time, fence uint64) bool {
	return !a.arrived.IsZero() && fence != 0 && a.forecast.Fence == fence && now.Sub(a.arrived) <= Validity && !now.Before(a.arrived)
}

// Concerns reports whether there is a forecast by which work of a queue has to wait.
func (a *Admission) Concerns(now time.Time, fence uint64, queue string) bool {
	return a.valid(now, fence) && a.forecast.concerns(queue)
}

// concerns reports whether work of a queue has to wait.
func (f *Forecast) concerns(queue string) bool {
	return slices.ContainsFunc(f.Queues, func(q QueueForecast) bool { return q.Name == queue })
}

// Decide returns why a job that arrives now is refused, or false if it is accepted. fence is that of the owner that the entry knows.
func (a *Admission) Decide(now time.Time, fence uint64, r *Request) (Refusal, bool) {
	if !a.valid(now, fence) || len(r.Sizes) == 0 {
		return Refusal{}, false
	}
	wait := time.Duration(-1)
	for _, size := range r.Sizes {
		if w := a.forecast.Wait(r.Queue, size, r.Objective); wait < 0 || w < wait {
			wait = w
		}
	}
	wait = max(0, wait-now.Sub(a.madeAt))
	readmit := func(limit time.Duration) time.Duration { return time.Duration(readmitFactor * float64(limit)) }
	limit, k := r.Limit, r.kind()
	least, refusing := a.refusing[k]
	if refusing {
		limit = readmit(limit)
		if wait <= readmit(least) {
			// Jobs of other limits in the class have room too. Otherwise one with a long limit would end the refusal of all.
			delete(a.refusing, k)
		}
	}
	if wait <= limit {
		return Refusal{}, false
	}
	if a.refusing == nil {
		a.refusing = map[kind]time.Duration{}
	}
	if !refusing {
		least = r.Limit
	}
	if refusing || len(a.refusing) < maxRefusing {
		a.refusing[k] = min(least, r.Limit)
	}
	return Refusal{Wait: wait, Limit: limit, RetryAfter: a.retryAfter(r, wait-readmit(r.Limit))}, true
}

// retryAfter returns when a refused caller may return: when the job would be admitted if nothing more arrived, and up to half as long
// again. Urgent queues and teams that use little return first, and a hash of the ID spreads those that are equal.
func (a *Admission) retryAfter(r *Request, until time.Duration) time.Duration {
	until = min(max(until, minRetry), maxRetry*2/3)
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Job))
	// FNV of similar IDs differs mostly in the low bits.
	hash := float64(h.Sum32()&0xffff) / (1 << 16)
	urgency := float64(r.Priority) / float64(r.Priority+1)
	use := 0.0
	for i := range a.forecast.Teams {
		if a.forecast.Teams[i].Team == r.Team {
			use = a.forecast.Teams[i].Share
		}
	}
	return until + time.Duration(float64(until)/2*(urgency+use+hash)/3)
}
