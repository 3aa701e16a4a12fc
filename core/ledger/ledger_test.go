package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var (
	startTime = time.Unix(1_000_000, 0)
	attempt   = model.Attempt{Entry: 1, Sequence: 1}
)

const self = model.Incarnation(7)

// A Begin that is delayed in a stalled connection must not run after the agent reported to its entry that it never will.
func TestDelayedBeginIsRefusedAfterFence(t *testing.T) {
	l := New(self, 1, DefaultAnswerBytes)
	deadline := startTime.Add(time.Minute)
	if got, want := l.Fence(startTime, attempt, self, deadline), NeverBegun; got != want {
		t.Fatalf("Fence: got %v, want %v", got, want)
	}
	if got, want := l.Begin(startTime.Add(time.Second), attempt, self, deadline), FencedOff; got != want {
		t.Errorf("Begin: got %q, want %q", got, want)
	}
}

// Reporting NeverBegun for an attempt whose record was removed would let the entry report a request as not run that has run.
func TestForgottenAttemptIsUnknown(t *testing.T) {
	l := New(self, 1, DefaultAnswerBytes)
	deadline := startTime.Add(time.Second)
	l.Begin(startTime, attempt, self, deadline)
	l.Start(startTime, attempt)
	l.Finish(attempt, 0)
	late := deadline.Add(KeepAfterDeadline)
	l.Expire(late)
	if got, want := l.Fence(late, attempt, self, deadline), Unknown; got != want {
		t.Errorf("Fence: got %v, want %v", got, want)
	}
}

// Unacknowledged answers must not fill the agent's memory, and an attempt whose answer was dropped must not be reported as
// NeverBegun.
func TestOldestAnswersAreDropped(t *testing.T) {
	l := New(self, 3, 100)
	deadline := startTime.Add(time.Second)
	var dropped []model.Attempt
	for n := range uint64(3) {
		a := model.Attempt{Sequence: n}
		l.Begin(startTime, a, self, deadline)
		l.Start(startTime, a)
		dropped = append(dropped, l.Finish(a, 40)...)
	}
	if len(dropped) != 1 || dropped[0].Sequence != 0 {
		t.Fatalf("dropped answers: got %v, want the first attempt", dropped)
	}
	if got, want := l.Fence(startTime, dropped[0], self, deadline), Unknown; got != want {
		t.Errorf("Fence: got %v, want %v", got, want)
	}
}

// Each refusal has to be final, since the caller may be told that the request was not run.
func TestBeginRefuses(t *testing.T) {
	for _, tc := range []struct {
		name  string
		self  model.Incarnation
		after time.Duration
		setup func(*Ledger)
		want  Reason
	}{
		{"accepted", self, time.Second, func(*Ledger) {}, Accepted},
		{"earlier process", self - 1, time.Second, func(*Ledger) {}, Incarnation},
		{"past deadline", self, 0, func(*Ledger) {}, DeadlinePassed},
		{"far deadline", self, MaxTimeToDeadline + 1, func(*Ledger) {}, DeadlineTooFar},
		{"draining", self, time.Second, (*Ledger).Drain, Draining},
		{"full", self, time.Second, func(l *Ledger) {
			l.Begin(startTime, model.Attempt{Sequence: 9}, self, startTime.Add(time.Hour/60))
		}, Full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(self, 1, DefaultAnswerBytes)
			tc.setup(l)
			if got := l.Begin(startTime, attempt, tc.self, startTime.Add(tc.after)); got != tc.want {
				t.Fatalf("Begin: got %q, want %q", got, tc.want)
			}
			if tc.want != Accepted && l.Start(startTime, attempt) {
				t.Error("Start of a refused attempt: got true, want false")
			}
		})
	}
}

// In any order of messages, an attempt must run at most once and never after it was reported as not run, and the number of
// used slots must stay correct.
func TestAnyMessageOrderRunsAttemptAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, retain = 2, 50
		l := New(self, slots, retain)
		now := startTime
		reportedNotRun := map[model.Attempt]bool{}
		runs := map[model.Attempt]int{}
		running := map[model.Attempt]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Uint64Range(0, 4).Draw(t, "attempt")
			a := model.Attempt{Sequence: n}
			// The deadline belongs to the attempt, as it does at the entry.
			deadline := startTime.Add(time.Duration(n) * 20 * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				if r := l.Begin(now, a, self, deadline); r != Accepted && r != Duplicate {
					reportedNotRun[a] = true
				}
			case 2:
				if l.Start(now, a) {
					runs[a]++
					running[a] = true
					if reportedNotRun[a] {
						t.Fatalf("attempt %v ran after it was reported as not run", a)
					}
				}
			case 3:
				if l.Fence(now, a, self, deadline) == NeverBegun {
					reportedNotRun[a] = true
					if runs[a] > 0 {
						t.Fatalf("attempt %v was reported as never begun after it ran", a)
					}
				}
			case 4:
				if running[a] {
					l.Finish(a, rapid.IntRange(0, 60).Draw(t, "size"))
					delete(running, a)
				}
			case 5:
				l.ReleaseAnswer(a)
			case 6:
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
				l.Expire(now)
			case 7:
				l.Abandon(a)
			}
			if runs[a] > 1 {
				t.Fatalf("attempt %v ran %d times", a, runs[a])
			}
			if got := l.Load().Running; got < len(running) || got > slots {
				t.Fatalf("used slots: got %d, want %d to %d", got, len(running), slots)
			}
			if l.answerBytes < 0 || l.answerBytes > retain {
				t.Fatalf("bytes of kept answers: got %d, want 0 to %d", l.answerBytes, retain)
			}
		}
	})
}
