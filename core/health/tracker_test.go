package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// Under a load of changes, a store that falls silent must get no more of them than those of the first moment: each one that is sent and
// not answered ends with an unknown outcome at its caller.
func TestChangesAfterASilence(t *testing.T) {
	var k Tracker
	check := func(name string, at time.Duration, want bool) {
		t.Helper()
		if got := k.ChangeAllowed(start.Add(at)); got != want {
			t.Errorf("%s: got change allowed %v, want %v", name, got, want)
		}
	}
	check("before the first answer", 0, true)
	k.Answered(start)
	check("with a fresh answer", FreshAnswer, true)
	check("after a silence", FreshAnswer+1, false)
	k.ProbeAnswered(start.Add(time.Second))
	check("after a read was answered", time.Second+FreshAnswer, true)
	check("after the next silence", time.Second+FreshAnswer+1, false)
	k.Answered(start.Add(2 * time.Second))
	check("after any answer", 2*time.Second, true)
}

// Retries of changes during an outage must not end with an unknown outcome each. After a call without an answer, not even a fresh
// answer to another call is enough: the store may leave only some calls unanswered.
func TestChangesAfterACallWithoutAnswer(t *testing.T) {
	var k Tracker
	k.Failed(start, true)
	k.Answered(start)
	if k.ChangeAllowed(start) {
		t.Error("got a change allowed after a call without an answer, want none")
	}
	// A later refusal says nothing about the call without an answer.
	k.Failed(start, false)
	if k.ChangeAllowed(start) {
		t.Error("got a change allowed after a refusal, want none")
	}
	k.ProbeAnswered(start)
	if !k.ChangeAllowed(start) {
		t.Error("got no change allowed after a read was answered, want one")
	}
	k.Failed(start, true)
	k.Recovered()
	if !k.ChangeAllowed(start) || !k.CallAllowed(start) {
		t.Error("got no change or call allowed after an answered call, want both")
	}
	// A refused call has a known outcome, so that changes needn't wait for a read.
	k.Failed(start, false)
	if !k.ChangeAllowed(start) {
		t.Error("got no change allowed after a refused call, want one")
	}
}

// While a store refuses a process under load, its calls go through other processes at once, instead of each failing first.
func TestCallsPauseAfterAFailure(t *testing.T) {
	var k Tracker
	if !k.CallAllowed(start) {
		t.Error("got no call allowed before any failure, want one")
	}
	k.Failed(start, false)
	if k.CallAllowed(start.Add(RetryPause - 1)) {
		t.Error("got a call allowed during the pause, want none")
	}
	if !k.CallAllowed(start.Add(RetryPause)) {
		t.Error("got no call allowed after the pause, want one")
	}
	k.Answered(start)
	if k.CallAllowed(start) {
		t.Error("got a call allowed because an earlier one was answered, want none")
	}
}

// In an outage beside a load of changes, the store must be probed until it answers: the owner's lease and the jobs of callers wait for
// it. Without changes, or while calls are answered, there is nothing to find out.
func TestProbesInAnOutage(t *testing.T) {
	var k Tracker
	check := func(name string, at time.Duration, want bool) {
		t.Helper()
		if got := k.ProbeDue(start.Add(at)); got != want {
			t.Errorf("%s: got a probe due %v, want %v", name, got, want)
		}
	}
	k.ChangeWanted(start)
	check("before a failure", 0, false)
	k.Failed(start, true)
	check("after a failure", 0, true)
	k.ProbeFailed(start.Add(RetryPause - 1))
	check("after a failed probe", RetryPause, true)
	if k.CallAllowed(start.Add(RetryPause)) {
		t.Error("got a call allowed while probes fail, want none")
	}
	k.Recovered()
	check("after an answer", RetryPause, false)
	k.ProbeFailed(start.Add(RetryPause))
	if !k.CallAllowed(start.Add(RetryPause)) {
		t.Error("got no call allowed after an answer, because of a probe that began before it; want one")
	}
	for at := RetryPause; at < demandTime+RetryPause; at += RetryPause {
		k.Failed(start.Add(at), false)
	}
	check("without changes", demandTime+1, false)
	var idle Tracker
	idle.Failed(start, true)
	if idle.ProbeDue(start) {
		t.Error("got a probe due although no change was ever wanted, want none")
	}
}

// For any sequence of events, a change is allowed only if the store answered within FreshAnswer or never did, and, after a call
// without an answer, only once a read or a direct call was answered.
func TestChangesNeedAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k Tracker
		now, answeredAt, unanswered := start, time.Time{}, false
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(RetryPause)).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				k.Answered(now)
				answeredAt = now
			case 1:
				k.ProbeAnswered(now)
				answeredAt, unanswered = now, false
			case 2:
				k.Recovered()
				unanswered = false
			case 3:
				k.Failed(now, true)
				unanswered = true
			case 4:
				k.Failed(now, false)
			}
			age := rapid.Int64Range(0, int64(2*FreshAnswer)).Draw(t, "age")
			later := now.Add(time.Duration(age))
			want := !unanswered && (answeredAt.IsZero() || later.Sub(answeredAt) <= FreshAnswer)
			if got := k.ChangeAllowed(later); got != want {
				t.Fatalf("got a change allowed %v, want %v", got, want)
			}
		}
	})
}
