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

// Store is what the service needs of the store.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Commit(ctx context.Context, c store.Change) (uint64, error)
}

// Service serves the calls of callers about jobs.
type Service struct {
	Store  Store
	Mirror *mirror.Mirror
	// Notify passes an item that was just stored on to the owner, whose watch may be late; nil leaves it to the watch.
	Notify func(store.Item)
}

// NotRunError reports a job that was not stored and never runs.
type NotRunError struct {
	// Retry is when the caller may try again.
	Retry time.Duration
	Cause error
}

// Error describes the refusal.
func (e *NotRunError) Error() string { return "not stored: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError reports a call whose effect isn't known; the same call may be repeated.
type UnknownError struct{ Cause error }

// Error describes the call.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// MissingError reports a job that doesn't exist.
type MissingError struct{ Job model.JobID }

// Error names the job.
func (e *MissingError) Error() string { return "no job " + string(e.Job) }

const (
	// refusedLimit bounds the retries of a call that the store turns away; after it the caller is told to come back.
	refusedLimit = 300 * time.Millisecond
	// storePause is the pause between tries.
	storePause = 50 * time.Millisecond
	// retryAfter is when a caller is asked to come back: outages last seconds, and entries are found ready within one.
	retryAfter = time.Second
)

// Submit stores a job. A job with the same id that is stored already is the same job.
func (s *Service) Submit(ctx context.Context, job *batch.Job) error {
	value, err := batch.Encode(job)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	change := store.Change{
		Checks: []store.Check{{Key: batch.JobKey(job.ID)}},
		Sets:   []store.Set{{Key: batch.JobKey(job.ID), Value: value}},
	}
	return s.commit(ctx, change)
}

// commit applies a change that creates a key; that the key exists already is success.
func (s *Service) commit(ctx context.Context, change store.Change) error {
	begun := time.Now()
	unknown := false
	for {
		revision, err := s.Store.Commit(ctx, change)
		if err == nil {
			s.tell(store.Item{Key: change.Sets[0].Key, Value: change.Sets[0].Value, Version: revision})
			return nil
		}
		var exists *store.CheckError
		if errors.As(err, &exists) {
			return nil
		}
		unknown = unknown || !store.NotDone(err)
		if !unknown && time.Since(begun) > refusedLimit {
			return &NotRunError{retryAfter, err}
		}
		select {
		case <-ctx.Done():
			if unknown {
				return &UnknownError{err}
			}
			return &NotRunError{retryAfter, err}
		case <-time.After(storePause):
		}
	}
}

// tell makes a stored item known here and to the owner.
func (s *Service) tell(item store.Item) {
	s.Mirror.Merge(item)
	if s.Notify != nil {
		s.Notify(item)
	}
}

// known is what the service knows of a job.
type known struct {
	team  model.Team
	state batch.State
}

// find looks a job up in the copy and, if it isn't there, in the store.
func (s *Service) find(ctx context.Context, id model.JobID) (known, error) {
	var k known
	found := false
	s.Mirror.View(func(b *batch.Cache) {
		if e := b.Jobs[id]; e != nil && e.Job != nil {
			k, found = known{e.Job.Team, e.State()}, true
		}
	})
	if found {
		return k, nil
	}
	return s.read(ctx, id)
}

// read reads a job's records from the store.
func (s *Service) read(ctx context.Context, id model.JobID) (known, error) {
	var cache batch.Cache
	for _, key := range []string{batch.JobKey(id), batch.ProgressKey(id), batch.CancelKey(id)} {
		item, err := s.get(ctx, key)
		var missing *store.NotFoundError
		if errors.As(err, &missing) {
			if key == batch.JobKey(id) {
				return known{}, &MissingError{id}
			}
			continue
		}
		if err != nil {
			return known{}, &UnknownError{err}
		}
		if _, err := cache.Apply(key, item.Value, item.Version); err != nil {
			return known{}, errors.Wrapf(err, "record %s", key)
		}
	}
	e := cache.Jobs[id]
	return known{e.Job.Team, e.State()}, nil
}

// get reads a key, with retries until ctx ends.
func (s *Service) get(ctx context.Context, key string) (store.Item, error) {
	begun := time.Now()
	for {
		item, err := s.Store.Get(ctx, key)
		var missing *store.NotFoundError
		if err == nil || errors.As(err, &missing) {
			return item, err
		}
		if time.Since(begun) > refusedLimit {
			return store.Item{}, err
		}
		select {
		case <-ctx.Done():
			return store.Item{}, err
		case <-time.After(storePause):
		}
	}
}

// State returns the state of a team's job, or a MissingError. With an empty team, any job is found.
func (s *Service) State(ctx context.Context, team model.Team, id model.JobID) (batch.State, error) {
	k, err := s.find(ctx, id)
	if err == nil && team != "" && k.team != team {
		return "", &MissingError{id}
	}
	return k.state, err
}

// Cancel stores that a job is cancelled, or returns a MissingError.
func (s *Service) Cancel(ctx context.Context, team model.Team, id model.JobID) error {
	if _, err := s.State(ctx, team, id); err != nil {
		return err
	}
	return s.commit(ctx, store.Change{
		Checks: []store.Check{{Key: batch.CancelKey(id)}},
		Sets:   []store.Set{{Key: batch.CancelKey(id), Value: []byte{}}},
	})
}

// Pending returns the number of a queue's jobs of which nothing has begun.
func (s *Service) Pending(queue string) int {
	n := 0
	s.Mirror.View(func(b *batch.Cache) { n = b.Pending(queue) })
	return n
}
