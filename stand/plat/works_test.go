package plat_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/works"
	"wagtailhoist/stand/fault"
	"wagtailhoist/stand/tasks"
)

var firstTerm = works.Command{Cell: "lausanne", Epoch: 1, Plan: 1}

// task creates a grant and returns a task under it, which is not yet prepared.
func (b *fixture) task(t *testing.T, id string, worker model.WorkerID, gpus int) works.Task {
	t.Helper()
	grant := must[uint64](t)(b.works.Grant(b.ctx, firstTerm, time.Minute))
	return works.Task{Command: firstTerm, ID: id, Worker: worker, GPUs: gpus, Job: "j", Lease: grant}
}

func (b *fixture) taskByID(id string) tasks.Task {
	for _, task := range b.Tasks.List("") {
		if task.ID == id {
			return task
		}
	}
	return tasks.Task{}
}

func TestWorksChangesUnderFaults(t *testing.T) {
	prepared := func(t *testing.T, b *fixture) works.Task {
		return must[works.Task](t)(b.works.Prepare(b.ctx, b.task(t, "j-1-0", "lausanne-w1", 8)))
	}
	// onTask returns the prepare function of a mutation of a prepared task.
	onTask := func(do func(*fixture, works.Task) error, effect func(tasks.Task) bool) func(*testing.T, *fixture) (func() error, func() bool) {
		return func(t *testing.T, b *fixture) (func() error, func() bool) {
			task := prepared(t, b)
			return func() error { return do(b, task) }, func() bool { return effect(b.taskByID(task.ID)) }
		}
	}
	testMutationsUnderFaults(t, []mutation{
		{"prepare", func(t *testing.T, b *fixture) (func() error, func() bool) {
			task := b.task(t, "j-1-0", "lausanne-w1", 8)
			return func() error {
				_, err := b.works.Prepare(b.ctx, task)
				return err
			}, func() bool { return b.taskByID(task.ID).State == tasks.Prepared }
		}, nil, false},
		{"release", onTask(func(b *fixture, task works.Task) error {
			_, err := b.works.Throttle(b.ctx, task.ID, firstTerm, 1)
			return err
		}, func(task tasks.Task) bool { return task.State == tasks.Running && task.Share == 1 }), nil, false},
		{"checkpoint", onTask(func(b *fixture, task works.Task) error {
			_, err := b.works.Checkpoint(b.ctx, task.ID, firstTerm)
			return err
		}, func(task tasks.Task) bool { return task.Saved > 0 }), nil, false},
		{"stop", onTask(func(b *fixture, task works.Task) error {
			_, err := b.works.Stop(b.ctx, task.ID, firstTerm)
			return err
		}, func(task tasks.Task) bool { return task.State == tasks.Stopped }), nil, false},
		{"revoke", onTask(func(b *fixture, task works.Task) error {
			return b.works.Revoke(b.ctx, task.Lease, firstTerm)
		}, func(task tasks.Task) bool { return task.State == tasks.Expired }), new(*works.GrantError), false},
		{"grant", func(_ *testing.T, b *fixture) (func() error, func() bool) {
			return func() error {
				_, err := b.works.Grant(b.ctx, firstTerm, time.Minute)
				return err
			}, func() bool { return b.Tasks.Renew(1, tasks.Command{Cell: "lausanne", Epoch: 1}, time.Now()) == nil }
		}, nil, false},
		{"renew", func(t *testing.T, b *fixture) (func() error, func() bool) {
			// The grant began 30 s ago and ends in 30 s, so that 45 s from now it lives only if it was renewed.
			task := b.task(t, "j-1-0", "lausanne-w1", 8)
			task.Lease, _ = b.Tasks.Grant(tasks.Command{Cell: "lausanne", Epoch: 1}, time.Minute, time.Now().Add(-30*time.Second))
			must[works.Task](t)(b.works.Prepare(b.ctx, task))
			return func() error { return b.works.Renew(b.ctx, task.Lease, firstTerm, time.Now().Add(time.Minute)) }, func() bool {
				b.Tasks.Advance(time.Now().Add(45 * time.Second))
				return b.taskByID(task.ID).State == tasks.Prepared
			}
		}, nil, true},
	}, func(err error) bool {
		var unavailable *works.UnavailableError
		return errors.As(err, &unavailable)
	})
}

