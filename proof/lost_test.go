package proof

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// faultsPerRun is the number of faults per benchmark, each at another agent of the same fleet.
	faultsPerRun = 10
	// faultInterval is the time between two faults; it exceeds the time after which the record of a silent agent expires.
	faultInterval = 4 * time.Second
	// loadAfterLastFault is how long the load continues after the last fault.
	loadAfterLastFault = 8 * time.Second
)

// attemptLine is an entry's debug log line "attempt ended".
type attemptLine struct {
	Agent string    `json:"agent"`
	Sent  time.Time `json:"sent"`
	End   string    `json:"end"`
	Fresh int       `json:"fresh"` // number of links that replaced the first one
}

// BenchmarkLost measures how fast an entry stops using an agent after a fault of the agent, its minion or its link: the
// time from the fault to the last request that the entry sent to it, and the number of requests until the next fault
// that were not answered. For a silent link, only requests on that link count, because a new link reaches the same agent.
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
		b.Run(tc.name, func(b *testing.B) { measureFault(b, tc.name == "link-silent", tc.fault) })
	}
}

// measureFault applies fault to one agent after the other under load and reports the metrics of BenchmarkLost.
func measureFault(b *testing.B, silent bool, fault func(f *fleet, n int)) {
	f := newFleet(b, 1, faultsPerRun+2)
	for n := range faultsPerRun {
		if silent {
			f.addRelay(n)
		}
	}
	link := f.entries[0].addr("link")
	f.entries[0].kill()
	f.entries[0] = f.startEntry(0, "--link", link, "--level", "debug")
	f.awaitAnswers()
	l := startLoad("lost", 4, 5*time.Second, f.entries...)
	time.Sleep(time.Second)
	var at []time.Time
	for n := range faultsPerRun {
		at = append(at, time.Now())
		fault(f, n)
		time.Sleep(faultInterval)
	}
	time.Sleep(loadAfterLastFault - faultInterval)
	results := l.finish()
	last, sent := make([]time.Duration, faultsPerRun), 0
	for _, line := range f.entries[0].lines(`"attempt ended"`) {
		var a attemptLine
		if err := json.Unmarshal([]byte(line), &a); err != nil {
			b.Fatalf("log line %q: %v", line, err)
		}
		for n := range faultsPerRun {
			if a.Agent != fmt.Sprintf("agent-%d", n) || a.Sent.Before(at[n]) || silent && a.End == "answered" && a.Fresh == 0 {
				continue
			}
			sent++
			last[n] = max(last[n], a.Sent.Sub(at[n]))
		}
	}
	other := make([]int, faultsPerRun)
	for _, r := range results {
		if r.err != nil || r.mismatch != "" {
			b.Errorf("request %s: %s %v", r.id, r.mismatch, r.err)
		}
		for n := range faultsPerRun {
			if r.outcome != "answered" && r.ended.After(at[n]) && (n+1 == faultsPerRun || r.sent.Before(at[n+1])) {
				other[n]++
				break
			}
		}
	}
	b.Logf("last request after %v; other outcomes %v of %v", last, other, outcomes(results))
	slices.Sort(last)
	slices.Sort(other)
	b.ReportMetric(last[faultsPerRun/2].Seconds(), "last-p50-s")
	b.ReportMetric(last[faultsPerRun-1].Seconds(), "last-max-s")
	b.ReportMetric(float64(sent)/faultsPerRun, "sent/fault")
	b.ReportMetric(float64(other[faultsPerRun/2]), "other-p50")
	b.ReportMetric(float64(other[faultsPerRun-1]), "other-max")
	b.ReportMetric(0, "ns/op")
}
