package batch

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/model"
)

// Root is the prefix of all keys of the system in the store.
const Root = "wh/"

// Key prefixes of the records in the store.
const (
	// JobPrefix is for accepted jobs. The entry that accepts a job writes its record once.
	JobPrefix = Root + "job/"
	// ProgressPrefix is for the progress of jobs. Only the owner writes these records.
	ProgressPrefix = Root + "run/"
	// CancelPrefix is for cancellations. The entry that cancels a job writes this record once.
	CancelPrefix = Root + "end/"
	// RefusedPrefix is for marks of jobs that were refused for lack of capacity. The entry that refuses a job writes the mark under a
	// lease, so that no earlier attempt at its submission can be stored afterwards.
	RefusedPrefix = Root + "refused/"
)

// LearnedKey is the key of the learned run times (see package learn). Only the owner writes it.
const LearnedKey = Root + "learned"

// JobKey returns the key of an accepted job.
func JobKey(id model.JobID) string { return JobPrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id model.JobID) string { return ProgressPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id model.JobID) string { return CancelPrefix + string(id) }

// RefusedKey returns the key of the mark of a refused job.
func RefusedKey(id model.JobID) string { return RefusedPrefix + string(id) }

// Encode returns the stored form of a record.
func Encode(record any) ([]byte, error) { return cbor.Marshal(record) }

// JobRecord combines the stored records of a job.
type JobRecord struct {
	// Job is nil if only the progress or the cancellation is stored.
	Job *Job
	// Progress is nil until the owner has stored some.
	Progress *Progress
	// ProgressVersion is the store's version of the progress record, 0 if there is none.
	ProgressVersion uint64
	// Cancelled reports whether a cancellation is stored.
	Cancelled bool
	// CancelVersion and JobVersion are the store's versions of the cancellation and of the job, 0 if not stored.
	CancelVersion, JobVersion uint64
}

// State returns the job's state as shown to callers.
func (r *JobRecord) State() State {
	switch {
	case r.Progress != nil && r.Progress.Outcome != "":
		return r.Progress.Outcome
	case r.Cancelled:
		return JobCancelled
	case r.Progress.Started():
		return JobRunning
	}
	return JobQueued
}

// Cache is a local copy of the stored jobs. Apply updates it with each change of the store.
type Cache struct {
	Jobs map[model.JobID]*JobRecord
}

// Reset removes all jobs. It is called before a full listing of the store is applied.
func (c *Cache) Reset() { c.Jobs = map[model.JobID]*JobRecord{} }

// Apply sets a key to its stored value and version; version 0 means that the key was deleted. It returns the ID of the
// affected job, or "" for a key of another kind. If the value can't be decoded, the cached record is unchanged.
func (c *Cache) Apply(key string, value []byte, version uint64) (model.JobID, error) {
	if c.Jobs == nil {
		c.Reset()
	}
	kind, id := splitKey(key)
	if id == "" {
		return "", nil
	}
	record := c.Jobs[id]
	if record == nil {
		record = &JobRecord{}
	}
	if err := record.apply(kind, value, version); err != nil {
		return id, err
	}
	if record.JobVersion == 0 && record.ProgressVersion == 0 && record.CancelVersion == 0 {
		delete(c.Jobs, id)
		return id, nil
	}
	c.Jobs[id] = record
	return id, nil
}

// apply sets the record whose key begins with kind. An older version of the progress than the cached one is ignored.
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
		if version < r.ProgressVersion && version != 0 {
			return nil
		}
		if version == 0 {
			r.Progress, r.ProgressVersion = nil, 0
			return nil
		}
		progress := new(Progress)
		if err := cbor.Unmarshal(value, progress); err != nil {
			return err
		}
		r.Progress, r.ProgressVersion = progress, version
	case CancelPrefix:
		r.Cancelled, r.CancelVersion = version != 0, version
	}
	return nil
}

// splitKey returns the prefix and the job ID of a key, or empty values for a key with another prefix.
func splitKey(key string) (kind string, id model.JobID) {
	for _, prefix := range []string{JobPrefix, ProgressPrefix, CancelPrefix} {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			return prefix, model.JobID(rest)
		}
	}
	return "", ""
}

// Pending returns the number of accepted jobs of a queue that have not started.
func (c *Cache) Pending(queue string) int {
	n := 0
	for _, record := range c.Jobs {
		if record.Job != nil && record.Job.Queue == queue && record.State() == JobQueued {
			n++
		}
	}
	return n
}
