package proof

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Operators see the load of each team in the status output and the metrics. Both have to show the durations of an
// answered request, and the metrics have to count a refused resend.
func TestRequestMetricsByTeam(t *testing.T) {
	f := startProcesses(t, "e1", "a1")
	send := func(team, key string) int {
		req, err := http.NewRequest(http.MethodPost, f.entries["e1"].url("listen")+"/order", strings.NewReader("two nets"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Wagtailhoist-Team", team)
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	f.within(startTimeout, "an answer", func() bool { return send("hotels", time.Now().String()) == http.StatusOK })
	send("hotels", "twice")
	if got := send("hotels", "twice"); got != http.StatusConflict {
		t.Errorf("resend: got %d, want 409", got)
	}
	f.within(5*time.Second, "times by team in the status", func() bool {
		_, out := f.runCommand("e1", "status")
		text := strings.Join(strings.Fields(out), " ")
		return strings.Contains(text, "completion team hotels") && strings.Contains(text, "service team hotels") &&
			strings.Contains(text, "waiting team hotels")
	})
	req, err := http.NewRequest(http.MethodGet, f.entries["e1"].url("admin")+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`wagtailhoist_completion_team_seconds_count{team="hotels"}`, "wagtailhoist_refusals_total{", `wagtailhoist_link_bytes_total{direction="sent"}`,
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("metrics: got no line with %s", want)
		}
	}
}
