package conf

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

// writeRetry is the pause before an unanswered write is looked into again.
const writeRetry = 100 * time.Millisecond

// UnknownError reports a change whose effect could not be learned in time. The same change
// identifier can be applied again without a second effect.
type UnknownError struct {
	Change string
	Cause  error
}

// Error names the change.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the effect of change %s is unknown: %v", e.Change, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NoStoreError reports a process that can't write changes, because it does not reach the store.
type NoStoreError struct{}

// Error says where to write instead.
func (*NoStoreError) Error() string { return "this process does not reach the store; ask an entry" }

// NewChange returns an identifier for a change.
func NewChange() string { return rand.Text() }

// Apply writes a change and returns its revision. The errors are config.ConflictError,
// UnknownError, and store.UnavailableError for a change that certainly had no effect.
func (m *Manager) Apply(ctx context.Context, w config.Write) (model.Revision, error) {
	if m.opts.Store == nil {
		return 0, &NoStoreError{}
	}
	sent := false
	for {
		revision, err := m.try(ctx, w, &sent)
		var unavailable *store.UnavailableError
		if err == nil || !errors.As(err, &unavailable) {
			return revision, err
		}
		if !sent {
			return 0, err
		}
		// The write may or may not have taken effect: the next try reads the record back.
		if !pause(ctx, writeRetry) {
			return 0, &UnknownError{Change: w.Change, Cause: err}
		}
	}
}

// try reads the record, looks for the change in it, and writes the change if it isn't there.
// It sets sent before a write, from when on the effect may have taken place.
func (m *Manager) try(ctx context.Context, w config.Write, sent *bool) (model.Revision, error) {
	asked := time.Now()
	record, version, err := latest(ctx, m.opts.Store)
	if err != nil {
		return 0, err
	}
	m.stored(asked, record.Copy)
	if revision, found := record.Find(w.Change); found {
		return revision, nil
	}
	next, err := w.Next(record)
	if err != nil {
		return 0, err
	}
	value, err := next.Encode()
	if err != nil {
		return 0, fmt.Errorf("encoding the configuration record: %w", err)
	}
	*sent = true
	asked = time.Now()
	_, err = m.opts.Store.Put(ctx, config.Key, value, version, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return m.lost(ctx, w)
	}
	if err != nil {
		return 0, err
	}
	m.stored(asked, next.Copy)
	return next.Revision, nil
}

// lost explains a refused write: the refusal may answer the second delivery of a write whose
// first one took effect.
func (m *Manager) lost(ctx context.Context, w config.Write) (model.Revision, error) {
	asked := time.Now()
	record, _, err := latest(ctx, m.opts.Store)
	if err != nil {
		return 0, err
	}
	m.stored(asked, record.Copy)
	if revision, found := record.Find(w.Change); found {
		return revision, nil
	}
	return 0, w.Conflict(record)
}
