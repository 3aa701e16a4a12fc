package alloc

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/batch"
)

// BenchmarkPlan measures Plan with all workers in use and tasks waiting, by the number of workers.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 77, 300, 3000} {
		b.Run(fmt.Sprintf("workers-%d", workers), func(b *testing.B) {
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
			b.ResetTimer()
			for range b.N {
				w.scheduler.Plan(w.now, w.now)
			}
		})
	}
}
