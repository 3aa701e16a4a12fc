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
	// partialGangLimit is the longest time that a gang may run in part (P2): the TTL of a grant plus one control interval.
	partialGangLimit = 2250 * time.Millisecond
	// logSlack allows for the simulated platform, which expires grants every 10 ms and stamps its log itself.
	logSlack = 50 * time.Millisecond
	// eventTimeout limits the tests' waits for expected events; it is not a bound that the system guarantees.
	eventTimeout = 30 * time.Second
	// gangSize is the number of tasks of the gang "route"; they fill two of the three workers of a rack.
	gangSize = 4
)

// cluster is a simulated platform and the entries that contend for the ownership of its cell.
type cluster struct {
	t        *testing.T
	platform *process
	store    *store.Client
}

// taskEvent is a state change of a task in the platform's log; Time is in microseconds.
type taskEvent struct {
	Time  int64  `json:"time"`
	Task  string `json:"task"`
	Event string `json:"event"`
	// Worker is the worker that runs the task.
	Worker string `json:"worker"`
}

// newCluster starts a platform with one data centre of four workers.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, "lausanne=4", "teams:\n  - name: dispatch\n    weight: 1\n")
}

// newClusterWith starts a platform with the given data centres and stores a declaration as revision 1.
func newClusterWith(t *testing.T, centres, document string) *cluster {
	t.Helper()
	g := &cluster{t: t, platform: start(t, "stand", "platform", "--centres", centres)}
	g.store = &store.Client{URL: g.platform.url("listen")}
	value, err := config.Record{Snapshot: config.Snapshot{Revision: 1, Change: "proof", Author: "proof", Document: document}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.store.Put(t.Context(), config.Key, value, 0, 0); err != nil {
		t.Fatal(err)
	}
	return g
}

// entry starts an entry that schedules the platform's cell.
func (g *cluster) entry(id string) *process {
	url := g.platform.url("listen")
	return start(g.t, "wagtailhoist", "entry", "--id", id, "--region", "ch-west", "--centre", "lausanne",
		"--token", "t", "--store", url, "--works", url, "--drain", "0s")
}

// plan reads the cell's plan from the store, with the change batches and the version of their log. The plan is empty
// if the store doesn't answer.
func (g *cluster) plan() (*cell.Plan, []cell.Batch, uint64) {
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
	plan, batches, err := cell.DecodePlan(s)
	if err != nil {
		g.t.Fatal(err)
	}
	return plan, batches, s.ChangesVersion
}

// submit appends the gang "route" to the plan in the store and retries after write conflicts.
func (g *cluster) submit() {
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
			Changes: []cell.Change{{Kind: cell.JobSubmitted, Spec: &spec, At: time.Now().UnixMilli()}},
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

// taskLog returns the platform's log of task events.
func (g *cluster) taskLog() []taskEvent {
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
		Events []taskEvent `json:"events"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		g.t.Fatal(err)
	}
	return body.Events
}

// fault injects a fault at the platform.
func (g *cluster) fault(body map[string]any) {
	g.t.Helper()
	if status, out := post(g.t, g.platform.url("listen")+"/faults", body); status != http.StatusOK {
		g.t.Fatalf("fault %v: got %d %s", body, status, out)
	}
}

// loseFirstWorker simulates the loss of the worker of the first task in the log.
func (g *cluster) loseFirstWorker() {
	g.t.Helper()
	g.fault(map[string]any{"mode": "lose", "worker": g.taskLog()[0].Worker})
}

// placementStates replays the events and returns the last state of each task, by placement.
func placementStates(events []taskEvent) map[string]map[string]string {
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

// countInState returns how many tasks are in a state.
func countInState(tasks map[string]string, state string) int {
	n := 0
	for _, s := range tasks {
		if s == state {
			n++
		}
	}
	return n
}

// wholeGangRuns reports whether a placement that is not in except has all of its tasks running.
func (g *cluster) wholeGangRuns(except ...string) bool {
	for name, tasks := range placementStates(g.taskLog()) {
		if countInState(tasks, "running") == gangSize && !strings.Contains(strings.Join(except, " "), name) {
			return true
		}
	}
	return false
}

// checkTaskLog replays the log up to now and fails the test if a gang ran in part for longer than allowed, a task was
// started twice, or two placements ran at the same time.
func (g *cluster) checkTaskLog(now time.Duration) {
	g.t.Helper()
	events := g.taskLog()
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
		for name, tasks := range placementStates(events[:i+1]) {
			n := countInState(tasks, "running")
			if n > 0 {
				running = append(running, name)
			}
			if n == 0 || n+countInState(tasks, "done") == gangSize {
				end(name, e.Time)
			} else if _, ok := since[name]; !ok {
				since[name] = e.Time
			}
		}
		if len(running) > 1 {
			g.t.Errorf("at %d µs placements %v run at the same time", e.Time, running)
		}
	}
	for name := range since {
		end(name, now.Microseconds())
	}
	if longest > partialGangLimit+logSlack {
		g.t.Errorf("a gang ran in part for %v, want at most %v", longest, partialGangLimit)
	}
	for task, n := range starts {
		if n > 1 {
			g.t.Errorf("%s was started %d times, want once", task, n)
		}
	}
	g.t.Logf("longest time in part: %v; %d events; placements %d", longest, len(events), len(placementStates(events)))
}

// platformTime returns the platform's current time, which its log entries carry.
func (g *cluster) platformTime() time.Duration {
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

// startGang starts two entries and the gang, and returns the cell's owner and the other entry.
func (g *cluster) startGang() (owner, other *process) {
	g.t.Helper()
	a := g.entry("a")
	eventually(g.t, eventTimeout, "a owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "a" })
	b := g.entry("b")
	g.submit()
	eventually(g.t, eventTimeout, "the gang runs as a whole", func() bool { return g.wholeGangRuns() })
	return a, b
}

// awaitStableGang waits until owner owns the cell and wholeGangRuns returns true for except. It then checks that the
// gang still runs after twice partialGangLimit, and that the log is correct.
func (g *cluster) awaitStableGang(owner model.NodeID, except ...string) {
	g.t.Helper()
	eventually(g.t, eventTimeout, fmt.Sprintf("%s owns the cell", owner), func() bool { p, _, _ := g.plan(); return p.Owner == owner })
	eventually(g.t, eventTimeout, "the gang runs as a whole again", func() bool { return g.wholeGangRuns(except...) })
	time.Sleep(2 * partialGangLimit)
	if !g.wholeGangRuns(except...) {
		g.t.Errorf("the gang does not go on running: %v", placementStates(g.taskLog()))
	}
	g.checkTaskLog(g.platformTime())
}

// An owner that is paused for longer than its lease must not act on its outdated plan when it resumes after another
// entry has taken over the cell.
func TestGangOwnerPaused(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	owner, _ := g.startGang()
	owner.pause()
	eventually(t, eventTimeout, "b owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "b" })
	g.loseFirstWorker()
	eventually(t, eventTimeout, "the gang runs elsewhere", func() bool { return g.wholeGangRuns("route.1") })
	owner.resume()
	g.awaitStableGang("b", "route.1")
}

// If the owner is paused in the middle of a release, a part of the gang runs without the rest. No other entry can help
// here, so the expiry of the grant has to stop the started tasks.
func TestGangOwnerPausedInRelease(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	g.fault(map[string]any{"mode": "silent", "of": "works", "path": "/tasks/route.1.3/throttle"})
	owner := g.entry("a")
	g.submit()
	eventually(t, eventTimeout, "a part of the gang runs", func() bool {
		return countInState(placementStates(g.taskLog())["route.1"], "running") > 0
	})
	owner.pause()
	time.Sleep(2 * partialGangLimit)
	owner.resume()
	g.fault(map[string]any{"mode": "clear"})
	g.awaitStableGang("a", "route.1")
}

// When the owner of a cell is killed, the next owner has to take control of its gang, without losing it or starting
// tasks twice.
func TestGangOwnerKilled(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	owner, _ := g.startGang()
	owner.kill()
	g.awaitStableGang("b")
}

// After the loss of a worker, the other tasks of a gang must not run on without the lost ones, and the gang has to be
// placed again.
func TestGangWorkerLost(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	_, _ = g.startGang()
	g.loseFirstWorker()
	g.awaitStableGang("a", "route.1")
}

// If the store's answers to writes of the plan are lost, the owner can't know whether it has placed the gang. It must
// place it exactly once.
func TestGangStoreAnswerLost(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	g.entry("a")
	eventually(t, eventTimeout, "a owns the cell", func() bool { p, _, _ := g.plan(); return p.Owner == "a" })
	g.submit()
	g.fault(map[string]any{"mode": "lost", "of": "store", "method": "PUT", "path": "/kv/cells/ch-west/plan", "count": 3})
	g.awaitStableGang("a")
}

// If the owner and a worker are lost together and no other entry runs, the other tasks of the gang have to stop in
// time. The next owner must not start them a second time.
func TestGangOwnerAndWorkerLost(t *testing.T) {
	t.Parallel()
	g := newCluster(t)
	owner := g.entry("a")
	g.submit()
	eventually(t, eventTimeout, "the gang runs as a whole", func() bool { return g.wholeGangRuns() })
	g.loseFirstWorker()
	owner.signal(syscall.SIGKILL)
	time.Sleep(2 * partialGangLimit)
	g.checkTaskLog(g.platformTime())
	g.entry("b")
	g.awaitStableGang("b", "route.1")
}
