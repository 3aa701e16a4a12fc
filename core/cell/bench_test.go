package cell

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// planOfSize returns a plan with the load that a cell of the given number of workers is designed for: per worker 0.8
// running gangs of four tasks and 0.5 waiting jobs.
func planOfSize(workers int) *Plan {
	p := &Plan{Epoch: 1}
	add := func(id string, running bool) {
		spec := model.JobSpec{
			ID: model.JobID(id), Team: "dispatch", Class: "route-plan", Estimate: time.Hour, Grace: time.Second,
			Shape: model.Shape{Tasks: 4, GPUs: 2, Cores: 16, Memory: 32}, Checkpoint: true,
		}
		p.apply(Change{Kind: JobSubmitted, Spec: &spec, At: 1700000000000})
		if running {
			workersOfJob := make([]model.WorkerID, 4)
			for i := range workersOfJob {
				workersOfJob[i] = model.WorkerID(fmt.Sprintf("lausanne-w%d", (p.Sequence*4+uint64(i))%uint64(workers)))
			}
			p.apply(Change{Kind: JobPlaced, Epoch: 1, Job: spec.ID, Workers: workersOfJob, Note: make([]byte, 12), At: 1700000000000})
			p.apply(Change{Kind: JobReleased, Epoch: 1, Job: spec.ID, Placement: 1, Grant: 7, At: 1700000000000})
		}
	}
	for i := range workers * 8 / 10 {
		add(fmt.Sprintf("running-%d", i), true)
	}
	for i := range workers / 2 {
		add(fmt.Sprintf("waiting-%d", i), false)
	}
	return p
}

// BenchmarkWrites compares the bytes written per change if the plan is stored as base and change log and if it is stored
// as one value. The changes are the submission, placement, release and end of one job after the other.
func BenchmarkWrites(b *testing.B) {
	for _, workers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("log/%d", workers), func(b *testing.B) {
			j := newJournal("e1", time.Unix(0, 0))
			j.plan, j.hasPlan, j.logVersion, j.baseVersion = planOfSize(workers), true, 1, 1
			bytes, calls := 0, 0
			for i := 0; b.Loop(); i++ {
				j.addOwnerChanges(lifecycleChange(i))
				for done := false; !done; {
					for _, e := range j.flush(true) {
						calls++
						switch e := e.(type) {
						case WriteBase:
							bytes += len(e.Value)
							j.handleWriteBase(Answer{Version: j.baseVersion + 1})
						case WriteLog:
							bytes += len(e.Value)
							j.handleWriteLog(Answer{Version: j.logVersion + 1})
							done = true
						}
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
			b.ReportMetric(float64(calls)/float64(b.N), "writes/change")
		})
		b.Run(fmt.Sprintf("value/%d", workers), func(b *testing.B) {
			p, bytes := planOfSize(workers), 0
			for i := 0; b.Loop(); i++ {
				p.Apply(Batch{Revision: p.Revision + 1, Writer: "e1", Number: uint64(i), Changes: []Change{lifecycleChange(i)}})
				bytes += len(EncodeBase(p))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
			b.ReportMetric(1, "writes/change")
		})
	}
}

// lifecycleChange returns the i-th change of an endless series of jobs with four changes each.
func lifecycleChange(i int) Change {
	id := model.JobID(fmt.Sprintf("job-%d", i/4))
	switch i % 4 {
	case 0:
		spec := model.JobSpec{ID: id, Team: "dispatch", Class: "route-plan", Shape: model.Shape{Tasks: 4, GPUs: 2}}
		return Change{Kind: JobSubmitted, Spec: &spec, At: 1700000000000}
	case 1:
		workersOfJob := []model.WorkerID{"lausanne-w1", "lausanne-w2", "lausanne-w3", "lausanne-w4"}
		return Change{Kind: JobPlaced, Epoch: 1, Job: id, Workers: workersOfJob, Note: make([]byte, 12), At: 1700000000000}
	case 2:
		return Change{Kind: JobReleased, Epoch: 1, Job: id, Placement: 1, Grant: 7, At: 1700000000000}
	}
	return Change{Kind: JobEnded, Epoch: 1, Job: id, Placement: 1, Cause: Finished, At: 1700000000000}
}
