package proof

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// lostFaults is the number of faults of a kind, each at another agent of the same fleet.
	lostFaults = 10
	// lostGap is the time between two faults; it exceeds the time after which a silent record expires.
	lostGap = 4 * time.Second
	// lostTail is how long the last fault is watched.
	lostTail = 8 * time.Second
)

// attemptLine is an entry's debug line of an attempt.
type attemptLine struct {
	Agent string    `json:"agent"`
	Sent  time.Time `json:"sent"`
	End   string    `json:"end"`
	Fresh int       `json:"fresh"`
}

// BenchmarkLost gives, for faults of an agent or its minion, the time from the fault to the last request that an entry
// sent towards it, and the requests that got an outcome other than an answer until the next fault. For a link that
// goes silent, only requests on the silent link count, since a fresh link reaches the same agent.
func BenchmarkLost(b *testing.B) {
	for _, tc := range []struct {
		name  string
		fault func(f *fleet, n int)
	}{
		{"minion-killed", func(f *fleet, n int) { f.minions[n].kill() }},
		{"agent-killed", func(f *fleet, n int) { f.agents[n].kill() }},
		{"agent-paused", func(f *fleet, n int) { f.agents[n].pause() }},
		{"link-silent", func(f *fleet, n int) { f.fault(n, map[string]any{"mode": "silent", "count": 1}) }},
	} {
		b.Run(tc.name, func(b *testing.B) { measureLost(b, tc.name == "link-silent", tc.fault) })
	}
}

func measureLost(b *testing.B, silent bool, fault func(f *fleet, n int)) {
	f := newFleet(b, 1, lostFaults+2)
	for n := range lostFaults {
		if silent {
			f.relay(n)
		}
	}
	link := f.entries[0].addr("link")
	f.entries[0].kill()
	f.entries[0] = f.startEntry(0, "--link", link, "--level", "debug")
	f.settle()
	l := startLoad("lost", 4, 5*time.Second, f.entries...)
	time.Sleep(time.Second)
	var at []time.Time
	for n := range lostFaults {
		at = append(at, time.Now())
		fault(f, n)
		time.Sleep(lostGap)
	}
	time.Sleep(lostTail - lostGap)
	results := l.finish()
	last, sent := make([]time.Duration, lostFaults), 0
	for _, line := range f.entries[0].lines(`"attempt ended"`) {
		var a attemptLine
		if err := json.Unmarshal([]byte(line), &a); err != nil {
			b.Fatalf("log line %q: %v", line, err)
		}
		for n := range lostFaults {
			if a.Agent != fmt.Sprintf("agent-%d", n) || a.Sent.Before(at[n]) || silent && a.End == "answered" && a.Fresh == 0 {
				continue
			}
			sent++
			last[n] = max(last[n], a.Sent.Sub(at[n]))
		}
	}
	other := make([]int, lostFaults)
	for _, r := range results {
		if r.err != nil || r.wrong != "" {
			b.Errorf("request %s: %s %v", r.id, r.wrong, r.err)
		}
		for n := range lostFaults {
			if r.outcome != "answered" && r.ended.After(at[n]) && (n+1 == lostFaults || r.sent.Before(at[n+1])) {
				other[n]++
				break
			}
		}
	}
	b.Logf("last request after %v; other outcomes %v of %v", last, other, outcomes(results))
	slices.Sort(last)
	slices.Sort(other)
	b.ReportMetric(last[lostFaults/2].Seconds(), "last-p50-s")
	b.ReportMetric(last[lostFaults-1].Seconds(), "last-max-s")
	b.ReportMetric(float64(sent)/lostFaults, "sent/fault")
	b.ReportMetric(float64(other[lostFaults/2]), "other-p50")
	b.ReportMetric(float64(other[lostFaults-1]), "other-max")
	b.ReportMetric(0, "ns/op")
}
