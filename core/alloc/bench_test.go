package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
)

// BenchmarkPlanOfTeams measures Plan with the waiting work of 20 teams in each order. By share, it takes at most a tenth longer.
func BenchmarkPlanOfTeams(b *testing.B) {
	for _, workers := range []int{11, 77, 300, 3000} {
		for _, order := range []TeamOrder{ByDeadline, ByShare} {
			b.Run(fmt.Sprintf("workers-%d/%s", workers, order), func(b *testing.B) {
				w := newFixture(b, batch.Team{Name: "a", Guarantee: int64(workers)})
				w.scheduler.Settings.TeamOrder = order
				for i := range workers {
					w.addWorker(fmt.Sprintf("n%d", i), fmt.Sprintf("r%d", i/5))
				}
				for i := range workers {
					// The first team has half of the work.
					team := model.Team(fmt.Sprintf("t%02d", max(0, i%40-20)))
					w.submit("p2", team, gpuStep(10, 1))
					w.submit("p1", team, gpuStep(2, []int64{1, 2, 4, 8}[i%4]))
					if i%4 == 0 {
						w.submit("p0", team, gangStep(4, 4))
					}
				}
				w.runRound()
				w.now = w.now.Add(time.Second)
				b.ResetTimer()
				for range b.N {
					w.now = w.now.Add(time.Microsecond)
					// Each plan charges all runs, as only one in 100 ms does.
					w.scheduler.chargedAt = time.Time{}
					w.scheduler.Plan(w.now, w.now)
				}
			})
		}
	}
}

// newPlanFixture returns a fixture with all workers in use and tasks waiting.
func newPlanFixture(b *testing.B, workers int) *fixture {
	w := newFixture(b, batch.Team{Name: "a", Guarantee: int64(workers)})
	for i := range workers {
		w.addWorker(fmt.Sprintf("n%d", i), fmt.Sprintf("r%d", i/5))
	}
	for i := range workers {
		w.submit("p2", "b", gpuStep(10, 1))
		w.submit("p1", "b", gpuStep(2, []int64{1, 2, 4, 8}[i%4]))
		if i%4 == 0 {
			w.submit("p0", "b", gangStep(4, 4))
		}
	}
	w.runRound()
	w.now = w.now.Add(time.Second)
	return w
}

// BenchmarkPlan measures Plan with all workers in use and tasks waiting, by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 77, 300, 3000} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			w := newPlanFixture(b, workers)
			b.ResetTimer()
			for range b.N {
				w.scheduler.Plan(w.now, w.now)
			}
		})
	}
}

// BenchmarkForecast measures Forecast in the state of BenchmarkPlan.
func BenchmarkForecast(b *testing.B) {
	for _, workers := range []int{77, 300, 3000} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
			w := newPlanFixture(b, workers)
			w.scheduler.Plan(w.now, w.now)
			now := w.now.Add(w.scheduler.leaseTimeout())
			b.ResetTimer()
			for range b.N {
				if _, ok := w.scheduler.Forecast(now); !ok {
					b.Fatal("no forecast")
				}
			}
		})
	}
}