// A late command of a former owner must not take effect: each kind of command with a lower epoch is refused with an error
// that names both epochs, and the task stays unchanged.
func TestWorksFencesLowerEpochs(t *testing.T) {
	b := newFixture(t)
	task := must[works.Task](t)(b.works.Prepare(b.ctx, b.task(t, "j-1-0", "lausanne-w1", 4)))
	secondTerm := works.Command{Cell: "lausanne", Epoch: 2, Plan: 9}
	must[uint64](t)(b.works.Grant(b.ctx, secondTerm, time.Minute))
	late := task
	late.ID = "j-1-1"
	for name, do := range map[string]func() error{
		"prepare":    func() error { _, err := b.works.Prepare(b.ctx, late); return err },
		"release":    func() error { _, err := b.works.Throttle(b.ctx, task.ID, firstTerm, 1); return err },
		"checkpoint": func() error { _, err := b.works.Checkpoint(b.ctx, task.ID, firstTerm); return err },
		"stop":       func() error { _, err := b.works.Stop(b.ctx, task.ID, firstTerm); return err },
		"grant":      func() error { _, err := b.works.Grant(b.ctx, firstTerm, time.Minute); return err },
		"renew":      func() error { return b.works.Renew(b.ctx, task.Lease, firstTerm, time.Now().Add(time.Minute)) },
		"revoke":     func() error { return b.works.Revoke(b.ctx, task.Lease, firstTerm) },
	} {
		var fenced *works.FencedError
		if err := do(); !errors.As(err, &fenced) || fenced.Want != 1 || fenced.Have != 2 {
			t.Errorf("%s: got %v, want epoch 1 fenced by 2", name, err)
		}
	}
	if got := b.taskByID(task.ID); got.State != tasks.Prepared || got.Saved != 0 {
		t.Errorf("task: got %+v, want it unchanged", got)
	}
	other := works.Command{Cell: "chur", Epoch: 1}
	must[uint64](t)(b.works.Grant(b.ctx, other, time.Minute))
}

// A task must not outlive the grant of its owner: when a grant expires, only its own tasks end, and no task can be prepared
// under it.
func TestWorksGrantEnd(t *testing.T) {
	b := newFixture(t)
	short := b.task(t, "j-1-0", "lausanne-w1", 4)
	long := b.task(t, "k-1-0", "lausanne-w1", 4)
	short.Lease = must[uint64](t)(b.works.Grant(b.ctx, firstTerm, time.Second))
	for _, task := range []works.Task{short, long} {
		must[works.Task](t)(b.works.Prepare(b.ctx, task))
		must[works.Task](t)(b.works.Throttle(b.ctx, task.ID, firstTerm, 1))
	}
	b.Tasks.Advance(time.Now().Add(2 * time.Second))
	if got := b.taskByID(short.ID).State; got != tasks.Expired {
		t.Errorf("task of the ended grant: got %s, want expired", got)
	}
	if got := b.taskByID(long.ID).State; got != tasks.Running {
		t.Errorf("task of the other grant: got %s, want running", got)
	}
	short.ID = "j-1-1"
	var ended *works.GrantError
	if _, err := b.works.Prepare(b.ctx, short); !errors.As(err, &ended) || ended.Grant != short.Lease {
		t.Errorf("preparing: got %v, want a grant error", err)
	}
	if err := b.works.Renew(b.ctx, short.Lease, firstTerm, time.Now().Add(time.Minute)); !errors.As(err, &ended) {
		t.Errorf("renewing: got %v, want a grant error", err)
	}
}

