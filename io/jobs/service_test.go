package jobs

import (
	"context"
	"errors"
	"math"
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

// An outage of the store beside callers that retry four times, as they are told: each caller has a try after the outage, and none
// waits for it longer than two thirds of the outage and a second. With a fixed pause of a second, callers that come early in an
// outage of over five seconds have used up their retries before its end.
func TestRetriesReachPastAnOutage(t *testing.T) {
	const retries = 4
	for _, outage := range []time.Duration{time.Second, 4200 * time.Millisecond, 5800 * time.Millisecond, 9 * time.Second} {
		for first := time.Duration(0); first < outage; first += 100 * time.Millisecond {
			at := first
			for range retries {
				if at >= outage {
					break
				}
				// An entry retries a refused call before it refuses the caller.
				at += retryLimit
				// Retry-After is in whole seconds.
				at += time.Duration(math.Ceil(retryAfter(at).Seconds())) * time.Second
			}
			if at < outage {
				t.Errorf("outage of %v, first try after %v: the last try is %v before its end", outage, first, outage-at)
			}
			if late := at - outage; late > outage*2/3+time.Second {
				t.Errorf("outage of %v, first try after %v: got through %v after its end", outage, first, late)
			}
		}
	}
}

// While the store answers the watch, a refused caller comes back after a second.
func TestRetryAfterWithoutAnOutage(t *testing.T) {
	for _, silence := range []time.Duration{0, 50 * time.Millisecond, 1500 * time.Millisecond} {
		if got := retryAfter(silence); got != time.Second {
			t.Errorf("silence of %v: got %v, want 1s", silence, got)
		}
	}
}
