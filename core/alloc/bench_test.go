package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

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
