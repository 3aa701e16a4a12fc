package jobs

import (
	"context"
	"errors"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// fakeStore answers commits with errs in turn, then with success, and reads from items.
type fakeStore struct {
	errs    []error
	items   map[string][]byte
	commits int
}

func (s *fakeStore) Commit(context.Context, store.Change) (uint64, error) {
	s.commits++
	if len(s.errs) == 0 {
		return 1, nil
	}
	err := s.errs[0]
	if len(s.errs) > 1 {
		s.errs = s.errs[1:]
	}
	return 0, err
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Item, error) {
	if value, ok := s.items[key]; ok {
		return store.Item{Key: key, Value: value, Version: 2}, nil
	}
	return store.Item{}, &store.NotFoundError{Key: key}
}

func newService(s *fakeStore) *Service {
	return &Service{Store: s, Mirror: &mirror.Mirror{}}
}

// A job may be reported as not run only if no attempt can have stored it, and a job that is stored already is accepted.
func TestSubmit(t *testing.T) {
	refused := &store.RefusedError{Op: "commit", Status: 503}
	lost := &store.UnavailableError{Op: "commit", Cause: errors.New("reset")}
	var notRun *NotRunError
	var unknown *UnknownOutcomeError
	tests := []struct {
		name string
		errs []error
		want any
	}{
		{"stored", nil, nil},
		{"stored before", []error{&store.CheckError{}}, nil},
		{"refused for a moment", []error{refused, &store.CheckError{}}, nil},
		{"answer lost, found on the next try", []error{lost, &store.CheckError{}}, nil},
		{"refused all the time", []error{refused}, &notRun},
		{"answer lost, then refused", []error{lost, refused}, &unknown},
		{"one way lost, the other refused", []error{&store.UnavailableError{Op: "commit", Cause: refused}}, &unknown},
	}
	for _, test := range tests {
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		err := newService(&fakeStore{errs: test.errs}).Submit(ctx, &batch.Job{ID: "j"})
		cancel()
		if test.want == nil {
			if err != nil {
				t.Errorf("%s: got %v, want success", test.name, err)
			}
			continue
		}
		if !errors.As(err, test.want) {
			t.Errorf("%s: got %v, want %T", test.name, err, test.want)
		}
	}
}

// The mirror may be behind the store: a job that it doesn't have is read from the store. Another team's job is reported as
// missing.
func TestStateReadsTheStoreForUnknownJobs(t *testing.T) {
	value, err := batch.Encode(&batch.Job{ID: "j", Team: "a"})
	if err != nil {
		t.Fatal(err)
	}
	s := newService(&fakeStore{items: map[string][]byte{batch.JobKey("j"): value, batch.CancelKey("j"): {}}})
	ctx := context.Background()
	if state, err := s.State(ctx, "a", "j"); err != nil || state != batch.JobCancelled {
		t.Errorf("got %q, %v, want %q", state, err, batch.JobCancelled)
	}
	var missing *MissingError
	for _, test := range []struct {
		team model.Team
		id   model.JobID
	}{{"b", "j"}, {"a", "k"}} {
		if _, err := s.State(ctx, test.team, test.id); !errors.As(err, &missing) {
			t.Errorf("team %s, job %s: got %v, want a MissingError", test.team, test.id, err)
		}
		if err := s.Cancel(ctx, test.team, test.id); !errors.As(err, &missing) {
			t.Errorf("cancel by team %s of job %s: got %v, want a MissingError", test.team, test.id, err)
		}
	}
}