// A usage report must carry the identifiers of task, worker and job and the age of the measurement, and a report that can't
// be decoded must not discard the others.
func TestWorksUsage(t *testing.T) {
	b := newFixture(t)
	task := must[works.Task](t)(b.works.Prepare(b.ctx, b.task(t, "j-1-0", "lausanne-w1", 4)))
	must[works.Task](t)(b.works.Throttle(b.ctx, task.ID, firstTerm, 1))
	b.Tasks.SetJobUsage(tasks.JobUsage{Job: "j", Cores: 3, Memory: 40})
	got := must[[]works.Usage](t)(b.works.Usage(b.ctx))
	want := works.Usage{Task: task.ID, Worker: "lausanne-w1", Job: "j", GPUs: 4, Cores: 3, Memory: 40}
	if len(got) != 1 || got[0].Age < 0 || got[0].Age > 1000 {
		t.Fatalf("usage: got %+v, want %+v", got, want)
	}
	if got[0].Age = 0; got[0] != want {
		t.Errorf("usage: got %+v, want %+v", got[0], want)
	}
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"usage":[{"task":"a","memory":"much"},{"task":"b","memory":7},{"task":"c","memory":1e999},null]}`)
	}))
	defer broken.Close()
	client := &works.Client{URL: broken.URL, Timeout: clientTimeout}
	if got, err := client.Usage(b.ctx); err != nil || len(got) != 2 || got[0].Task != "b" {
		t.Errorf("broken reports: got %+v, %v, want the one that can be read and the empty one", got, err)
	}
}

// A task must not start twice and a worker must not be oversubscribed: preparing is refused for a task that has ended, for
// an existing task with other content, and beyond the capacity of the worker.
func TestWorksRefusals(t *testing.T) {
	b := newFixture(t)
	task := must[works.Task](t)(b.works.Prepare(b.ctx, b.task(t, "j-1-0", "lausanne-w1", 6)))
	b.Faults.Add(fault.Fault{Mode: fault.LoseWorker, Worker: "lausanne-w2"})
	moved, ended := task, b.task(t, "j-2-0", "lausanne-w3", 1)
	moved.Worker = "lausanne-w3"
	must[works.Task](t)(b.works.Prepare(b.ctx, ended))
	must[works.Task](t)(b.works.Stop(b.ctx, ended.ID, firstTerm))
	for _, tc := range []struct {
		task   works.Task
		reason string
	}{
		{moved, "exists"},
		{ended, "exists"},
		{b.task(t, "j-1-1", "lausanne-w1", 3), "full"},
		{b.task(t, "j-1-2", "lausanne-w2", 1), "worker"},
		{b.task(t, "j-1-3", "nowhere", 1), "worker"},
	} {
		var refused *works.RefusedError
		if _, err := b.works.Prepare(b.ctx, tc.task); !errors.As(err, &refused) || refused.Reason != tc.reason {
			t.Errorf("%s on %s: got %v, want refused: %s", tc.task.ID, tc.task.Worker, err, tc.reason)
		}
	}
	var unknown *works.UnknownTaskError
	if _, err := b.works.Stop(b.ctx, "none", firstTerm); !errors.As(err, &unknown) || unknown.Task != "none" {
		t.Errorf("stopping: got %v, want an unknown task", err)
	}
}

// Other tests rely on the events of the log: it must show a lost worker and a worker on which each task fails, and no task
// running before its release.
func TestWorksLog(t *testing.T) {
	b := newFixture(t)
	for i, worker := range []model.WorkerID{"lausanne-w1", "lausanne-w2"} {
		task := b.task(t, []string{"j-1-0", "j-1-1"}[i], worker, 8)
		must[works.Task](t)(b.works.Prepare(b.ctx, task))
	}
	b.Faults.Add(fault.Fault{Mode: fault.Fail, Worker: "lausanne-w2"})
	for _, id := range []string{"j-1-0", "j-1-1"} {
		must[works.Task](t)(b.works.Throttle(b.ctx, id, firstTerm, 1))
	}
	b.Faults.Add(fault.Fault{Mode: fault.LoseWorker, Worker: "lausanne-w1"})
	var got []string
	for _, e := range b.Tasks.Log(0) {
		got = append(got, e.Task+" "+e.Event)
	}
	want := []string{
		"j-1-0 prepared", "j-1-1 prepared", "j-1-0 running", "j-1-1 running", "j-1-1 failed", "j-1-0 lost",
	}
	if len(got) != len(want) {
		t.Fatalf("log: got %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("event %d: got %q, want %q", i, got[i], want[i])
		}
	}
	workers, err := b.works.Workers(b.ctx)
	if err != nil || len(workers) != 3 || workers[0].Up || !workers[1].Up || workers[0].Rack != "lausanne-r1" {
		t.Errorf("workers: got %+v, %v, want the first down", workers, err)
	}
}
