package batch

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/model"
)

// Root begins all keys of the system in the store.
const Root = "wh/"

// Keys of the records in the store.
const (
	// JobPrefix holds accepted jobs, written once by the accepting entry.
	JobPrefix = Root + "job/"
	// ProgressPrefix holds the progress of jobs, written by the owner.
	ProgressPrefix = Root + "run/"
	// CancelPrefix holds the marks of cancelled jobs, written once by an entry.
	CancelPrefix = Root + "end/"
)

// JobKey returns the key of a job's record.
func JobKey(id model.JobID) string { return JobPrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id model.JobID) string { return ProgressPrefix + string(id) }

// CancelKey returns the key of the mark that a job is cancelled.
func CancelKey(id model.JobID) string { return CancelPrefix + string(id) }

// Encode returns the stored form of a record.
func Encode(record any) ([]byte, error) { return cbor.Marshal(record) }

// JobRecord is what is known of a job.
type JobRecord struct {
	Job      *Job
	Progress *Progress
	// Version is the store's version of the progress, 0 if there is none.
	Version uint64
	Cancel  bool
	// CancelVersion and JobVersion are the store's versions of the two other records.
	CancelVersion, JobVersion uint64
}

// State returns the job's state as callers see it.
func (r *JobRecord) State() State {
	switch {
	case r.Progress != nil && r.Progress.Outcome != "":
		return r.Progress.Outcome
	case r.Cancel:
		return JobCancelled
	case r.Progress.Started():
		return JobRunning
	}
	return JobQueued
}

// Cache is a copy of the stored jobs, kept current by the changes of the store.
type Cache struct {
	Jobs map[model.JobID]*JobRecord
}

// Reset forgets all jobs, before a full list is applied.
func (c *Cache) Reset() { c.Jobs = map[model.JobID]*JobRecord{} }

// Apply takes the present value of a key; version 0 means that the key was deleted.
// It returns the job that changed, or an error for a record that can't be read, which leaves the entry as it was.
func (c *Cache) Apply(key string, value []byte, version uint64) (model.JobID, error) {
	if c.Jobs == nil {
		c.Reset()
	}
	kind, id := split(key)
	if id == "" {
		return "", nil
	}
	e := c.Jobs[id]
	if e == nil {
		e = &JobRecord{}
	}
	if err := e.apply(kind, value, version); err != nil {
		return id, err
	}
	if e.JobVersion == 0 && e.Version == 0 && e.CancelVersion == 0 {
		delete(c.Jobs, id)
		return id, nil
	}
	c.Jobs[id] = e
	return id, nil
}

func (r *JobRecord) apply(kind string, value []byte, version uint64) error {
	switch kind {
	case JobPrefix:
		if version == 0 {
			r.Job, r.JobVersion = nil, 0
			return nil
		}
		job := new(Job)
		if err := cbor.Unmarshal(value, job); err != nil {
			return err
		}
		r.Job, r.JobVersion = job, version
	case ProgressPrefix:
		if version < r.Version && version != 0 {
			return nil
		}
		if version == 0 {
			r.Progress, r.Version = nil, 0
			return nil
		}
		p := new(Progress)
		if err := cbor.Unmarshal(value, p); err != nil {
			return err
		}
		r.Progress, r.Version = p, version
	case CancelPrefix:
		r.Cancel, r.CancelVersion = version != 0, version
	}
	return nil
}

func split(key string) (kind string, id model.JobID) {
	for _, prefix := range []string{JobPrefix, ProgressPrefix, CancelPrefix} {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			return prefix, model.JobID(rest)
		}
	}
	return "", ""
}

// Pending returns the number of jobs of a queue that were accepted and of which nothing has begun.
func (c *Cache) Pending(queue string) int {
	n := 0
	for _, e := range c.Jobs {
		if e.Job != nil && e.Job.Queue == queue && e.State() == JobQueued {
			n++
		}
	}
	return n
}
