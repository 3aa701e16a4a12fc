package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/agent"
	"wagtailhoist/io/link"
)

// idleTime is the duration of a measurement; it is long because processor time is counted in ticks of 10 ms.
const idleTime = 20 * time.Second

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(b testing.TB, p *process) float64 {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				b.Fatal(err)
			}
			return kb * 1024
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// BenchmarkAgentAtRest measures an agent without requests for several numbers of entries in its region.
func BenchmarkAgentAtRest(b *testing.B) {
	for _, entries := range []int{1, 3, 6, 12} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			agent := startIdleFleet(b, entries, 1)[entries]
			reportIdleCost(b, agent)
		})
	}
}

// BenchmarkEntryAtRest measures an entry without requests for several numbers of agents that announce to it.
func BenchmarkEntryAtRest(b *testing.B) {
	for _, agents := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			entry := startIdleFleet(b, 1, agents)[0]
			reportIdleCost(b, entry)
		})
	}
}

// startIdleFleet starts a platform, entries and agents, and returns the entries followed by the agents.
func startIdleFleet(b *testing.B, entries, agents int) []*process {
	b.Helper()
	platform := start(b, "stand", "platform")
	minion := start(b, "stand", "minion")
	node := []string{"--region", "west", "--centre", "one", "--token", testToken}
	var all []*process
	var join []string
	for n := range entries {
		p := start(b, "wagtailhoist", append([]string{
			"entry", "--id", fmt.Sprintf("entry-%d", n), "--store", platform.url("listen"), "--works", platform.url("listen"), "--cells", "centre",
		}, node...)...)
		all = append(all, p.ready("link"))
		join = append(join, p.addr("link"))
	}
	for n := range agents {
		all = append(all, start(b, "wagtailhoist", append([]string{
			"agent", "--id", fmt.Sprintf("agent-%d", n), "--minion", minion.url("listen"), "--join", strings.Join(join, ","),
		}, node...)...))
	}
	for _, p := range all {
		p.ready("link")
	}
	return all
}

// reportIdleCost reports the mean processor time and memory of the processes.
func reportIdleCost(b *testing.B, all ...*process) {
	b.Helper()
	sum := func() (used time.Duration) {
		for _, p := range all {
			used += cpuTime(b, p)
		}
		return used
	}
	time.Sleep(5 * time.Second) // links and first heartbeats
	used := sum()
	time.Sleep(idleTime)
	used = sum() - used
	var memory float64
	for _, p := range all {
		memory += residentMemory(b, p)
	}
	b.ReportMetric(100*used.Seconds()/idleTime.Seconds()/float64(len(all)), "%core")
	b.ReportMetric(memory/(1<<20)/float64(len(all)), "MiB")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkEntryOfMany measures the mean processor time and memory of three entries when many agents announce to all of
// them. The agents run in this process, because one machine can't run that many agent processes.
func BenchmarkEntryOfMany(b *testing.B) {
	for _, agents := range []int{500, 1500} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			entries := startIdleFleet(b, 3, 0)
			var join []string
			for _, e := range entries {
				join = append(join, e.addr("link"))
			}
			ctx, cancel := context.WithCancel(b.Context())
			var wait sync.WaitGroup
			for n := range agents {
				rec := model.Record{
					ID: model.NodeID(fmt.Sprintf("agent-%d", n)), Incarnation: model.NewIncarnation(time.Now()), Region: "west",
					Centre: "one", Address: "127.0.0.1:9", Service: "default", Load: model.Load{Slots: 8},
				}
				self := link.Hello{Node: rec.ID, Incarnation: rec.Incarnation, Role: link.RoleAgent, Region: "west", Centre: "one"}
				a := agent.New(rec, nil, slog.New(slog.DiscardHandler))
				wait.Go(func() { a.Join(ctx, join, link.Settings{Self: self, Token: testToken}) })
				time.Sleep(time.Millisecond) // spreads the announcements over the second, as in a real fleet
			}
			reportIdleCost(b, entries...)
			cancel()
			wait.Wait()
		})
	}
}

// BenchmarkStoreAtRest counts the store calls of entries without requests, by kind, for several numbers of entries
// and cells.
func BenchmarkStoreAtRest(b *testing.B) {
	for _, tc := range []struct{ entries, cells int }{{1, 1}, {2, 1}, {4, 1}, {8, 1}, {4, 2}, {4, 4}, {4, 8}} {
		b.Run(fmt.Sprintf("entries=%d/cells=%d", tc.entries, tc.cells), func(b *testing.B) {
			var centres []string
			for n := range tc.cells {
				centres = append(centres, fmt.Sprintf("c%d=3", n))
			}
			platform := start(b, "stand", "platform", "--centres", strings.Join(centres, ","))
			for n := range tc.entries {
				start(b, "wagtailhoist", "entry", "--id", fmt.Sprintf("entry-%d", n), "--region", "west", "--centre", "c0",
					"--store", platform.url("listen"), "--works", platform.url("listen"), "--cells", "centre", "--token", testToken).ready("link")
			}
			time.Sleep(5 * time.Second)
			before := storeCalls(b, platform)
			time.Sleep(idleTime)
			for kind, n := range storeCalls(b, platform) {
				b.ReportMetric((n-before[kind])/idleTime.Seconds(), kind+"/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// storeCalls returns how often each kind of call has been made to the store.
func storeCalls(b *testing.B, platform *process) map[string]float64 {
	b.Helper()
	resp, err := http.Get(platform.url("listen") + "/stats")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	calls := map[string]float64{}
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		b.Fatal(err)
	}
	return calls
}
