package owner

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/alloc"
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
	updates := t.nextUpdates(now)
	change := store.Change{Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}}}
	var records []alloc.ProgressUpdate
	var values [][]byte
	size := 0
	for i := range updates {
		id := updates[i].Job
		value, omitted, err := updates[i].Progress.Encode(batch.MaxValueBytes)
		if err != nil {
			t.owner.Log.Error("progress can't be encoded; it isn't stored", "job", string(id), "error", err)
			t.refusals.Refused(now, id)
			continue
		}
		if omitted > 0 && !t.trimmed[id] {
			t.trimmed[id] = true
			t.owner.Log.Warn("progress is too long for the store; checkpoints are left out", "job", string(id), "omitted", omitted, "bytes", len(value))
		}
		if size += len(value); len(records) > 0 && size > maxBytesPerCommit {
			break
		}
		key := batch.ProgressKey(id)
		change.Checks = append(change.Checks, store.Check{Key: key, Version: t.progressVersions[id]})
		change.Sets = append(change.Sets, store.Set{Key: key, Value: value})
		records, values = append(records, updates[i]), append(values, value)
	}
	if len(records) == 0 {
		t.deleteExpiredJobs(ctx, now)
		return
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

// nextUpdates returns the updates for the next commit: one that has to be stored by itself, or the ones that have waited longest.
func (t *term) nextUpdates(now time.Time) []alloc.ProgressUpdate {
	if t.refusals.Any() {
		separate := t.scheduler.PendingUpdates(1, func(id model.JobID) bool { return t.committing[id] || !t.refusals.Due(now, id) })
		if len(separate) > 0 {
			return separate
		}
	}
	return t.scheduler.PendingUpdates(maxRecordsPerCommit, func(id model.JobID) bool { return t.committing[id] || t.refusals.Separate(id) })
}

// recordRefusal notes that the store has refused a change for its content.
func (t *term) recordRefusal(now time.Time, result commitResult) {
	ids := make([]model.JobID, 0, len(result.records))
	for _, record := range result.records {
		ids = append(ids, record.Job)
	}
	t.refusals.Refused(now, ids...)
	if len(ids) == 1 {
		t.owner.Log.Error("progress of a job refused by the store; its changes wait", "job", string(ids[0]), "bytes", len(result.values[0]), "error", result.err)
		return
	}
	t.owner.Log.Warn("change refused by the store; its records are stored one by one", "jobs", len(ids), "error", result.err)
}

// handleCommit handles the result of a commit. It returns false if the owner key no longer has the fence of this term.
func (t *term) handleCommit(result commitResult) bool {
	var checkErr *store.CheckError
	changed := errors.As(result.err, &checkErr)
	refused := len(result.records) > 0 && store.RefusedForGood(result.err)
	now := clock.Now()
	t.commits.End(now, result.err != nil && !changed && !refused)
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
			t.refusals.Stored(record.Job)
			t.scheduler.ConfirmStored(record)
		}
		return true
	}
	if !changed && result.learned != nil {
		t.owner.Log.Warn("learned run times not stored; retrying", "error", result.err)
		return true
	}
	if refused {
		t.recordRefusal(now, result)
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
