package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var (
	epoch = time.Unix(1_000_000, 0)
	one   = model.Attempt{Entry: 1, Sequence: 1}
)

const self = model.Incarnation(7)

// A Begin that is delayed in a silent connection must not run after its entry was told that it never will.
func TestLateBeginMeetsFence(t *testing.T) {
	l := New(self, 1, Retain)
	deadline := epoch.Add(time.Minute)
	if got, want := l.Fence(epoch, one, self, deadline), NeverBegun; got != want {
		t.Fatalf("Fence: got %v, want %v", got, want)
	}
	if got, want := l.Begin(epoch.Add(time.Second), one, self, deadline), FencedOff; got != want {
		t.Errorf("Begin: got %q, want %q", got, want)
	}
}

// An entry that is told never-begun about an attempt whose record is gone would report a run request as not run.
func TestForgottenAttemptIsUnknown(t *testing.T) {
	l := New(self, 1, Retain)
	deadline := epoch.Add(time.Second)
	l.Begin(epoch, one, self, deadline)
	l.Start(epoch, one)
	l.Finish(one, 0)
	late := deadline.Add(Keep)
	l.Expire(late)
	if got, want := l.Fence(late, one, self, deadline), Unknown; got != want {
		t.Errorf("Fence: got %v, want %v", got, want)
	}
}

// Answers that nobody acknowledges would fill the agent's memory; an attach to a dropped one must not look like never-begun.
func TestOldestAnswersAreDropped(t *testing.T) {
	l := New(self, 3, 100)
	deadline := epoch.Add(time.Second)
	var dropped []model.Attempt
	for n := range uint64(3) {
		a := model.Attempt{Sequence: n}
		l.Begin(epoch, a, self, deadline)
		l.Start(epoch, a)
		dropped = append(dropped, l.Finish(a, 40)...)
	}
	if len(dropped) != 1 || dropped[0].Sequence != 0 {
		t.Fatalf("dropped: got %v, want the first attempt", dropped)
	}
	if got, want := l.Fence(epoch, dropped[0], self, deadline), Unknown; got != want {
		t.Errorf("Fence: got %v, want %v", got, want)
	}
}

// Refusals by table: each one has to be final, since the caller may be told that the request was not run.
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
		{"past deadline", self, 0, func(*Ledger) {}, Late},
		{"far deadline", self, Longest + 1, func(*Ledger) {}, Far},
		{"draining", self, time.Second, (*Ledger).Drain, Draining},
		{"full", self, time.Second, func(l *Ledger) {
			l.Begin(epoch, model.Attempt{Sequence: 9}, self, epoch.Add(time.Hour/60))
		}, Full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := New(self, 1, Retain)
			tc.setup(l)
			if got := l.Begin(epoch, one, tc.self, epoch.Add(tc.after)); got != tc.want {
				t.Fatalf("Begin: got %q, want %q", got, tc.want)
			}
			if tc.want != Accepted && l.Start(epoch, one) {
				t.Error("Start: a refused attempt ran")
			}
		})
	}
}

// In any order of messages, an attempt runs at most once, never after the entry was told
// that it will not, and the slots add up.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, retain = 2, 50
		l := New(self, slots, retain)
		now := epoch
		told := map[model.Attempt]bool{}
		runs := map[model.Attempt]int{}
		running := map[model.Attempt]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.Uint64Range(0, 4).Draw(t, "attempt")
			a := model.Attempt{Sequence: n}
			// The deadline belongs to the attempt, as it does at the entry.
			deadline := epoch.Add(time.Duration(n) * 20 * time.Second)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				if r := l.Begin(now, a, self, deadline); r != Accepted && r != Duplicate {
					told[a] = true
				}
			case 2:
				if l.Start(now, a) {
					runs[a]++
					running[a] = true
					if told[a] {
						t.Fatalf("attempt %v ran after it was reported as not run", a)
					}
				}
			case 3:
				if l.Fence(now, a, self, deadline) == NeverBegun {
					told[a] = true
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
				l.Done(a)
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
				t.Fatalf("busy slots: got %d, want %d to %d", got, len(running), slots)
			}
			if l.weight < 0 || l.weight > retain {
				t.Fatalf("bytes kept: got %d, want 0 to %d", l.weight, retain)
			}
		}
	})
}
