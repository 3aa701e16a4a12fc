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

// Contains reports whether b fits into a.
func (a Amount) Contains(b Amount) bool {
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
	// RackLocal says that the tasks slow each other down on more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have, DataRack the rack that holds the data.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	DataRack      string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the step's tasks of one occurrence on a worker; 0 means no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows several runs of a task at a time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// A LongRunning step's tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool   `cbor:"12,keyasint,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty"`
	// MaxTailLatency limits a long-running task's tail latency; 0 means no limit.
	MaxTailLatency time.Duration `cbor:"14,keyasint,omitempty"`
	// CPUExempt marks tasks whose processor time isn't counted against a worker.
	CPUExempt bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks the system may take away at a time; nil means any number.
	MaxUnavailable *int `cbor:"16,keyasint,omitempty"`
}

// Allocation returns the amount that a task of the step occupies on a worker.
func (s *Step) Allocation() Amount {
	need := s.Need
	if s.CPUExempt {
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
	// QueueConfig is the declaration of the queue when the job was accepted; it holds when the queue is no longer declared.
	QueueConfig Queue `cbor:"10,keyasint"`
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

// CriticalPath returns the estimated run time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
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

// LongRunning reports whether a step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
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
	// RequiresTicket says that the queue's steps run only on workers for which the advice service gives a ticket.
	RequiresTicket bool `cbor:"8,keyasint,omitempty"`
}

// Objective returns the time from submission within which a job should complete.
func (q *Queue) Objective(j *Job) time.Duration {
	return time.Duration(q.Stretch*float64(j.CriticalPath())) + q.Target
}

// Team is a declared team with its guarantee.
type Team struct {
	Name model.Team
	// Guarantee is the number of accelerators that the team's jobs of priority 0 can always claim.
	Guarantee int64
}

// Policy holds the declared queues and teams that decisions use.
type Policy struct {
	Queues map[string]Queue
	Teams  map[model.Team]Team
}

// QueueFor returns the queue of a job as it is declared, or as it was when the job was accepted.
func (p *Policy) QueueFor(j *Job) Queue {
	if q, ok := p.Queues[j.Queue]; ok {
		return q
	}
	return j.QueueConfig
}
