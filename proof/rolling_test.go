package proof

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// rolling is a complete system whose processes are replaced one after the other.
type rolling struct {
	*cluster
	minions []*process
	agents  []*process
	entries atomic.Pointer[[]*process] // entries that the load balancer uses, oldest first
	started int                        // number of entries started so far
}

// startEntry starts an entry under a new identifier.
func (r *rolling) startEntry() *process {
	r.t.Helper()
	r.started++
	url := r.platform.url("listen")
	return start(r.t, "wagtailhoist", "entry", "--id", fmt.Sprintf("entry-%d", r.started), "--region", "ch-west",
		"--centre", "lausanne", "--token", "t", "--store", url, "--works", url, "--drain", "1s").ready("link")
}

// startAgent starts the agent of a minion, which joins through the current entries.
func (r *rolling) startAgent(minion int) *process {
	r.t.Helper()
	var join []string
	for _, e := range *r.entries.Load() {
		join = append(join, e.addr("link"))
	}
	return start(r.t, "wagtailhoist", "agent", "--id", fmt.Sprintf("agent-%d", minion), "--region", "ch-west",
		"--centre", "lausanne", "--token", "t", "--minion", r.minions[minion].url("listen"), "--join", strings.Join(join, ",")).ready("link")
}

// replaceEntry starts a new entry and stops the oldest one, as the load balancer and the platform do.
func (r *rolling) replaceEntry() {
	r.t.Helper()
	old := *r.entries.Load()
	next := append(append([]*process{}, old...), r.startEntry())
	r.entries.Store(&next)
	time.AfterFunc(300*time.Millisecond, func() { // the load balancer has noticed that the entry is not ready
		rest := next[1:]
		r.entries.Store(&rest)
	})
	old[0].stop()
}

// A planned replacement of all processes, one after the other, must not leave a request without an answer, stop a gang,
// or make a process fall back to an older revision.
func TestReplacingEveryProcessLosesNothing(t *testing.T) {
	t.Parallel()
	r := &rolling{cluster: newCluster(t)}
	for range 2 {
		r.minions = append(r.minions, startMinion(t, freeAddress(t)))
	}
	entries := []*process{r.startEntry(), r.startEntry()}
	r.entries.Store(&entries)
	for n := range r.minions {
		r.agents = append(r.agents, r.startAgent(n))
	}
	r.submit()
	eventually(t, eventTimeout, "the gang runs as a whole", func() bool { return r.wholeGangRuns() })
	began := time.Now()
	eventually(t, eventTimeout, "both entries answer", func() bool {
		for _, e := range entries {
			if send(e.url("listen"), request{id: "first", method: "GET", timeout: time.Second}).outcome != "answered" {
				return false
			}
		}
		return true
	})
	l := startLoadAt("load", 4, 8*time.Second, func(n int) *process {
		e := *r.entries.Load()
		return e[n%len(e)]
	})
	for n := range r.agents {
		eventually(t, eventTimeout, "requests are answered", func() bool { return l.answered(began) >= minAnswered })
		r.agents[n].stop()
		r.agents[n] = r.startAgent(n)
		began = time.Now()
	}
	for range entries {
		eventually(t, eventTimeout, "requests are answered", func() bool { return l.answered(began) >= minAnswered })
		r.replaceEntry()
		began = time.Now()
	}
	eventually(t, eventTimeout, "requests are answered after the last replacement", func() bool { return l.answered(began) >= minAnswered })
	results := l.finish()

	t.Logf("%d requests: %v", len(results), outcomes(results))
	for _, res := range results {
		if res.outcome != "answered" || res.mismatch != "" {
			t.Errorf("%s %s: got %s (%s) %s %v, want an answer", res.method, res.id, res.outcome, res.reason, res.mismatch, res.err)
		}
	}
	if got := len(placementStates(r.taskLog())); got != 1 || !r.wholeGangRuns() {
		t.Errorf("placements of the gang: got %d, whole %v, want 1 that runs as a whole", got, r.wholeGangRuns())
	}
	for _, e := range *r.entries.Load() {
		out, err := command(t, e, "status")
		if err != nil || strings.Count(out, "confirmed") < 4 || strings.Contains(out, "unconfirmed") {
			t.Errorf("status: got %v, want four processes with revision 1 confirmed\n%s", err, out)
		}
	}
}
