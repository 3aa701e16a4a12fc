package jobs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// Store has the store's calls for reads and changes.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Commit(ctx context.Context, c store.Change) (uint64, error)
}

// Service submits, reads and cancels jobs.
type Service struct {
	Store  Store
	Mirror *mirror.Mirror
	// Notify sends an item that was just stored to the owner, whose watch may be late; nil leaves it to the watch.
	Notify func(store.Item)
	// Gate refuses jobs for lack of capacity; nil accepts all.
	Gate *Gate
}

// NotRunError reports a job or a cancellation that was certainly not stored; such a job never runs.
type NotRunError struct {
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
	Cause      error
}

// Error describes the request that was not stored.
func (e *NotRunError) Error() string { return "request not stored: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a request that may or may not have been carried out; the same request may be repeated.
type UnknownOutcomeError struct{ Cause error }

// Error describes the request with the unknown outcome.
func (e *UnknownOutcomeError) Error() string { return "request outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// MissingError reports a job that doesn't exist or belongs to another team.
type MissingError struct{ Job model.JobID }

// Error describes the missing job.
func (e *MissingError) Error() string { return "there is no job " + string(e.Job) }

const (
	// retryLimit bounds the time for retries of a call that the store refuses; after it the caller has to retry itself.
	retryLimit = 300 * time.Millisecond
	// retryPause is the pause between attempts at a call of the store.
	retryPause = 50 * time.Millisecond
	// retryAfter is the time after which a refused caller may retry: outages last seconds, and the platform notices
	// within a second that an entry is ready again.
	retryAfter = time.Second
)

// Submit stores a job. If a job with the same id is stored already, it is the same job, and Submit succeeds. With a Gate it may return a
// NoCapacityError.
func (s *Service) Submit(ctx context.Context, job *batch.Job) error {
	value, err := batch.Encode(job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	change := store.Change{
		Checks: []store.Check{{Key: batch.JobKey(job.ID)}},
		Sets:   []store.Set{{Key: batch.JobKey(job.ID), Value: value}},
	}
	if s.Gate == nil {
		return s.commit(ctx, change)
	}
	// A mark that the mirror has is older than this attempt, which may replace it. Any other one refuses the attempt.
	mark := s.Mirror.RefusedVersion(job.ID)
	if err := s.Gate.refuse(ctx, job); err != nil {
		return err
	}
	key := batch.RefusedKey(job.ID)
	change.Checks = append(change.Checks, store.Check{Key: key, Version: mark})
	if mark != 0 {
		change.Deletes = []string{key}
	}
	return s.commit(ctx, change)
}

// commit applies a change that creates a key, with retries until its outcome is known or ctx ends. It succeeds if the key
// exists already. Refused attempts are retried only for retryLimit, unless an earlier attempt has an unknown outcome.
func (s *Service) commit(ctx context.Context, change store.Change) error {
	begun := time.Now()
	unknown := false
	for {
		revision, err := s.Store.Commit(ctx, change)
		if err == nil {
			s.publish(store.Item{Key: change.Sets[0].Key, Value: change.Sets[0].Value, Version: revision})
			return nil
		}
		var checkErr *store.CheckError
		if errors.As(err, &checkErr) {
			refused, expired := markChanged(change, checkErr.Items)
			if refused {
				return &NotRunError{retryAfter, errRefusedElsewhere}
			}
			if !expired {
				return nil
			}
			change.Checks[1].Version, change.Deletes = 0, nil
			continue
		}
		unknown = unknown || !store.HadNoEffect(err)
		if !unknown && time.Since(begun) > retryLimit {
			return &NotRunError{retryAfter, err}
		}
		select {
		case <-ctx.Done():
			if unknown {
				return &UnknownOutcomeError{err}
			}
			return &NotRunError{retryAfter, err}
		case <-time.After(retryPause):
		}
	}
}

// errRefusedElsewhere is the cause of a refusal by another attempt at the same submission. None of this attempt's commits can be applied
// any more, since they all depend on the version of the mark.
var errRefusedElsewhere = errors.New("another attempt at this submission was refused")

// markChanged reports, for a change that failed a check, whether it failed because the job was refused since the attempt began, or
// because the mark of an earlier refusal has expired. If the job is stored, neither is so.
func markChanged(change store.Change, items []store.Item) (refused, expired bool) {
	if len(change.Checks) < 2 {
		return false, false
	}
	versions := map[string]uint64{}
	for _, item := range items {
		versions[item.Key] = item.Version
	}
	job, mark := change.Checks[0], change.Checks[1]
	if versions[job.Key] != 0 {
		return false, false
	}
	current := versions[mark.Key]
	return current != 0 && current != mark.Version, current == 0 && mark.Version != 0
}

// publish applies a stored item to the mirror and sends it to the owner.
func (s *Service) publish(item store.Item) {
	s.Mirror.Merge(item)
	if s.Notify != nil {
		s.Notify(item)
	}
}

// jobStatus is the team and the state of a job.
type jobStatus struct {
	team  model.Team
	state batch.State
}

// lookUp returns the status of a job from the mirror or, if it isn't there yet, from the store.
func (s *Service) lookUp(ctx context.Context, id model.JobID) (jobStatus, error) {
	var status jobStatus
	found := false
	s.Mirror.View(func(b *batch.Cache) {
		if e := b.Jobs[id]; e != nil && e.Job != nil {
			status, found = jobStatus{e.Job.Team, e.State()}, true
		}
	})
	if found {
		return status, nil
	}
	return s.readStored(ctx, id)
}

// readStored reads a job's records from the store and returns its status.
func (s *Service) readStored(ctx context.Context, id model.JobID) (jobStatus, error) {
	var cache batch.Cache
	for _, key := range []string{batch.JobKey(id), batch.ProgressKey(id), batch.CancelKey(id)} {
		item, err := s.getWithRetry(ctx, key)
		var missing *store.NotFoundError
		if errors.As(err, &missing) {
			if key == batch.JobKey(id) {
				return jobStatus{}, &MissingError{id}
			}
			continue
		}
		if err != nil {
			return jobStatus{}, &UnknownOutcomeError{err}
		}
		if _, err := cache.Apply(key, item.Value, item.Version); err != nil {
			return jobStatus{}, errors.Wrapf(err, "decode record %s", key)
		}
	}
	e := cache.Jobs[id]
	return jobStatus{e.Job.Team, e.State()}, nil
}

// getWithRetry reads a key. Failed reads are retried for retryLimit, or until ctx ends.
func (s *Service) getWithRetry(ctx context.Context, key string) (store.Item, error) {
	begun := time.Now()
	for {
		item, err := s.Store.Get(ctx, key)
		var missing *store.NotFoundError
		if err == nil || errors.As(err, &missing) {
			return item, err
		}
		if time.Since(begun) > retryLimit {
			return store.Item{}, err
		}
		select {
		case <-ctx.Done():
			return store.Item{}, err
		case <-time.After(retryPause):
		}
	}
}

// State returns the state of a team's job, or a MissingError. With an empty team, the job may belong to any team.
func (s *Service) State(ctx context.Context, team model.Team, id model.JobID) (batch.State, error) {
	status, err := s.lookUp(ctx, id)
	if err == nil && team != "" && status.team != team {
		return "", &MissingError{id}
	}
	return status.state, err
}

// Cancel stores the cancellation of a team's job, or returns a MissingError.
func (s *Service) Cancel(ctx context.Context, team model.Team, id model.JobID) error {
	if _, err := s.State(ctx, team, id); err != nil {
		return err
	}
	return s.commit(ctx, store.Change{
		Checks: []store.Check{{Key: batch.CancelKey(id)}},
		Sets:   []store.Set{{Key: batch.CancelKey(id), Value: []byte{}}},
	})
}

// Pending returns the number of a queue's jobs of which no task has started.
func (s *Service) Pending(queue string) int {
	n := 0
	s.Mirror.View(func(b *batch.Cache) { n = b.Pending(queue) })
	return n
}
