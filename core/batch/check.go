package batch

import "fmt"

const (
	// maxTasks limits the tasks of all occurrences of a job, so that its progress without checkpoints fits into a value of the store (1 MB).
	maxTasks = 8000
	// MaxSteps limits the steps of a job.
	MaxSteps = 256
)

// InvalidError reports the field for which a job is rejected.
type InvalidError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Check returns an InvalidError if a field of the job is invalid.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{"steps", fmt.Sprintf("got %d, allowed 1 to %d", len(j.Steps), MaxSteps)}
	}
	if j.Repeats < 0 || j.Interval < 0 || j.Start < 0 {
		return &InvalidError{"repeats", "repeats, start and interval must not be negative"}
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	if total > maxTasks/j.Occurrences() {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks in all occurrences together", maxTasks)}
	}
	return nil
}

func (s *Step) check(index int) error {
	field := fmt.Sprintf("steps[%d]", index)
	if s.Count < 1 || s.Count > maxTasks {
		return &InvalidError{field + ".count", fmt.Sprintf("got %d, allowed 1 to %d", s.Count, maxTasks)}
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxTailLatency < 0 {
		return &InvalidError{field, "resources, estimate and limits must not be negative"}
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return &InvalidError{field + ".after", fmt.Sprintf("step %d is not an earlier step", predecessor)}
		}
	}
	return nil
}
