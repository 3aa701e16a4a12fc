package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// gangBound is P2's bound: the ttl of a grant plus one control interval.
	gangBound = 2250 * time.Millisecond
	// gangSlack is for the stand-in, which ends grants every 10 ms and writes its log with its own clock.
	gangSlack = 50 * time.Millisecond
	// gangWait bounds the waits for something that has to happen; it is no bound of the system.
	gangWait = 30 * time.Second
	// gangSize is the number of tasks of the gang "route"; they fill two workers of three in a rack.
	gangSize = 4
)

// gangs is a platform with one data centre and entries that contend for its cell.
type gangs struct {
	t        *testing.T
	platform *process
	store    *store.Client
}

type gangEvent struct {
	Time  int64  `json:"time"`
	Task  string `json:"task"`
	Event string `json:"event"`
	// Worker is where the task runs.
	Worker string `json:"worker"`
}

func newGangs(t *testing.T) *gangs {
	t.Helper()
	return newGangsAt(t, "lausanne=4", "teams:\n  - name: dispatch\n    weight: 1\n")
}

// newGangsAt starts a platform with workers and stores a document as revision 1.
func newGangsAt(t *testing.T, centres, document string) *gangs {
	t.Helper()
	g := &gangs{t: t, platform: start(t, "stand", "platform", "--centres", centres)}
	g.store = &store.Client{URL: g.platform.url("listen")}
	value, err := config.Record{Copy: config.Copy{Revision: 1, Change: "proof", Author: "proof", Document: document}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.store.Put(t.Context(), config.Key, value, 0, 0); err != nil {
		t.Fatal(err)
	}
	return g
}

func (g *gangs) entry(id string) *process {
	url := g.platform.url("listen")
	return start(g.t, "wagtailhoist", "entry", "--id", id, "--region", "ch-west", "--centre", "lausanne",
		"--token", "t", "--store", url, "--works", url, "--drain", "0s")
}

// plan reads the plan of the cell.
func (g *gangs) plan() (*cell.Plan, []cell.Batch, uint64) {
	g.t.Helper()
	items, _, err := g.store.List(context.Background(), "cells/ch-west/plan/")
	if err != nil {
		return &cell.Plan{}, nil, 0
	}
	var s cell.Stored
	for _, item := range items {
		if strings.HasSuffix(item.Key, "/base") {
			s.Base, s.BaseVersion = item.Value, item.Version
		} else {
			s.Changes, s.ChangesVersion = item.Value, item.Version
		}
	}
	plan, batches, err := cell.Load(s)
	if err != nil {
		g.t.Fatal(err)
	}
	return plan, batches, s.ChangesVersion
}

// submit appends the gang to the plan, as any process may.
func (g *gangs) submit() {
	g.t.Helper()
	spec := model.JobSpec{
		ID: "route", Team: "dispatch", Shape: model.Shape{Tasks: gangSize, GPUs: 4}, Checkpoint: true, Grace: time.Second,
	}
	for {
		plan, batches, version := g.plan()
		after := plan.Revision
		if len(batches) > 0 {
			after = batches[0].Revision - uint64(len(batches[0].Changes))
		}
		batches = append(batches, cell.Batch{
			Revision: plan.Revision + 1, Writer: "proof", Number: 1,
			Changes: []cell.Change{{Kind: cell.Submitted, Spec: &spec, At: time.Now().UnixMilli()}},
		})
		_, err := g.store.Put(g.t.Context(), "cells/ch-west/plan/log", cell.EncodeLog(after, batches), version, 0)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			g.t.Fatal(err)
		}
		return
	}
}

