package plan

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// loadedState returns a State of n workers that run about as many tasks as given, with guarantees and queued jobs.
func loadedState(n, tasks, teams, queued int) *State {
	s := &State{}
	var events []Event
	workers := newWorkers(n, max(n/2000, 1))
	for i := range workers {
		events = append(events, Event{Kind: WorkerSeen, Worker: &workers[i]})
	}
	d := model.Declaration{}
	for i := range teams {
		d.Teams = append(d.Teams, model.TeamSpec{Name: model.Team(fmt.Sprint("t", i)), Weight: 1, Guarantees: rackGuarantee(2)})
	}
	s.Apply(epoch, append(events, Event{Kind: Declared, Declaration: &d})...)
	events = nil
	for i := 0; tasks > 0; i++ {
		spec := benchJob(i, teams)
		tasks -= spec.Shape.Tasks
		events = append(events, Event{Kind: Submitted, Job: &spec})
	}
	s.Apply(epoch, events...)
	for range 50 {
		if len(s.Accept(epoch, Decide(epoch, s).Actions)) == 0 {
			break
		}
	}
	for i := range queued {
		spec := benchJob(1_000_000+i, teams)
		spec.Shape.Tasks *= 4
		s.Apply(epoch, Event{Kind: Submitted, Job: &spec})
	}
	return s
}

func benchJob(i, teams int) model.JobSpec {
	shapes := []model.Shape{
		{Tasks: 1, GPUs: 1},
		{Tasks: 2, GPUs: 2},
		{Tasks: 8, GPUs: 1},
		{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
		{Tasks: 1, GPUs: 4},
		{Tasks: 64, GPUs: 1},
		{Tasks: 2, GPUs: 4, Adjacent: model.SameWorker},
	}
	return model.JobSpec{
		ID: model.JobID(fmt.Sprint("j", i)), Team: model.Team(fmt.Sprint("t", i%teams)), Class: fmt.Sprint(i % 7), Shape: shapes[i%len(shapes)],
		Estimate: time.Duration(1+i%5) * time.Hour, Checkpoint: i%2 == 0, Grace: time.Duration(i%10) * time.Second,
	}
}

// BenchmarkDecide measures one event and one decision. MB is the memory of the State.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct{ workers, tasks, teams, queued int }{
		{300, 950, 20, 50}, {2000, 6300, 40, 200}, {3000, 9500, 60, 200}, {30000, 95000, 380, 1000},
	} {
		b.Run(fmt.Sprintf("workers=%d", c.workers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := loadedState(c.workers, c.tasks, c.teams, c.queued)
			runtime.GC()
			runtime.ReadMemStats(&after)
			placed := 0
			for _, j := range s.Jobs {
				if j.placed() {
					placed += j.Spec.Shape.Tasks
				}
			}
			now := epoch.Add(time.Hour)
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				spec := benchJob(2_000_000+i, c.teams)
				s.Apply(now, Event{Kind: Submitted, Job: &spec})
				Decide(now, s)
				s.Apply(now, Event{Kind: Cancelled, Jobs: []model.JobID{spec.ID}})
			}
			b.ReportMetric(float64(placed), "tasks")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			runtime.KeepAlive(s)
		})
	}
}
