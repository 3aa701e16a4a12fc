package owner

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/io/meter"
)

// Operators follow an evacuation by its log lines and by the counter of refused starts. A stop that is confirmed arrives as a refusal
// too, and must not be counted as one.
func TestEvacuationIsLoggedAndCounted(t *testing.T) {
	var log bytes.Buffer
	m := meter.New()
	o := &Owner{Log: slog.New(slog.NewJSONHandler(&log, nil)), Meter: m}
	term := newTerm(o, 7)
	term.traceDecision(alloc.Event{Kind: "data centre evacuated", Centre: "c1", Runs: 3, Since: 40 * time.Millisecond})
	term.traceDecision(alloc.Event{Kind: "guarantee lost capacity", Centre: "c1", Team: "a", Detail: "because"})
	term.traceDecision(alloc.Event{Kind: "guarantee has its capacity again", Team: "a"})
	for _, reason := range []string{batch.RefusedEvacuated, batch.RefusedEvacuated, batch.RefusedStopped} {
		term.traceDecision(alloc.Event{Kind: alloc.KindRefused, Run: batch.RunID{Task: batch.TaskID{Job: "j"}, Run: 1}, Detail: reason})
	}
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"msg":"data centre evacuated","centre":"c1","team":"","runs":3,"since":40,"detail":"","fence":7`,
		`"msg":"guarantee lost capacity","centre":"c1","team":"a","runs":0,"since":0,"detail":"because","fence":7`,
		`"msg":"guarantee has its capacity again","centre":"","team":"a"`,
	} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("got no line with %s:\n%s", want, log.String())
		}
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if want := `wagtailhoist_refused_starts_total{reason="evacuated"} 2`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("metrics: got no line %s", want)
	}
	if other := `wagtailhoist_refused_starts_total{reason="stopped"}`; strings.Contains(w.Body.String(), other) {
		t.Errorf("metrics: got %s for a stop that was confirmed", other)
	}
}
