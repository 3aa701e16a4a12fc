package batch

import "fmt"

const (
	// maxTasks bounds the tasks of all occurrences of a job, so that its progress fits a value of the store (1 MB).
	maxTasks = 8000
	// maxSteps bounds the steps of a job.
	maxSteps = 256
)

// InvalidError reports a job that can't be accepted as it is.
type InvalidError struct{ Field, Reason string }

// Error describes the wrong field.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// Check returns an InvalidError if the job can't be run as described.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return &InvalidError{"steps", fmt.Sprintf("got %d, allowed 1 to %d", len(j.Steps), maxSteps)}
	}
	if j.Repeats < 0 || j.Interval < 0 || j.Start < 0 {
		return &InvalidError{"repeats", "times must not be negative"}
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		total += j.Steps[i].Count
	}
	if total > maxTasks/j.Occurrences() {
		return &InvalidError{"steps", fmt.Sprintf("more than %d tasks", maxTasks)}
	}
	return nil
}

func (s *Step) check(number int) error {
	field := fmt.Sprintf("steps[%d]", number)
	if s.Count < 1 || s.Count > maxTasks {
		return &InvalidError{field + ".count", fmt.Sprintf("got %d, allowed 1 to %d", s.Count, maxTasks)}
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxTailLatency < 0 {
		return &InvalidError{field, "amounts must not be negative"}
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return &InvalidError{field + ".after", fmt.Sprintf("step %d is not an earlier step", before)}
		}
	}
	return nil
}