func (g *gangs) log() []gangEvent {
	g.t.Helper()
	resp, err := http.Get(g.platform.url("listen") + "/log")
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		g.t.Fatal(err)
	}
	var body struct {
		Events []gangEvent `json:"events"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		g.t.Fatal(err)
	}
	return body.Events
}

func (g *gangs) fault(body map[string]any) {
	g.t.Helper()
	if status, out := post(g.t, g.platform.url("listen")+"/faults", body); status != http.StatusOK {
		g.t.Fatalf("fault %v: got %d %s", body, status, out)
	}
}

// lose takes the worker of the gang's first task away.
func (g *gangs) lose() {
	g.t.Helper()
	g.fault(map[string]any{"mode": "lose", "worker": g.log()[0].Worker})
}

// gangPlacements replays the log and returns, for each placement, the tasks in each state at its end.
func gangPlacements(events []gangEvent) map[string]map[string]string {
	out := map[string]map[string]string{}
	for _, e := range events {
		name := e.Task[:strings.LastIndex(e.Task, ".")]
		if out[name] == nil {
			out[name] = map[string]string{}
		}
		if e.Event != "saved" {
			out[name][e.Task] = e.Event
		}
	}
	return out
}

func gangCount(tasks map[string]string, state string) int {
	n := 0
	for _, s := range tasks {
		if s == state {
			n++
		}
	}
	return n
}

// whole reports whether a placement other than those in not has all tasks running.
func (g *gangs) whole(not ...string) bool {
	for name, tasks := range gangPlacements(g.log()) {
		if gangCount(tasks, "running") == gangSize && !strings.Contains(strings.Join(not, " "), name) {
			return true
		}
	}
	return false
}

// check reads the log up to now and reports a gang that ran in part beyond the bound, a task that was started
// twice, and two placements that ran at a time.
func (g *gangs) check(now time.Duration) {
	g.t.Helper()
	events := g.log()
	starts := map[string]int{}
	since := map[string]int64{}
	var longest time.Duration
	end := func(name string, at int64) {
		if from, ok := since[name]; ok {
			longest = max(longest, time.Duration(at-from)*time.Microsecond)
			delete(since, name)
		}
	}
	for i, e := range events {
		if e.Event == "running" {
			starts[e.Task]++
		}
		var running []string
		for name, tasks := range gangPlacements(events[:i+1]) {
			n := gangCount(tasks, "running")
			if n > 0 {
				running = append(running, name)
			}
			if n == 0 || n+gangCount(tasks, "done") == gangSize {
				end(name, e.Time)
			} else if _, ok := since[name]; !ok {
				since[name] = e.Time
			}
		}
		if len(running) > 1 {
			g.t.Errorf("at %d µs placements %v run at a time", e.Time, running)
		}
	}
	for name := range since {
		end(name, now.Microseconds())
	}
	if longest > gangBound+gangSlack {
		g.t.Errorf("a gang ran in part for %v, want at most %v", longest, gangBound)
	}
	for task, n := range starts {
		if n > 1 {
			g.t.Errorf("%s was started %d times, want once", task, n)
		}
	}
	g.t.Logf("longest time in part: %v; %d events; placements %d", longest, len(events), len(gangPlacements(events)))
}

// clock returns the time on the clock of the log.
func (g *gangs) clock() time.Duration {
	g.t.Helper()
	resp, err := http.Get(g.platform.url("listen") + "/log?from=1000000000")
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct {
		Now int64 `json:"now"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		g.t.Fatal(err)
	}
	return time.Duration(body.Now) * time.Microsecond
}

// run starts two entries and the gang, and returns the owner first.
func (g *gangs) run() (owner, other *process) {
	g.t.Helper()
	a := g.entry("a")
	eventually(g.t, gangWait, "a owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "a" })
	b := g.entry("b")
	g.submit()
	eventually(g.t, gangWait, "the gang runs as a whole", func() bool { return g.whole() })
	return a, b
}

// settle waits until the gang runs as a whole under the owner, and checks the log after one more bound.
func (g *gangs) settle(owner model.NodeID, not ...string) {
	g.t.Helper()
	eventually(g.t, gangWait, fmt.Sprintf("%s owns the cell", owner), func() bool { p, _, _ := g.plan(); return p.Owner == owner })
	eventually(g.t, gangWait, "the gang runs as a whole again", func() bool { return g.whole(not...) })
	time.Sleep(2 * gangBound)
	if !g.whole(not...) {
		g.t.Errorf("the gang does not go on running: %v", gangPlacements(g.log()))
	}
	g.check(g.clock())
}

// Guards against an owner that is paused past its lease and, resumed, acts on a plan that has moved on.
func TestGangOwnerPaused(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	owner, _ := g.run()
	owner.pause()
	eventually(t, gangWait, "b owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "b" })
	g.lose()
	eventually(t, gangWait, "the gang runs elsewhere", func() bool { return g.whole("route.1") })
	owner.resume()
	g.settle("b", "route.1")
}

// Guards against an owner that is paused in the middle of a release, with no other process to help: the grant
// has to end the tasks that run.
func TestGangOwnerPausedInRelease(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	g.fault(map[string]any{"mode": "silent", "of": "works", "path": "/tasks/route.1.3/throttle"})
	owner := g.entry("a")
	g.submit()
	eventually(t, gangWait, "a part of the gang runs", func() bool { return gangCount(gangPlacements(g.log())["route.1"], "running") > 0 })
	owner.pause()
	time.Sleep(2 * gangBound)
	owner.resume()
	g.fault(map[string]any{"mode": "clear"})
	g.settle("a", "route.1")
}

// Guards against a gang that is lost, started twice or left without control when its owner dies.
func TestGangOwnerKilled(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	owner, _ := g.run()
	owner.kill()
	g.settle("b")
}

// Guards against the rest of a gang running on without a lost member.
func TestGangWorkerLost(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	_, _ = g.run()
	g.lose()
	g.settle("a", "route.1")
}

// Guards against a second placement, or none, after writes whose answers are lost.
func TestGangStoreAnswerLost(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	g.entry("a")
	eventually(t, gangWait, "a owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "a" })
	g.submit()
	g.fault(map[string]any{"mode": "lost", "of": "store", "method": "PUT", "path": "/kv/cells/ch-west/plan", "count": 3})
	g.settle("a")
}

// Guards against the rest of a gang outliving its owner and a worker that are lost together, with no other
// process to help, and against a second start by the next owner.
func TestGangOwnerAndWorkerLost(t *testing.T) {
	t.Parallel()
	g := newGangs(t)
	owner := g.entry("a")
	g.submit()
	eventually(t, gangWait, "the gang runs as a whole", func() bool { return g.whole() })
	g.lose()
	owner.signal(syscall.SIGKILL)
	time.Sleep(2 * gangBound)
	g.check(g.clock())
	g.entry("b")
	g.settle("b", "route.1")
}
