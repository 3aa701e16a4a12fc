package route

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures Pick and Report by the number of records in the table.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 1_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter()
			for i := range n {
				r.Table.Merge(start, rec(fmt.Sprint(i), "w", "a", i%8))
			}
			b.ReportAllocs()
			for b.Loop() {
				got, err := r.Pick(start, Request{Service: "plan"})
				if err != nil {
					b.Fatal(err)
				}
				r.Report(start, got.ID, Result{})
			}
		})
	}
}

// BenchmarkPickOnlyCandidate measures the worst case of Pick: only one agent in the table is ready.
func BenchmarkPickOnlyCandidate(b *testing.B) {
	for _, n := range []int{10, 1_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(rec("good", "w", "a", 0))
			for i := range n - 1 {
				other := rec(fmt.Sprint(i), "w", "a", 0)
				other.State = 1
				r.Table.Merge(start, other)
			}
			for b.Loop() {
				got, err := r.Pick(start, Request{Service: "plan"})
				if err != nil {
					b.Fatal(err)
				}
				r.Report(start, got.ID, Result{})
			}
		})
	}
}
