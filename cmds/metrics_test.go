package cmds

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/core/retry"
	"wagtailhoist/core/route"
	"wagtailhoist/io/front"
	"wagtailhoist/io/meter"
)

// fixedRouter picks the agent of another region for the first attempt and that of its own region for a retry.
type fixedRouter struct{ reports int }

func (r *fixedRouter) Pick(_ time.Time, q route.Request) (model.Record, error) {
	if len(q.Tried) == 0 {
		return model.Record{ID: "far", Region: "ch-east"}, nil
	}
	return model.Record{ID: "near", Region: "ch-west"}, nil
}

func (r *fixedRouter) Suspect(time.Time, model.NodeID) {}

func (r *fixedRouter) Report(time.Time, model.NodeID, route.Result) { r.reports++ }

// When a cell changes its owner, the former owner must stop reporting its last value beside the new owner's.
func TestFragmentationEndsWithOwnership(t *testing.T) {
	m := meter.New()
	freeCapacities := map[model.CellID]plan.FreeCapacity{"chur": {Total: 16, Largest: 8}, "lausanne": {Total: 24, Largest: 24}}
	record := recordFragmentation(func() map[model.CellID]plan.FreeCapacity { return freeCapacities }, m)
	record(time.Now())
	freeCapacities = map[model.CellID]plan.FreeCapacity{"chur": {Total: 16, Largest: 8}}
	record(time.Now())
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`wagtailhoist_fragmentation{cell="chur"} 0.5`, `wagtailhoist_fragmentation{cell="lausanne"} NaN`} {
		if !strings.Contains(rec.Body.String(), want) {
			t.Errorf("metrics: got no line %s", want)
		}
	}
}

// Traffic between regions is billed by volume and retries have a budget, so both must show in the metrics.
func TestRemoteBytesAndRetriesAreCounted(t *testing.T) {
	m := meter.New()
	inner := &fixedRouter{}
	r := &countingRouter{Router: inner, meter: m, ownRegion: "ch-west"}
	now := time.Now()
	for _, tried := range [][]model.NodeID{nil, {"far"}} {
		rec, err := r.Pick(now, route.Request{Bytes: 100, Tried: tried})
		if err != nil {
			t.Fatal(err)
		}
		r.Report(now, rec.ID, route.Result{Bytes: 7})
	}
	if len(r.remote) != 0 {
		t.Errorf("agents kept after their attempts: got %d, want 0", len(r.remote))
	}
	handle := front.Chain(func(_ context.Context, c front.Call) front.Reply {
		return front.Reply{Outcome: retry.Outcome(c.Key), Reason: "text: with details"}
	}, countOutcomes(m), timeService(m))
	for _, outcome := range []retry.Outcome{
		retry.OutcomeAnswered, retry.OutcomeNotRun, retry.OutcomeUnknown, retry.OutcomeDuplicate,
	} {
		handle(t.Context(), front.Call{Team: "hotels", Service: "orders", Key: string(outcome)})
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`wagtailhoist_remote_bytes_total{region="ch-east"} 107`,
		`wagtailhoist_retries_total{reason="next agent"} 1`,
		`wagtailhoist_refusals_total{reason="text"} 2`,
		`wagtailhoist_unknown_outcomes_total{reason="text"} 1`,
		`wagtailhoist_completion_team_seconds_count{team="hotels"} 1`,
		`wagtailhoist_service_class_seconds_count{class="orders"} 1`,
	} {
		if !strings.Contains(rec.Body.String(), want) {
			t.Errorf("metrics: got no line %s", want)
		}
	}
	if strings.Contains(rec.Body.String(), "ch-west") || inner.reports != 2 {
		t.Errorf("got %d reports, want 2, and no bytes for the own region", inner.reports)
	}
}
