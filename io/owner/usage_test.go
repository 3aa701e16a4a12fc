package owner

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/meter"
)

// Operators see by the metric and the log what teams have used, only where teams take turns. The series of an entry that doesn't
// decide any more must not contradict those of the owner.
func TestUsageIsReported(t *testing.T) {
	for _, tc := range []struct {
		order alloc.TeamOrder
		want  bool
	}{{alloc.ByDeadline, false}, {alloc.ByShare, true}} {
		var log bytes.Buffer
		m := meter.New()
		term := newTerm(&Owner{Log: slog.New(slog.NewJSONHandler(&log, nil)), Meter: m, Settings: alloc.Settings{TeamOrder: tc.order}}, 7)
		cache := batch.Cache{Jobs: map[model.JobID]*batch.JobRecord{}}
		for i, team := range []model.Team{"a", "b"} {
			id := model.JobID(fmt.Sprintf("%016x", i+1))
			cache.Jobs[id] = &batch.JobRecord{
				Job:      &batch.Job{ID: id, Team: team, Steps: []batch.Step{{Count: 1, Need: batch.Amount{GPU: int64(i + 1)}}}},
				Progress: &batch.Progress{Tasks: []batch.Task{{Phase: batch.TaskPlaced, Run: 1, Worker: batch.WorkerID("n", "w", 1)}}},
			}
		}
		now := time.UnixMilli(1_000_000)
		term.scheduler.StartTerm(now, now, &cache)
		for range 12 {
			term.reportUsage(now)
			now = now.Add(time.Second)
		}
		metrics := func() string {
			// tally passes gauges on at intervals.
			for range 300 {
				w := httptest.NewRecorder()
				m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
				if !tc.want || strings.Contains(w.Body.String(), "team_usage") {
					return w.Body.String()
				}
				time.Sleep(100 * time.Millisecond)
			}
			return ""
		}
		if got := strings.Contains(metrics(), `wagtailhoist_team_usage{team="a"}`); got != tc.want {
			t.Errorf("order %s: metric: got %v, want %v", tc.order, got, tc.want)
		}
		if got, want := strings.Count(log.String(), `"msg":"usage by team","teams":2,"highest":"b `), map[bool]int{true: 2}[tc.want]; got != want {
			t.Errorf("order %s: lines about usage in 12 s: got %d, want %d:\n%s", tc.order, got, want, log.String())
		}
		term.endUsageMetrics()
		if err := m.Close(); err != nil {
			t.Fatal(err)
		}
		if got := strings.Contains(metrics(), `wagtailhoist_team_usage{team="b"} NaN`); got != tc.want {
			t.Errorf("order %s: metric at the end of a term is NaN: got %v, want %v", tc.order, got, tc.want)
		}
	}
}
