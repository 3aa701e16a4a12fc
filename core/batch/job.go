package batch

import (
	"time"

	"wagtailhoist/core/model"
)

// Amount is a quantity of a worker's resources.
type Amount struct {
	// CPU is in thousandths of a core, Memory in MB.
	CPU    int64 `cbor:"1,keyasint,omitempty"`
	Memory int64 `cbor:"2,keyasint,omitempty"`
	GPU    int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

// Sub returns a without b; it may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// Holds reports whether b fits into a.
func (a Amount) Holds(b Amount) bool {
	return a.CPU >= b.CPU && a.Memory >= b.Memory && a.GPU >= b.GPU
}

// coresPerGPU converts accelerators to cores where work is compared; the users price them so.
const coresPerGPU = 8

// Cores returns the amount as cores, accelerators included.
func (a Amount) Cores() float64 { return float64(a.CPU)/1000 + float64(a.GPU*coresPerGPU) }

// Step is a group of equal tasks of a job.
type Step struct {
	Count int    `cbor:"1,keyasint"`
	Need  Amount `cbor:"2,keyasint"`
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After       []int `cbor:"4,keyasint,omitempty"`
	Checkpoints bool  `cbor:"5,keyasint,omitempty"`
	// Gang tasks run all together or not at all.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack tasks slow each other down on more than one rack.
	OneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have, Rack the rack that holds the data.
	Label string `cbor:"8,keyasint,omitempty"`
	Rack  string `cbor:"9,keyasint,omitempty"`
	// PerWorker bounds the step's tasks of one occurrence on a worker; 0 means no bound.
	PerWorker int `cbor:"10,keyasint,omitempty"`
	// Copies allows several runs of a task at a time.
	Copies bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled and are restarted however they end.
	Lasting bool   `cbor:"12,keyasint,omitempty"`
	Image   string `cbor:"13,keyasint,omitempty"`
	// Tail is the limit of a lasting task's tail latency; 0 means none.
	Tail time.Duration `cbor:"14,keyasint,omitempty"`
	// Fills marks tasks whose processor time isn't counted against a worker.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many lasting tasks the system may take away at a time; nil means any number.
	MayMiss *int `cbor:"16,keyasint,omitempty"`
}

// Taken is the amount that a task of the step occupies on a worker.
func (s *Step) Taken() Amount {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}
	return need
}

// Job is what a caller submitted; it doesn't change after it was accepted.
type Job struct {
	ID    model.JobID `cbor:"1,keyasint"`
	Queue string      `cbor:"2,keyasint"`
	Team  model.Team  `cbor:"3,keyasint"`
	Spec  string      `cbor:"4,keyasint,omitempty"`
	Steps []Step      `cbor:"5,keyasint"`
	// Repeats is the number of occurrences of a job with times, 0 for a job that runs once.
	Repeats int `cbor:"6,keyasint,omitempty"`
	// Start and Interval give the due times of the occurrences, in milliseconds since 1970 and milliseconds.
	Start    int64 `cbor:"7,keyasint,omitempty"`
	Interval int64 `cbor:"8,keyasint,omitempty"`
	// Accepted is the accepting entry's time of day in milliseconds since 1970.
	Accepted int64 `cbor:"9,keyasint"`
	// Terms are the queue's terms when the job was accepted; they hold when the queue is no longer declared.
	Terms Queue `cbor:"10,keyasint"`
}

// Timed reports whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Repeats > 0 || j.Start > 0 }

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// Due returns when occurrence k may begin.
func (j *Job) Due(k int) time.Time {
	if !j.Timed() {
		return time.UnixMilli(0)
	}
	return time.UnixMilli(j.Start + int64(k)*j.Interval)
}

// Chain returns the estimated run time of the longest chain of dependent steps.
func (j *Job) Chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Lasting reports whether a step runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Queue is a declared queue of jobs.
type Queue struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Priority 0 comes first and may preempt the others.
	Priority int `cbor:"3,keyasint"`
	// Attempts is how often a task may fail.
	Attempts int `cbor:"4,keyasint"`
	// Stretch times the longest chain of a job, and Target more, is the job's latency objective.
	Stretch float64       `cbor:"5,keyasint"`
	Target  time.Duration `cbor:"6,keyasint"`
	Public  bool          `cbor:"7,keyasint,omitempty"`
	// Advised queues run a step only on workers for which the advice service gives a ticket.
	Advised bool `cbor:"8,keyasint,omitempty"`
}

// Objective returns the time from submission within which a job should complete.
func (q *Queue) Objective(j *Job) time.Duration {
	return time.Duration(q.Stretch*float64(j.Chain())) + q.Target
}

// Team is a declared team with its guarantee.
type Team struct {
	Name model.Team
	// Guarantee is the number of accelerators that the team's jobs of priority 0 can always claim.
	Guarantee int64
}

// Terms are the declared queues and teams that decisions use.
type Terms struct {
	Queues map[string]Queue
	Teams  map[model.Team]Team
}

// Queue returns the terms of a job: the declared ones, or those it was accepted under.
func (t *Terms) Queue(j *Job) Queue {
	if q, ok := t.Queues[j.Queue]; ok {
		return q
	}
	return j.Terms
}
