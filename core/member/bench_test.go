package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

func benchRecords(n int) []model.Record {
	records := make([]model.Record, n)
	for i := range records {
		records[i] = rec(fmt.Sprintf("minion-%05d", i), "w", 0)
		records[i].Address = fmt.Sprintf("10.%d.%d.%d:7400", i>>16, i>>8&255, i&255)
	}
	return records
}

// BenchmarkMerge measures the merge of one announced record and the memory of a record, by the size of the table.
func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{10, 1_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			records := benchRecords(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := &Table{Region: "w"}
			for _, r := range records {
				t.Merge(start, r)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for i := 0; b.Loop(); i++ {
				r := records[i%n]
				r.Sequence = uint64(i/n + 1)
				t.Merge(start, r)
			}
			// The strings of the records are shared with the slice above and not counted.
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
		})
	}
}

// BenchmarkTick measures what an entry does once a second: expiry, and the choice of the records that it forwards.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 1_000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			records := benchRecords(n)
			t, r := &Table{Region: "w"}, &Relay{Address: "a"}
			now := start
			for i := uint64(1); b.Loop(); i++ {
				b.StopTimer()
				now = now.Add(time.Second)
				for _, rec := range records {
					rec.Sequence = i
					t.Merge(now, rec)
					r.RecordAnnouncement(now, rec.ID)
				}
				b.StartTimer()
				t.Expire(now)
				r.Forward(now, t, []string{"b", "c"})
			}
		})
	}
}
