package meter

import (
	"fmt"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wagtailhoist/core/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func scrape(m *Meter) string {
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	return rec.Body.String()
}

// The reporter panics on the names of tally's own metrics unless the root scope is configured for Prometheus.
func TestServesEveryMetric(t *testing.T) {
	m := New()
	m.Waiting("brennholz", "route", 2*time.Millisecond)
	m.Service("brennholz", "route", 20*time.Millisecond)
	m.Completion("brennholz", "", time.Hour)
	m.Refusal("queue full")
	m.Retry("not-run")
	m.UnknownOutcome("agent lost")
	m.LateAnswer("duplicate")
	m.RemoteBytes("ch-east", 42)
	m.Fragmentation("lausanne", 0.25)
	m.RunTimes("nightly", 1.5, 2.25, 40)
	m.Fragmentation("chur", 0.5)
	m.Fragmentation("chur", math.NaN())
	m.EvacuatedCentres(2)
	m.RefusedJob("brennholz", "nightly")
	m.Gauge("forecast_age_seconds", -1)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	got := scrape(m)
	for _, want := range []string{
		`wagtailhoist_waiting_team_seconds_bucket{team="brennholz",le="0.003"} 1`,
		`wagtailhoist_service_class_seconds_bucket{class="route",le="0.03"} 1`,
		`wagtailhoist_completion_team_seconds_count{team="brennholz"} 1`,
		`wagtailhoist_refusals_total{reason="queue full"} 1`,
		`wagtailhoist_retries_total{reason="not-run"} 1`,
		`wagtailhoist_unknown_outcomes_total{reason="agent lost"} 1`,
		`wagtailhoist_late_answers_total{kind="duplicate"} 1`,
		`wagtailhoist_remote_bytes_total{region="ch-east"} 42`,
		`wagtailhoist_fragmentation{cell="lausanne"} 0.25`,
		`wagtailhoist_run_time_ratio{queue="nightly"} 1.5`,
		`wagtailhoist_run_time_spread{queue="nightly"} 2.25`,
		`wagtailhoist_run_time_samples{queue="nightly"} 40`,
		`wagtailhoist_fragmentation{cell="chur"} NaN`,
		`wagtailhoist_evacuated_centres 2`,
		`wagtailhoist_refused_jobs_team_total{team="brennholz"} 1`,
		`wagtailhoist_refused_jobs_queue_total{queue="nightly"} 1`,
		`wagtailhoist_forecast_age_seconds -1`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("metrics: got no line %s", want)
		}
	}
}

// A caller can put any name into the team header. Invented teams must not increase the memory of the process without
// limit, and the 380 declared teams must keep a series each.
func TestCardinalityIsBounded(t *testing.T) {
	m := New()
	for i := range 380 {
		m.Waiting(model.Team(fmt.Sprintf("team-%d", i)), "", time.Second)
	}
	for i := range 5000 {
		m.Waiting(model.Team(fmt.Sprintf("invented-%d", i)), fmt.Sprintf("class-%d", i), time.Second)
		m.Refusal(fmt.Sprintf("reason\n%d\xff", i))
	}
	m.Waiting(model.Team(strings.Repeat("x", 1<<20)), "", time.Second)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	text := scrape(m)
	for _, tc := range []struct {
		series string
		want   int
	}{
		{"wagtailhoist_waiting_team_seconds_count", maxTeams + 1},
		{"wagtailhoist_waiting_class_seconds_count", maxClasses + 1},
		{"wagtailhoist_refusals_total{", maxReasons + 1},
		{`wagtailhoist_waiting_team_seconds_count{team="team-`, 380},
	} {
		if got := strings.Count(text, tc.series); got != tc.want {
			t.Errorf("%s: got %d series, want %d", tc.series, got, tc.want)
		}
	}
}

// The status command shows percentiles; one below the true value would hide slow requests.
func TestSummariesNeverReportTooLow(t *testing.T) {
	m := New()
	for i := range 100 {
		m.Service("a", "", time.Duration(i+1)*time.Millisecond)
	}
	m.Service("b", "", 48*time.Hour)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := m.Summaries()
	if err != nil {
		t.Fatal(err)
	}
	want := []Summary{
		{Metric: "service", By: "team", Name: "a", Count: 100, P50: 0.1, P95: 0.1, P99: 0.1},
		{Metric: "service", By: "team", Name: "b", Count: 1, P50: 86400, P95: 86400, P99: 86400},
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("summaries: got %v, want %v", got, want)
	}
}

// Packages may run without a meter: a nil meter must not panic.
func TestNilMeterRecordsNothing(t *testing.T) {
	var m *Meter
	m.Waiting("a", "b", time.Second)
	m.Refusal("x")
	if got, err := m.Summaries(); got != nil || err != nil {
		t.Errorf("summaries: got %v, %v, want none", got, err)
	}
	if err := m.Close(); err != nil {
		t.Errorf("close: got %v, want none", err)
	}
}
