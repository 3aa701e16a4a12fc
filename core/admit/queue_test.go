package admit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var start = time.Unix(1_800_000_000, 0)

// A team with a long queue must not starve the others: running requests are shared by weight.
func TestSharesFollowWeights(t *testing.T) {
	q := &Queue{MaxRunning: 1, MaxWaiting: 1000}
	q.SetWeights(map[model.Team]int{"hotel": 3, "desk": 1})
	first, err := q.Enter(start, "public", start.Add(time.Hour))
	if err != nil || first.AdmittedAt.IsZero() {
		t.Fatalf("first request: %v, %v", first, err)
	}
	for range 100 {
		for _, name := range []model.Team{"hotel", "desk", "public"} {
			if _, err := q.Enter(start, name, start.Add(time.Hour)); err != nil {
				t.Fatal(err)
			}
		}
	}
	got := map[model.Team]int{}
	last := first
	for range 100 {
		q.Leave(start, last)
		out := q.Admit(start)
		if len(out) != 1 {
			t.Fatalf("admitted %d requests after one ended, want 1", len(out))
		}
		last = out[0]
		got[last.Team]++
	}
	if got["hotel"] != 60 || got["desk"] != 20 || got["public"] != 20 {
		t.Errorf("shares: got %v, want 60, 20 and 20", got)
	}
}

// A full queue is the team's own limit (429). A request that can't finish by its deadline is refused at once (503)
// instead of waiting until it is too late.
func TestRefusesFullQueueAndLateRequest(t *testing.T) {
	q := &Queue{MaxRunning: 1, MaxWaiting: 2}
	now := start
	run := func(took time.Duration) {
		t.Helper()
		ticket, err := q.Enter(now, "a", now.Add(took+time.Millisecond))
		if err != nil {
			t.Fatalf("request of an idle queue: %v", err)
		}
		now = now.Add(took)
		q.Leave(now, ticket)
	}
	for range 3 {
		run(time.Second)
	}
	deadline := func(d time.Duration) time.Time { return now.Add(d) }
	var late *DeadlineError
	for i := range 3 {
		if _, err := q.Enter(now, "a", deadline(time.Minute)); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if _, err := q.Enter(now, "b", deadline(1900*time.Millisecond)); !errors.As(err, &late) {
		t.Errorf("expected wait beyond the deadline: got %v, want LateError", err)
	}
	var full *FullError
	if _, err := q.Enter(now, "a", deadline(time.Minute)); !errors.As(err, &full) {
		t.Errorf("request beyond the limit of waiting requests: got %v, want FullError", err)
	}
	if _, err := q.Enter(now, "b", deadline(time.Minute)); err != nil {
		t.Errorf("request of another team while the queue is full: %v", err)
	}
}

// Long requests of a team must not cause its short ones to be refused. A queue that refuses requests because the service
// is slow must observe that the service is fast again.
func TestExpectedServiceTimeFollowsShortRequests(t *testing.T) {
	q := &Queue{MaxRunning: 2}
	now := start
	run := func(took, remaining time.Duration) error {
		ticket, err := q.Enter(now, "a", now.Add(remaining))
		if err == nil {
			now = now.Add(took)
			q.Leave(now, ticket)
		}
		return err
	}
	busy, err := q.Enter(now, "b", now.Add(time.Hour)) // The queue must not be idle: an idle queue accepts any deadline.
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		took := time.Second
		if i%4 == 0 {
			took = 10 * time.Millisecond
		}
		if err := run(took, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if err := run(10*time.Millisecond, 100*time.Millisecond); err != nil {
		t.Errorf("short request among long ones: %v", err)
	}
	for range 2000 {
		if err := run(time.Second, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if err := run(10*time.Millisecond, 100*time.Millisecond); err == nil {
		t.Error("request with a deadline before the expected service time was accepted")
	}
	q.Leave(now, busy)
	for range 200 {
		if err := run(10*time.Millisecond, 100*time.Millisecond); err != nil {
			t.Fatalf("request of an idle queue: %v", err)
		}
	}
	if got := q.lowQuantile["a"]; got > 0.02 {
		t.Errorf("expected service time: got %v s, want about 0.01", got)
	}
}

// Requests enter, end and stop waiting in any order. The limit of running requests must never be exceeded nor left unused
// while a request waits, and no request may be admitted twice or after it has left.
func TestRunningLimitIsKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxRunning: rapid.IntRange(1, 4).Draw(t, "places"), MaxWaiting: 5, Weights: map[model.Team]int{"a": 2, "b": 1}}
		var waiting, running []*Ticket
		admit := func() {
			for _, ticket := range q.Admit(start) {
				i := 0
				for ; i < len(waiting) && waiting[i] != ticket; i++ {
				}
				if i == len(waiting) {
					t.Fatal("Admit returned a request that was not waiting")
				}
				waiting = append(waiting[:i], waiting[i+1:]...)
				running = append(running, ticket)
			}
		}
		leave := func(from *[]*Ticket, i int) {
			q.Leave(start, (*from)[i])
			q.Leave(start, (*from)[i])
			*from = append((*from)[:i], (*from)[i+1:]...)
		}
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			switch a := rapid.IntRange(0, 3).Draw(t, "act"); {
			case a < 2:
				name := rapid.SampledFrom([]model.Team{"a", "b", "c"}).Draw(t, "team")
				ticket, err := q.Enter(start, name, start.Add(time.Hour))
				if err != nil {
					continue
				}
				if ticket.AdmittedAt.IsZero() {
					waiting = append(waiting, ticket)
				} else {
					running = append(running, ticket)
				}
			case a == 2 && len(running) > 0:
				leave(&running, rapid.IntRange(0, len(running)-1).Draw(t, "i"))
			case a == 3 && len(waiting) > 0:
				leave(&waiting, rapid.IntRange(0, len(waiting)-1).Draw(t, "i"))
			}
			admit()
			if len(running) > q.MaxRunning || q.Running() != len(running) {
				t.Fatalf("running requests: got %d, Running returns %d, the limit is %d", len(running), q.Running(), q.MaxRunning)
			}
			if len(running) < q.MaxRunning && len(waiting) > 0 {
				t.Fatalf("%d requests wait although only %d of %d may run", len(waiting), len(running), q.MaxRunning)
			}
			if n := q.Waiting("a") + q.Waiting("b") + q.Waiting("c"); n != len(waiting) {
				t.Fatalf("waiting requests: got %d, want %d", n, len(waiting))
			}
		}
	})
}

// Callers could invent team names; each with its own queue would take from the share of a declared team.
func TestUndeclaredTeamsShareOneQueue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const each = 10
	q := Queue{MaxRunning: 1, MaxWaiting: each, Weights: map[model.Team]int{"declared": 1}}
	running, err := q.Enter(now, "declared", now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	for n := range each {
		for _, name := range []model.Team{model.Team(fmt.Sprint("invented-", n)), "declared"} {
			if _, err := q.Enter(now, name, now.Add(time.Hour)); err != nil {
				t.Fatalf("Enter %s: %v", name, err)
			}
		}
	}
	var full *FullError
	if _, err := q.Enter(now, "one-more", now.Add(time.Hour)); !errors.As(err, &full) {
		t.Errorf("Enter of an undeclared team while their common queue is full: got %v, want FullError", err)
	}
	got := 0
	for range each {
		q.Leave(now, running)
		running = q.Admit(now)[0]
		if running.Team == "declared" {
			got++
		}
	}
	if want := each / 2; got != want {
		t.Errorf("requests of the declared team among the first %d: got %d, want %d", each, got, want)
	}
}
