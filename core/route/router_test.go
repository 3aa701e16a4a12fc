package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
)

var start = time.Unix(1_800_000_000, 0)

func rec(id, region, centre string, running int) model.Record {
	return model.Record{
		ID: model.NodeID(id), Incarnation: 1, Sequence: 1, Region: model.Region(region), Centre: model.Centre(centre),
		Service: "plan", Load: model.Load{Running: running, Slots: 8},
	}
}

// newRouter returns the router of an entry in data centre a of region w, with a table of the records.
func newRouter(records ...model.Record) *Router {
	r := &Router{Table: &member.Table{Region: "w", Centre: "a"}, Random: rand.New(rand.NewPCG(1, 2))}
	for _, rec := range records {
		r.Table.Merge(start, rec)
	}
	r.Table.MarkRegionHeard(start, "e")
	return r
}

func pick(t *testing.T, r *Router, now time.Time, req Request) model.NodeID {
	t.Helper()
	req.Service = "plan"
	rec, err := r.Pick(now, req)
	if err != nil {
		t.Fatalf("pick: %v", err)
	}
	return rec.ID
}

// Traffic between regions is slow and billed. Nearer agents must be chosen first, and those of other regions only within the
// byte budget.
func TestNearAgentsFirstAndByteBudget(t *testing.T) {
	r := newRouter(rec("far", "e", "z", 0), rec("region", "w", "b", 7), rec("near", "w", "a", 7))
	for i, want := range []model.NodeID{"near", "region", "far"} {
		tried := []model.NodeID{"near", "region", "far"}[:i]
		if got := pick(t, r, start, Request{Tried: tried}); got != want {
			t.Errorf("after %v: got %s, want %s", tried, got, want)
		}
	}
	r = newRouter(rec("far", "e", "z", 0))
	r.Bytes, r.Entries = 2000, 2
	pick(t, r, start, Request{Bytes: 1500})
	var spent *ByteBudgetError
	if _, err := r.Pick(start, Request{Service: "plan", Bytes: 1500}); !errors.As(err, &spent) {
		t.Fatalf("second request: got %v, want BytesError", err)
	}
	if spent.Wait != time.Second {
		t.Errorf("wait: got %v, want 1s", spent.Wait)
	}
	pick(t, r, start.Add(time.Second), Request{Bytes: 1500})
	// The size of an answer is known only afterwards, and must be charged as well.
	r.Report(start.Add(time.Second), "far", Result{Bytes: 10_000})
	if _, err := r.Pick(start.Add(2*time.Second), Request{Service: "plan", Bytes: 1}); !errors.As(err, &spent) {
		t.Errorf("after a large answer: got %v, want BytesError", err)
	}
}

// A burst between two announcements must not all go to the agent that was idle at its last announcement.
func TestBurstIsSpreadOverAgents(t *testing.T) {
	var records []model.Record
	for i := range 10 {
		records = append(records, rec(fmt.Sprint(i), "w", "a", 0))
	}
	r := newRouter(records...)
	got := map[model.NodeID]int{}
	for range 80 {
		got[pick(t, r, start, Request{})]++
	}
	for id, n := range got {
		if n > 12 {
			t.Errorf("agent %s got %d of 80 requests, want at most 12", id, n)
		}
	}
	if len(got) != 10 {
		t.Errorf("agents used: got %d, want 10", len(got))
	}
}

// A load that came with an answer after the last announcement must replace the announced load.
func TestLoadOfAnswerReplacesOlderAnnouncement(t *testing.T) {
	r := newRouter(rec("one", "w", "a", 2), rec("two", "w", "a", 4))
	r.Table.Row("two").HeardAt = start.Add(-time.Second)
	first := pick(t, r, start, Request{})
	if first != "one" {
		t.Fatalf("agent by announced load: got %s, want the less loaded one", first)
	}
	r.Report(start.Add(time.Millisecond), "one", Result{Load: model.Load{Running: 8, Slots: 8}})
	if got := pick(t, r, start.Add(time.Millisecond), Request{}); got != "two" {
		t.Errorf("agent after one was reported as fully loaded: got %s, want two", got)
	}
}

// Retries multiply the load during an outage; they must stay within a tenth of the requests, apart from an initial burst.
func TestRetryBudget(t *testing.T) {
	r := newRouter(rec("one", "w", "a", 0), rec("two", "w", "a", 0))
	retries := 0
	for range 1000 {
		id := pick(t, r, start, Request{})
		r.Report(start, id, Result{Outcome: Refused})
		again, err := r.Pick(start, Request{Service: "plan", Tried: []model.NodeID{id}})
		var spent *RetryBudgetError
		switch {
		case err == nil:
			retries++
			r.Report(start, again.ID, Result{Outcome: Refused})
		case !errors.As(err, &spent):
			t.Fatalf("retry: got %v, want RetryError", err)
		}
	}
	if retries > 110 || retries < 100 {
		t.Errorf("retries of 1000 requests: got %d, want 100 to 110", retries)
	}
}

