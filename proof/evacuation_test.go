package proof

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// evacuationWatch is how long the tests watch that nothing is started in an evacuated data centre.
	evacuationWatch = 3 * time.Second
	// sendInterval is the time between two requests to an entry.
	sendInterval = 20 * time.Millisecond
)

// evacuationSite is a region with the data centres lausanne and fribourg: a cell of both, two entries in lausanne, and an agent
// with its minion in each data centre.
type evacuationSite struct {
	*cluster
	dir      string
	entries  []*process
	minions  map[string]*process
	requests int
}

func newEvacuationSite(t *testing.T, evacuated string) *evacuationSite {
	t.Helper()
	s := &evacuationSite{
		cluster: newClusterWith(t, "ch-west/lausanne=3,ch-west/fribourg=3", declarationWithout(evacuated)),
		dir:     t.TempDir(), minions: map[string]*process{},
	}
	for _, id := range []string{"a", "b"} {
		s.entries = append(s.entries, s.entry(id).ready("link"))
	}
	for _, centre := range []string{"lausanne", "fribourg"} {
		s.minions[centre] = startMinion(t, freeAddress(t))
		start(t, "wagtailhoist", "agent", "--id", "m-"+centre, "--region", "ch-west", "--centre", centre, "--token", "t",
			"--minion", s.minions[centre].url("listen"), "--join", s.entries[0].addr("link")+","+s.entries[1].addr("link")).ready("link")
	}
	return s
}

// declarationWithout returns a declaration with the evacuated data centres, separated by commas.
func declarationWithout(evacuated string) string {
	return "teams: [{name: dispatch, weight: 1}]\nevacuate: [" + evacuated + "]\n"
}

// command runs an operator's command at the first entry and returns its output.
func (s *evacuationSite) command(args ...string) string {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "wagtailhoist"), append(args, "--admin", s.entries[0].url("admin"), "--token", "t")...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		s.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	return string(out)
}

