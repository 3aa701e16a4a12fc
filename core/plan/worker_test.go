package plan

import (
	"testing"

	"wagtailhoist/core/model"
)

// A job kept its slots on a worker that went down if the index had been discarded before in the same call, for example by
// the report of a new worker.
func TestWorkerDownWithoutIndexRequeuesJobs(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events func(down model.Worker) []Event
	}{
		{"alone", func(down model.Worker) []Event { return []Event{{Kind: WorkerSeen, Worker: &down}} }},
		{"after a new worker in the same call", func(down model.Worker) []Event {
			joined := newWorkers(3, 1)[2]
			return []Event{{Kind: WorkerSeen, Worker: &joined}, {Kind: WorkerSeen, Worker: &down}}
		}},
		{"with another rack", func(down model.Worker) []Event {
			down.Rack = "other"
			return []Event{{Kind: WorkerSeen, Worker: &down}}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, 2, teams(model.TeamSpec{Name: "a"}))
			r.submit(job("j", 2, 8))
			r.step()
			if got := r.Jobs["j"].Phase; got != Running {
				t.Fatalf("phase before: got %v, want %v", got, Running)
			}
			down := newWorkers(2, 1)[0]
			down.Up = false
			r.Apply(r.now, tc.events(down)...)
			if j := r.Jobs["j"]; j.Phase != Queued || len(j.Slots) != 0 {
				t.Errorf("job of a worker that is down: got phase %v with slots %v, want queued without slots", j.Phase, j.Slots)
			}
			if got := r.Workers[down.ID].Worker.Up; got {
				t.Error("worker counts as up after the event")
			}
		})
	}
}