// Requests that fail at the same moment must not all be retried at the same moment, and the delay must grow within bounds.
func TestRetryDelayGrowsWithinBounds(t *testing.T) {
	for retry := range 40 {
		low, high := RetryDelay(retry, 0), RetryDelay(retry, 0.999)
		if low < minRetryDelay/2 || high > maxRetryDelay || high <= low {
			t.Errorf("delay of retry %d: got %v to %v, want a range within the bounds", retry, low, high)
		}
	}
	if RetryDelay(3, 0) <= RetryDelay(1, 0) {
		t.Error("the delay of retry 3 is not longer than that of retry 1")
	}
}

// An agent whose attempts all fail must be ejected, and must then get one probe at a time with exponential backoff until it
// answers.
func TestEjectionAndProbing(t *testing.T) {
	r := newRouter(rec("bad", "w", "a", 0))
	now := start
	try := func(o Outcome) bool {
		r.Table.Row("bad").HeardAt = now
		rec, err := r.Pick(now, Request{Service: "plan"})
		if err != nil {
			return false
		}
		r.Report(now, rec.ID, Result{Outcome: o})
		return true
	}
	for i := range ejectAfterFailures {
		if !try(Failed) {
			t.Fatalf("ejected after %d failures", i)
		}
	}
	for _, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		if try(Failed) {
			t.Fatal("picked while ejected")
		}
		now = now.Add(backoff - 1)
		if try(Failed) {
			t.Fatalf("probed before %v", backoff)
		}
		now = now.Add(1)
		if !try(Failed) {
			t.Fatalf("not probed after %v", backoff)
		}
	}
	now = now.Add(8 * time.Second)
	r.Table.Row("bad").HeardAt = now
	if got := pick(t, r, now, Request{}); got != "bad" {
		t.Fatalf("probe: got agent %s, want bad", got)
	}
	if try(Answered) {
		t.Fatal("a second probe was sent before the report of the first one")
	}
	r.Report(now, "bad", Result{Outcome: Answered})
	for range ejectAfterFailures - 1 {
		if !try(Failed) {
			t.Fatal("the answered probe did not restore the agent")
		}
	}
	if !try(Stalled) || try(Answered) {
		t.Error("a stalled attempt did not eject the agent")
	}
	again := rec("bad", "w", "a", 0)
	again.Incarnation = 2
	r.Table.Merge(now, again)
	if !try(Answered) {
		t.Error("a new incarnation of the agent is still ejected")
	}
}

// The outcome of an attempt decides whether its agent may get the next request. An agent that withdraws must be used as soon as
// it announces its return, and one that has stopped must not get requests as probes.
func TestOutcomeDecidesEligibility(t *testing.T) {
	for _, tc := range []struct {
		name     string
		result   Result
		suspect  bool
		heard    time.Duration // time of the next announcement after the outcome; negative for none
		sequence uint64
		wait     time.Duration
		want     bool
	}{
		{name: "refused", result: Result{Outcome: Refused}, heard: -1, want: true},
		{name: "one failure", result: Result{Outcome: Failed}, heard: -1, want: true},
		{name: "withdrawn", result: Result{Outcome: Withdrawn, Sequence: 1}, heard: -1, wait: 2 * time.Second},
		{name: "withdrawn, an older announcement arrives", result: Result{Outcome: Withdrawn, Sequence: 3}, heard: 1, sequence: 3, wait: time.Second},
		{name: "withdrawn, back at once", result: Result{Outcome: Withdrawn, Sequence: 3}, heard: 1, sequence: 4, want: true},
		{name: "withdrawn, version without a sequence", result: Result{Outcome: Withdrawn}, heard: 1, sequence: 9, wait: 2 * time.Second},
		{name: "stalled", result: Result{Outcome: Stalled}, heard: 1, sequence: 2},
		{name: "stalled, not heard of since", result: Result{Outcome: Stalled}, heard: -1, wait: 2 * time.Second},
		{name: "stalled, heard of since", result: Result{Outcome: Stalled}, heard: 1, sequence: 2, wait: 2 * time.Second, want: true},
		{name: "suspected, then answered", suspect: true, result: Result{Outcome: Answered}, heard: -1, want: true},
		{name: "suspected, then failed", suspect: true, result: Result{Outcome: Failed}, heard: 1, sequence: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(rec("a", "w", "a", 0))
			pick(t, r, start, Request{})
			if tc.suspect {
				r.Suspect(start, "a")
				if _, err := r.Pick(start, Request{Service: "plan"}); err == nil {
					t.Error("Pick returned the suspected agent")
				}
			}
			now := start.Add(time.Millisecond)
			r.Report(now, "a", tc.result)
			if tc.heard >= 0 {
				next := rec("a", "w", "a", 0)
				next.Sequence = tc.sequence
				r.Table.Merge(now.Add(tc.heard), next)
			}
			_, err := r.Pick(now.Add(tc.wait), Request{Service: "plan"})
			if got := err == nil; got != tc.want {
				t.Errorf("picked after %v: got %v (%v), want %v", tc.wait, got, err, tc.want)
			}
		})
	}
}

