package pace

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// firstRefusalPause is the pause after the store has refused a record by itself for good. It doubles with each refusal.
	firstRefusalPause = time.Second
	// maxRefusalPause limits the pause.
	maxRefusalPause = time.Minute
)

// Refusals decides how the records of jobs are stored after the store has refused a change with them for good. One that can't be stored must
// not hold up the others. The zero value has no refusals.
type Refusals struct {
	jobs map[model.JobID]refusal
}

// refusal is the state of a record that was in a refused change.
type refusal struct {
	// pause is zero until the record was refused by itself.
	pause   time.Duration
	retryAt time.Time
}

// Refused notes that a change with the records of some jobs was refused. Each of them is then stored by itself, and one that was refused
// by itself after a pause.
func (r *Refusals) Refused(now time.Time, jobs ...model.JobID) {
	if r.jobs == nil {
		r.jobs = map[model.JobID]refusal{}
	}
	for _, id := range jobs {
		f := r.jobs[id]
		if len(jobs) == 1 {
			f.pause = min(max(2*f.pause, firstRefusalPause), maxRefusalPause)
			f.retryAt = now.Add(f.pause)
		}
		r.jobs[id] = f
	}
}

// Any reports whether any record has to be stored by itself.
func (r *Refusals) Any() bool { return len(r.jobs) > 0 }

// Stored notes that a job's record was stored.
func (r *Refusals) Stored(id model.JobID) { delete(r.jobs, id) }

// Separate reports whether a job's record has to be stored by itself.
func (r *Refusals) Separate(id model.JobID) bool {
	_, refused := r.jobs[id]
	return refused
}

// Due reports whether a job's record that has to be stored by itself may be stored now.
func (r *Refusals) Due(now time.Time, id model.JobID) bool {
	return r.Separate(id) && !now.Before(r.jobs[id].retryAt)
}
