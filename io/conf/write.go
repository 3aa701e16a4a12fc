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

// writeRetryDelay is the pause before the effect of an unanswered write is checked.
const writeRetryDelay = 100 * time.Millisecond

// UnknownOutcomeError reports a change of which it could not be determined in time whether it took effect. Applying it again
// with the same change identifier has no second effect.
type UnknownOutcomeError struct {
	Change string
	Cause  error
}

// Error names the change and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s took effect: %v", e.Change, e.Cause)
}

// Unwrap returns Cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NoStoreError reports that this process can't write changes because it has no access to the store.
type NoStoreError struct{}

// Error names the kind of process that can write changes.
func (*NoStoreError) Error() string {
	return "this process has no access to the store: send the change to an entry"
}

// NewChange returns a random identifier for a change.
func NewChange() string { return rand.Text() }

// Apply writes a change and returns its revision. It retries a write whose effect is unknown until ctx is done. The
// errors are NoStoreError, config.ConflictError, UnknownOutcomeError, and store.UnavailableError for a change that certainly had
// no effect.
func (m *Manager) Apply(ctx context.Context, w config.Write) (model.Revision, error) {
	if m.opts.Store == nil {
		return 0, &NoStoreError{}
	}
	writeSent := false
	for {
		revision, err := m.attempt(ctx, w, &writeSent)
		var unavailable *store.UnavailableError
		if err == nil || !errors.As(err, &unavailable) {
			return revision, err
		}
		if !writeSent {
			return 0, err
		}
		// The write may or may not have taken effect: the next attempt finds out by reading the record.
		if !pause(ctx, writeRetryDelay) {
			return 0, &UnknownOutcomeError{Change: w.Change, Cause: err}
		}
	}
}

// attempt reads the record and writes the change unless the record contains it already. It sets writeSent before the
// write, because the change may have taken effect from then on.
func (m *Manager) attempt(ctx context.Context, w config.Write, writeSent *bool) (model.Revision, error) {
	requestedAt := time.Now()
	record, version, err := readRecord(ctx, m.opts.Store)
	if err != nil {
		return 0, err
	}
	m.recordStoreAnswer(requestedAt, record.Snapshot)
	if revision, found := record.Find(w.Change); found {
		return revision, nil
	}
	next, err := w.Next(record)
	if err != nil {
		return 0, err
	}
	value, err := next.Encode()
	if err != nil {
		return 0, fmt.Errorf("encode the configuration record: %w", err)
	}
	*writeSent = true
	requestedAt = time.Now()
	_, err = m.opts.Store.Put(ctx, config.Key, value, version, 0)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return m.resolveConflict(ctx, w)
	}
	if err != nil {
		return 0, err
	}
	m.recordStoreAnswer(requestedAt, next.Snapshot)
	return next.Revision, nil
}

// resolveConflict finds out why a compare-and-swap failed: another change was written first, or the write was delivered
// twice and its first delivery took effect.
func (m *Manager) resolveConflict(ctx context.Context, w config.Write) (model.Revision, error) {
	requestedAt := time.Now()
	record, _, err := readRecord(ctx, m.opts.Store)
	if err != nil {
		return 0, err
	}
	m.recordStoreAnswer(requestedAt, record.Snapshot)
	if revision, found := record.Find(w.Change); found {
		return revision, nil
	}
	return 0, w.Conflict(record)
}
