package owner

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/clock"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// storeProgress commits the progress that has changed. If none has, it deletes ended jobs.
func (t *term) storeProgress(ctx context.Context, now time.Time) {
	if !t.commits.Allowed(now) {
		return
	}
	records := t.scheduler.PendingUpdates(maxRecordsPerCommit, func(id model.JobID) bool { return t.committing[id] })
	if len(records) == 0 {
		t.deleteExpiredJobs(ctx, now)
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}}}
	values := make([][]byte, 0, len(records))
	for i := range records {
		value, err := batch.Encode(&records[i].Progress)
		if err != nil {
			t.owner.Log.Error("progress can't be encoded; nothing is stored", "job", string(records[i].Job), "error", err)
			return
		}
		key := batch.ProgressKey(records[i].Job)
		change.Checks = append(change.Checks, store.Check{Key: key, Version: t.progressVersions[records[i].Job]})
		change.Sets = append(change.Sets, store.Set{Key: key, Value: value})
		values = append(values, value)
	}
	for i := range records {
		t.committing[records[i].Job] = true
	}
	t.commits.Begin(now)
	go func() {
		revision, err := t.owner.Store.Commit(ctx, change)
		t.commitResults <- commitResult{records: records, values: values, revision: revision, err: err}
	}()
}

// handleCommit handles the result of a commit. It returns false if the owner key no longer has the fence of this term.
func (t *term) handleCommit(result commitResult) bool {
	var checkErr *store.CheckError
	changed := errors.As(result.err, &checkErr)
	t.commits.End(clock.Now(), result.err != nil && !changed)
	for _, record := range result.records {
		delete(t.committing, record.Job)
	}
	if result.learned != nil {
		t.learned.writing = false
	}
	if result.err == nil {
		if result.learned != nil {
			t.learnedStored(result.learned, result.revision)
		}
		for _, record := range result.records {
			t.progressVersions[record.Job] = result.revision
			t.scheduler.ConfirmStored(record)
		}
		return true
	}
	if !changed && result.learned != nil {
		t.owner.Log.Warn("learned run times not stored; retrying", "error", result.err)
		return true
	}
	if !changed {
		t.owner.Log.Warn("progress not stored; retrying", "jobs", len(result.records), "error", result.err)
		return true
	}
	current := map[string]store.Item{}
	for _, item := range checkErr.Items {
		current[item.Key] = item
	}
	if current[mirror.OwnerKey].Version != t.fence {
		t.owner.Log.Warn("ownership lost: the owner key has another fence", "fence", t.fence, "found", current[mirror.OwnerKey].Version)
		return false
	}
	if result.learned != nil {
		t.learnedRefused(result.learned, current[batch.LearnedKey])
	}
	for i, record := range result.records {
		item := current[batch.ProgressKey(record.Job)]
		t.progressVersions[record.Job] = item.Version
		if item.Version != 0 && bytes.Equal(item.Value, result.values[i]) {
			// An earlier attempt at the same change was applied although its answer was lost.
			t.scheduler.ConfirmStored(record)
		}
	}
	return true
}

// deleteExpiredJobs deletes the records of jobs that ended long ago.
func (t *term) deleteExpiredJobs(ctx context.Context, now time.Time) {
	if !t.commits.Idle() || now.Sub(t.deletedAt) < jobDeletionInterval {
		return
	}
	t.deletedAt = now
	expired := t.scheduler.ExpiredJobs(time.Now())
	if len(expired) > maxRecordsPerCommit/2 {
		expired = expired[:maxRecordsPerCommit/2]
	}
	if len(expired) == 0 {
		return
	}
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}}}
	for _, id := range expired {
		change.Deletes = append(change.Deletes, batch.JobKey(id), batch.ProgressKey(id), batch.CancelKey(id))
	}
	t.commits.Begin(now)
	go func() {
		_, err := t.owner.Store.Commit(ctx, change)
		t.commitResults <- commitResult{err: err}
	}()
}
