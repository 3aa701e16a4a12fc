package batch

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wagtailhoist/core/model"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job model.JobID `cbor:"1,keyasint"`
	// Occurrence counts from 0. It is 0 for a job without due times.
	Occurrence int `cbor:"2,keyasint,omitempty"`
	Step       int `cbor:"3,keyasint,omitempty"`
	Index      int `cbor:"4,keyasint,omitempty"`
}

// String formats the task as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders tasks by job, occurrence, step and index; it returns a negative number, 0 or a positive one.
func (t TaskID) Compare(u TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, u.Job), cmp.Compare(t.Occurrence, u.Occurrence), cmp.Compare(t.Step, u.Step), cmp.Compare(t.Index, u.Index),
	)
}

// ParseTaskID parses the text that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("parse task ID %q: got %d parts separated by dots, want 4", s, len(parts))
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("parse task ID %q: part %q is not a number of 0 or more", s, part)
		}
		numbers[i] = n
	}
	return TaskID{model.JobID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Phase is the state of a task.
type Phase uint8

// Phases of a task.
const (
	// TaskWaiting is a task without a run.
	TaskWaiting Phase = iota
	// TaskPlaced is a task with a run that is assigned to a worker and may be running there.
	TaskPlaced
	// TaskDone is a task with a run that ended successfully.
	TaskDone
	// TaskFailed is a task that has failed as often as its queue allows.
	TaskFailed
)

// Task is the stored progress of a task that has been placed at least once.
type Task struct {
	Occurrence int   `cbor:"1,keyasint,omitempty"`
	Step       int   `cbor:"2,keyasint,omitempty"`
	Index      int   `cbor:"3,keyasint,omitempty"`
	Phase      Phase `cbor:"4,keyasint,omitempty"`
	// Run is the number of the last run; runs are numbered from 1.
	Run int `cbor:"5,keyasint,omitempty"`
	// Worker is the incarnation to which the run of a placed task is assigned.
	Worker   string `cbor:"6,keyasint,omitempty"`
	Failures int    `cbor:"7,keyasint,omitempty"`
	// Checkpoint is where the next run resumes; empty means from the beginning.
	Checkpoint string `cbor:"8,keyasint,omitempty"`
	// Started reports whether a worker has listed any run of the task as running.
	Started bool `cbor:"9,keyasint,omitempty"`
	// RunTime is how long the run of a done task took; 0 if its owner didn't see all of it.
	RunTime time.Duration `cbor:"10,keyasint,omitempty"`
}

// Progress is the stored progress of a job.
type Progress struct {
	// Tasks holds the tasks that have been placed at least once.
	Tasks []Task `cbor:"1,keyasint,omitempty"`
	// Outcome is the job's final state, empty until the job has ended.
	Outcome State `cbor:"2,keyasint,omitempty"`
	// Ended is when the job ended, in milliseconds since 1970.
	Ended int64 `cbor:"3,keyasint,omitempty"`
}

// Started reports whether any task has started.
func (p *Progress) Started() bool {
	if p == nil {
		return false
	}
	for i := range p.Tasks {
		if t := &p.Tasks[i]; t.Started || t.Phase == TaskDone || t.Failures > 0 {
			return true
		}
	}
	return false
}

// MaxValueBytes is the size in bytes of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Encode returns the stored form of the progress, and how many checkpoints it leaves out so that it has at most limit bytes: those of placed
// tasks first, which their workers list again, and then all others. A task without a checkpoint begins anew. The form may still be longer.
func (p *Progress) Encode(limit int) (value []byte, omitted int, err error) {
	for _, keeps := range []func(*Task) bool{
		func(*Task) bool { return true },
		func(t *Task) bool { return t.Phase != TaskPlaced },
		func(*Task) bool { return false },
	} {
		stored := *p
		stored.Tasks = slices.Clone(p.Tasks)
		omitted = 0
		for i := range stored.Tasks {
			if t := &stored.Tasks[i]; t.Checkpoint != "" && !keeps(t) {
				t.Checkpoint = ""
				omitted++
			}
		}
		if value, err = Encode(&stored); err != nil || len(value) <= limit {
			break
		}
	}
	return value, omitted, err
}

// State is the state of a job as shown to callers.
type State string

// States of a job.
const (
	JobQueued    State = "queued"
	JobRunning   State = "running"
	JobCompleted State = "completed"
	JobFailed    State = "failed"
	JobCancelled State = "cancelled"
)
