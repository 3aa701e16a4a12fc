package batch

import (
	"time"

	"wagtailhoist/core/model"
)

// Amount is a quantity of each resource of a worker.
type Amount struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// Memory is in MB.
	Memory int64 `cbor:"2,keyasint,omitempty"`
	// GPU is the number of accelerators.
	GPU int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

// Sub returns a minus b; the result may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// Contains reports whether a is at least b in each resource.
func (a Amount) Contains(b Amount) bool {
	return a.CPU >= b.CPU && a.Memory >= b.Memory && a.GPU >= b.GPU
}

// coresPerGPU is the number of cores for which users pay as much as for one accelerator.
const coresPerGPU = 8

// Cores returns the amount in cores, with each accelerator counted at its price in cores. It is used to compare work.
func (a Amount) Cores() float64 { return float64(a.CPU)/1000 + float64(a.GPU*coresPerGPU) }

// Step is a group of equal tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is the resource request of each task.
	Need Amount `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of the steps whose tasks must all be done before this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports whether a restarted task resumes from its last checkpoint.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang requires that all tasks of the step run at the same time.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal marks tasks that run slower when they are spread over several racks.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have; empty allows any worker.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the tasks' data, empty if none.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the step's tasks of one occurrence on a worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows several runs of a task at the same time. The scheduler doesn't use it.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the image of the tasks.
	Image string `cbor:"13,keyasint,omitempty"`
	// MaxTailLatency limits a long-running task's tail latency; 0 means no limit.
	MaxTailLatency time.Duration `cbor:"14,keyasint,omitempty"`
	// CPUExempt excludes the tasks' CPU request from the worker's capacity.
	CPUExempt bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks the system may stop at a time; nil means any number. The scheduler
	// preempts none of them unless it is nil, whatever the number.
	MaxUnavailable *int `cbor:"16,keyasint,omitempty"`
}

// Allocation returns the part of a worker's capacity that a task of the step takes.
func (s *Step) Allocation() Amount {
	need := s.Need
	if s.CPUExempt {
		need.CPU = 0
	}
	return need
}

// Job is a submitted job. It doesn't change after it was accepted.
type Job struct {
	ID    model.JobID `cbor:"1,keyasint"`
	Queue string      `cbor:"2,keyasint"`
	Team  model.Team  `cbor:"3,keyasint"`
	// Spec is passed unread to the worker with the start of each task.
	Spec  string `cbor:"4,keyasint,omitempty"`
	Steps []Step `cbor:"5,keyasint"`
	// Repeats is the number of occurrences of a job with due times, 0 for a job that runs once.
	Repeats int `cbor:"6,keyasint,omitempty"`
	// Start is the due time of the first occurrence, in milliseconds since 1970.
	Start int64 `cbor:"7,keyasint,omitempty"`
	// Interval is the time between two occurrences, in milliseconds.
	Interval int64 `cbor:"8,keyasint,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since 1970 by the accepting entry's clock.
	Accepted int64 `cbor:"9,keyasint"`
	// QueueConfig is the queue as declared when the job was accepted. It applies once the queue is no longer declared.
	QueueConfig Queue `cbor:"10,keyasint"`
}

// Timed reports whether the job's occurrences have due times.
func (j *Job) Timed() bool { return j.Repeats > 0 || j.Start > 0 }

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeats) }

// Due returns when an occurrence may start. Without due times that is 1970.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Timed() {
		return time.UnixMilli(0)
	}
	return time.UnixMilli(j.Start + int64(occurrence)*j.Interval)
}

// CriticalPath returns the estimated run time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	return j.LongestChain(func(step int) time.Duration { return j.Steps[step].Estimate })
}

// LongestChain returns the duration of the longest chain of dependent steps, where duration gives that of a step.
func (j *Job) LongestChain(duration func(step int) time.Duration) time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, predecessor := range j.Steps[i].After {
			start = max(start, finish[predecessor])
		}
		finish[i] = start + duration(i)
		longest = max(longest, finish[i])
	}
	return longest
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Queue is the declaration of a job queue.
type Queue struct {
	Name string `cbor:"1,keyasint"`
	// Service is the service whose workers run the queue's jobs.
	Service string `cbor:"2,keyasint"`
	// Priority 0 is the highest and may preempt the others.
	Priority int `cbor:"3,keyasint"`
	// MaxAttempts is the number of failures of a task at which its job fails.
	MaxAttempts int `cbor:"4,keyasint"`
	// Stretch is the factor on the critical path in a job's latency objective; see Objective.
	Stretch float64 `cbor:"5,keyasint"`
	// Target is the constant part of a job's latency objective.
	Target time.Duration `cbor:"6,keyasint"`
	// Public allows requests without an API key, and lets every caller read the jobs of all teams.
	Public bool `cbor:"7,keyasint,omitempty"`
	// RequiresTicket restricts each step to workers for which the advice service has issued a ticket.
	RequiresTicket bool `cbor:"8,keyasint,omitempty"`
}

// Objective returns the latency objective of a job with the given critical path, from its submission or due time to its
// completion: Stretch times its critical path, plus Target.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Target
}

// Team is the declaration of a team.
type Team struct {
	Name model.Team
	// Guarantee is the number of accelerators that the team's jobs of priority 0 can claim at any time.
	Guarantee int64
}

// Policy holds the declared queues and teams.
type Policy struct {
	Queues map[string]Queue
	Teams  map[model.Team]Team
}

// QueueFor returns the queue of a job as it is declared now, or as of the job's acceptance if it is no longer declared.
func (p *Policy) QueueFor(j *Job) Queue {
	if q, ok := p.Queues[j.Queue]; ok {
		return q
	}
	return j.QueueConfig
}
