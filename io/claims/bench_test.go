package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// benchSpan is how long claims are made at each rate.
const benchSpan = 4 * time.Second

// claimAtRate claims new keys at a rate for benchSpan, spread evenly over the entries, and returns the
// sorted latencies.
func claimAtRate(b *testing.B, entries []*Writer, rate int) []time.Duration {
	var mu sync.Mutex
	var all sync.WaitGroup
	var took []time.Duration
	n := max(8, rate*int(benchSpan/time.Second))
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		all.Go(func() {
			begin := time.Now()
			if err := entries[i%len(entries)].Claim(context.Background(), "team", fmt.Sprint(i), attemptID(i%len(entries)+1, i)); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(begin))
		})
	}
	all.Wait()
	slices.Sort(took)
	return took
}

// benchClaims reports the store calls and latencies of claims by count entries at a rate.
func benchClaims(b *testing.B, shards, count, rate int) {
	for b.Loop() {
		f := newFakeStore()
		f.delay = 2 * time.Millisecond
		var entries []*Writer
		for range count {
			entries = append(entries, &Writer{Store: f, Shards: shards})
		}
		took := claimAtRate(b, entries, rate)
		var reads, writes, bytes uint64
		for _, w := range entries {
			w.Close(context.Background())
			reads += w.Counters.Reads.Load()
			writes += w.Counters.Writes.Load()
			bytes += w.Counters.Bytes.Load()
		}
		n := float64(len(took))
		span := n / float64(rate)
		b.ReportMetric(float64(writes)/n, "writes/claim")
		b.ReportMetric(float64(reads)/n, "reads/claim")
		b.ReportMetric(float64(writes)/span, "writes/s")
		b.ReportMetric(float64(bytes)/n, "bytes/claim")
		b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	}
}

// BenchmarkRate measures the store calls per claim, by the rate of claims, the number of shards and the
// number of entries that share the store. Each store call takes 2 ms.
func BenchmarkRate(b *testing.B) {
	for _, entries := range []int{1, 3} {
		for _, shards := range []int{4, 16, 64} {
			for _, rate := range []int{1, 10, 100, 1000} {
				b.Run(fmt.Sprintf("entries=%d/shards=%d/rate=%d", entries, shards, rate), func(b *testing.B) {
					benchClaims(b, shards, entries, rate)
				})
			}
		}
	}
}
