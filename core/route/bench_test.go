package route

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures a routing decision with its report by the number of known records.
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

// BenchmarkPickLast measures the worst case: one agent in the table may get work.
func BenchmarkPickLast(b *testing.B) {
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