// evacuate declares the evacuated data centres and returns the time at which that was accepted at the latest.
func (s *evacuationSite) evacuate(centres string) time.Time {
	s.t.Helper()
	path := filepath.Join(s.dir, "declaration.yaml")
	if err := os.WriteFile(path, []byte(declarationWithout(centres)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.command("apply", path)
	return time.Now()
}

// send sends a request to an entry and returns its outcome.
func (s *evacuationSite) send(e *process) string {
	s.requests++
	return send(e.url("listen"), request{id: fmt.Sprint("evacuation-", s.requests), method: http.MethodGet, timeout: 2 * time.Second}).outcome
}

// executed returns how many requests the minion of a data centre has executed.
func (s *evacuationSite) executed(centre string) int {
	return len(s.minions[centre].lines(`"executed"`))
}

// goTo waits until requests to all entries have the outcome and go to the data centre, at most until the bound of a
// configuration, and then checks for evacuationWatch that none goes elsewhere. No data centre means that they go to none.
func (s *evacuationSite) goTo(accepted time.Time, centre, outcome string) {
	s.t.Helper()
	elsewhere := func() int {
		n := 0
		for name := range s.minions {
			if name != centre {
				n += s.executed(name)
			}
		}
		return n
	}
	within := func() bool {
		for _, e := range s.entries {
			before, there := elsewhere(), 0
			if centre != "" {
				there = s.executed(centre)
			}
			if s.send(e) != outcome || elsewhere() != before || centre != "" && s.executed(centre) == there {
				return false
			}
		}
		return true
	}
	eventually(s.t, time.Until(accepted.Add(inForceEverywhere)), fmt.Sprintf("requests are %s, at data centre %q", outcome, centre), within)
	s.t.Logf("requests are %s at data centre %q %v after the change was accepted", outcome, centre, time.Since(accepted).Round(time.Millisecond))
	before := elsewhere()
	for end := time.Now().Add(evacuationWatch); time.Now().Before(end); time.Sleep(sendInterval) {
		for _, e := range s.entries {
			if got := s.send(e); got != outcome {
				s.t.Fatalf("request at data centre %q: got %q, want %s", centre, got, outcome)
			}
		}
	}
	if got := elsewhere() - before; got != 0 {
		s.t.Errorf("requests that did not go to data centre %q: got %d, want none", centre, got)
	}
}

// placements returns the data centres of the workers of a job's tasks, by placement.
func (s *evacuationSite) placements(job string) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, e := range s.taskLog() {
		if !strings.HasPrefix(e.Task, job+".") {
			continue
		}
		name := e.Task[:strings.LastIndex(e.Task, ".")]
		if out[name] == nil {
			out[name] = map[string]bool{}
		}
		centre, _, _ := strings.Cut(e.Worker, "-w")
		out[name][centre] = true
	}
	return out
}

// runsOnlyIn waits until a job runs with n tasks in its first placement, and checks that all of them are in the data centre.
func (s *evacuationSite) runsOnlyIn(job, centre string, n int) {
	s.t.Helper()
	eventually(s.t, eventTimeout, job+" runs", func() bool { return countInState(placementStates(s.taskLog())[job+".1"], "running") == n })
	if got := s.placements(job)[job+".1"]; len(got) != 1 || !got[centre] {
		s.t.Errorf("data centres of %s: got %v, want %s", job, got, centre)
	}
}

// Requests and new jobs must leave an evacuated data centre within the bound of a configuration, also at an entry that is
// restarted meanwhile, and come back when it is returned to service. With all data centres evacuated, requests must be refused
// as not run. A gang that runs there must not notice any of it.
func TestEvacuatedCentreGetsNothingNew(t *testing.T) {
	limitFleets(t)
	s := newEvacuationSite(t, "fribourg")
	s.goTo(time.Now(), "lausanne", "answered")
	s.submit()
	s.runsOnlyIn("route", "lausanne", gangSize)

	s.goTo(s.evacuate("lausanne"), "fribourg", "answered")
	s.command("query", "job", "second", "of", "dispatch", "2x8")
	s.runsOnlyIn("second", "fribourg", 2)

	before := s.executed("lausanne")
	address := s.entries[1].addr("listen")
	s.entries[1].kill()
	// The new process learns of the agents from the other entry before the store answers its read of the configuration.
	s.fault(map[string]any{"mode": "slow", "of": "store", "method": "GET", "path": "/kv/config", "delay": 1000})
	var flood sync.WaitGroup
	stop := make(chan struct{})
	flood.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				send("http://"+address, request{id: fmt.Sprint("restart-", i), method: http.MethodGet, timeout: time.Second})
			}
		}
	})
	s.entries[1] = start(t, "wagtailhoist", "entry", "--id", "b2", "--region", "ch-west", "--centre", "lausanne", "--token", "t",
		"--listen", address, "--join", s.entries[0].addr("link"), "--store", s.platform.url("listen"), "--works", s.platform.url("listen"), "--drain", "0s")
	s.goTo(time.Now(), "fribourg", "answered")
	close(stop)
	flood.Wait()
	s.fault(map[string]any{"mode": "clear"})
	if got := s.executed("lausanne") - before; got != 0 {
		t.Errorf("requests to the evacuated data centre around the restart of an entry: got %d, want none", got)
	}

	s.goTo(s.evacuate("lausanne, fribourg"), "", "not-run")
	s.command("query", "job", "third", "of", "dispatch", "1x8")
	eventually(t, eventTimeout, "why names the evacuation", func() bool {
		return strings.Contains(s.command("query", "why", "third"), "data centre evacuated: fribourg, lausanne")
	})

	s.goTo(s.evacuate(""), "lausanne", "answered")
	eventually(t, eventTimeout, "the third job runs", func() bool {
		return countInState(placementStates(s.taskLog())["third.1"], "running") == 1
	})
	if got := placementStates(s.taskLog()); countInState(got["route.1"], "running") != gangSize || countInState(got["second.1"], "running") != 2 {
		t.Errorf("jobs that ran when their data centre was evacuated: got %v, want both running on", got)
	}
	for _, job := range []string{"route", "second", "third"} {
		if got := s.placements(job); len(got) != 1 {
			t.Errorf("placements of %s: got %v, want one", job, got)
		}
	}
}