// A probe whose caller never reports must not keep the agent ejected for ever.
func TestUnreportedProbeTimesOut(t *testing.T) {
	r := newRouter(rec("a", "w", "a", 0))
	pick(t, r, start, Request{})
	r.Report(start, "a", Result{Outcome: Stalled})
	now := start.Add(minBackoff)
	pick(t, r, now, Request{})
	now = now.Add(probeTimeout + 1)
	r.Table.Row("a").HeardAt = now
	pick(t, r, now, Request{})
}

// Only live, untried agents of the service may be picked, also when they are few among many others.
func TestPicksOnlyCandidates(t *testing.T) {
	var records []model.Record
	for i := range 300 {
		r := rec(fmt.Sprint(i), "w", "a", 0)
		r.State = model.Draining
		records = append(records, r)
	}
	records = append(records, rec("good", "w", "a", 0))
	r := newRouter(records...)
	for range 50 {
		if got := pick(t, r, start, Request{}); got != "good" {
			t.Fatalf("got %s, want the only ready agent", got)
		}
	}
	var none *NoCandidateError
	if _, err := r.Pick(start, Request{Service: "plan", Tried: []model.NodeID{"good"}}); !errors.As(err, &none) || none.Known != 301 {
		t.Errorf("all tried: got %v, want NoCandidateError", err)
	}
	if _, err := r.Pick(start, Request{Service: "stock"}); !errors.As(err, &none) || none.Known != 0 {
		t.Errorf("other service: got %v, want NoCandidateError", err)
	}
}

// No request may reach an agent in an evacuated data centre, not even as a retry or because no other agent is left, and its
// agents must be candidates again at once when it is returned to service.
func TestEvacuatedCentreGetsNoAttempts(t *testing.T) {
	agents := []model.Record{rec("near", "w", "a", 0), rec("region", "w", "b", 7), rec("far", "e", "z", 0)}
	for _, tc := range []struct {
		name      string
		evacuated []model.Centre
		tried     []model.NodeID
		want      model.NodeID // empty for a refusal
		unusable  int
	}{
		{"none", nil, nil, "near", 0},
		{"own", []model.Centre{"a"}, nil, "region", 1},
		{"own, listed twice", []model.Centre{"a", "a"}, nil, "region", 1},
		{"unknown and empty", []model.Centre{"q", ""}, nil, "near", 0},
		{"another of the region", []model.Centre{"b"}, []model.NodeID{"near"}, "far", 1},
		{"two", []model.Centre{"a", "b"}, nil, "far", 2},
		{"retry", []model.Centre{"a", "z"}, []model.NodeID{"region"}, "", 2},
		{"all", []model.Centre{"a", "b", "z"}, nil, "", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRouter(agents...)
			r.SetEvacuated(tc.evacuated)
			for range 100 {
				got, err := r.Pick(start, Request{Service: "plan", Tried: tc.tried})
				r.Report(start, got.ID, Result{Outcome: Answered})
				var none *NoCandidateError
				if got.ID != tc.want || (err != nil) != (tc.want == "") || err != nil && !errors.As(err, &none) {
					t.Fatalf("picked %q, error %v; want %q", got.ID, err, tc.want)
				}
				if none != nil && (none.Known != 3 || none.Evacuated != tc.unusable) {
					t.Fatalf("refusal: got %+v, want 3 known agents and %d evacuated ones", none, tc.unusable)
				}
				if len(tc.tried) > 0 {
					break // the retry budget covers only the first retries
				}
			}
			r.SetEvacuated(nil)
			if got := pick(t, r, start, Request{}); got != "near" {
				t.Errorf("returned to service: picked %q, want near", got)
			}
		})
	}
}

// An agent without a data centre belongs to none that could be evacuated.
func TestAgentWithoutCentreIsNeverEvacuated(t *testing.T) {
	r := newRouter(rec("one", "w", "", 0))
	r.SetEvacuated([]model.Centre{""})
	pick(t, r, start, Request{})
}

// A restarted entry knows agents before it knows the configuration, and must not send requests to evacuated data centres
// meanwhile.
func TestRequestsWaitForTheEvacuatedCentres(t *testing.T) {
	r := newRouter(rec("one", "w", "a", 0))
	r.AwaitEvacuated = true
	var notConfigured *NotConfiguredError
	if got, err := r.Pick(start, Request{Service: "plan"}); !errors.As(err, &notConfigured) {
		t.Fatalf("before SetEvacuated: got %q, %v, want NotConfiguredError", got.ID, err)
	}
	r.SetEvacuated(nil)
	pick(t, r, start, Request{})
}

// Attempts that are in flight when their data centre is evacuated end as usual, and their results still count.
func TestAttemptInFlightEndsAfterEvacuation(t *testing.T) {
	r := newRouter(rec("one", "w", "a", 0))
	pick(t, r, start, Request{})
	r.SetEvacuated([]model.Centre{"a"})
	r.Report(start, "one", Result{Outcome: Stalled})
	r.SetEvacuated(nil)
	if got, err := r.Pick(start, Request{Service: "plan"}); err == nil {
		t.Errorf("after a stalled attempt: picked %q, want it ejected", got.ID)
	}
}
