package proof

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Processes may start and announce themselves without being able to forward requests: a request to the entry has to
// reach the minion and return with the minion's answer.
func TestRequestThroughSeparateProcesses(t *testing.T) {
	minion := start(t, "stand", "minion")
	entry := start(t, "wagtailhoist", "entry", "--id", "e1", "--region", "ch-west", "--centre", "lausanne",
		"--listen", "127.0.0.1:0", "--link", "127.0.0.1:0", "--token", "t")
	agent := start(t, "wagtailhoist", "agent", "--id", "m1", "--region", "ch-west", "--centre", "lausanne",
		"--listen", "127.0.0.1:0", "--minion", minion.url("listen"),
		"--join", entry.addr("link"), "--token", "t")
	entry.ready("link")
	agent.ready("link")

	var status int
	var body, outcome string
	eventually(t, 10*time.Second, "the entry returns the minion's answer", func() bool {
		resp, err := http.Post(entry.url("listen")+"/route/42", "text/plain", strings.NewReader("two nets"))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatalf("reading the answer: %v", err)
		}
		status, body, outcome = resp.StatusCode, string(data), resp.Header.Get("Wagtailhoist-Outcome")
		return status == http.StatusOK
	})
	if outcome != "answered" {
		t.Errorf("outcome: got %q, want answered", outcome)
	}
	if !strings.Contains(body, "/route/42") {
		t.Errorf("answer: got %q, want the echo of /route/42", body)
	}
	if got := len(entry.lines(`"listening"`)); got != 1 {
		t.Errorf("lines with the addresses: got %d, want 1", got)
	}
	agent.stop()
	entry.stop()
}

// An entry has to answer requests after its own process was paused. After the minion was killed, the caller must get an
// explicit outcome instead of an answer.
func TestOutcomeAfterEntryPauseAndMinionLoss(t *testing.T) {
	minion := start(t, "stand", "minion")
	entry := start(t, "wagtailhoist", "entry", "--id", "e1", "--region", "ch-west", "--centre", "lausanne", "--token", "t")
	agent := start(t, "wagtailhoist", "agent", "--id", "m1", "--region", "ch-west", "--centre", "lausanne",
		"--minion", minion.url("listen"), "--join", entry.addr("link"), "--token", "t")
	entry.ready("link")
	agent.ready("link")
	entry.pause()
	time.AfterFunc(time.Second, entry.resume)
	eventually(t, 10*time.Second, "an answer after the pause", func() bool {
		status, _ := post(t, entry.url("listen")+"/", "order")
		return status == http.StatusOK
	})
	minion.kill()
	status, body := post(t, entry.url("listen")+"/", "order")
	if status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
		t.Errorf("after the loss of the minion: got %d %s, want 503 or 504", status, body)
	}
}
