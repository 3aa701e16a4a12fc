package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

func benchOp(i uint64) *Op {
	op := &Op{Attempt: model.Attempt{Entry: 1_800_000_000_000_000_000, Sequence: i}}
	binary.BigEndian.PutUint64(op.Hash[:], i*0x9E3779B97F4A7C15)
	return op
}

// BenchmarkAppend measures the time of one claim without batching, excluding that of the store, and the memory of an active
// claim.
func BenchmarkAppend(b *testing.B) {
	s := &fakeStore{segments: map[uint64]StoredSegment{}}
	l := &Log{}
	now := time.Unix(1_800_000_000, 0)
	const active = 50_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range uint64(active) {
		decide(s, l, now, benchOp(i))
	}
	size := 0
	for _, seg := range s.segments {
		size += len(seg.Value)
	}
	segments := len(s.segments)
	clear(s.segments)
	runtime.GC()
	runtime.ReadMemStats(&after)
	s.segments[l.head.number] = StoredSegment{l.head.number, l.head.version, Segment{Entries: l.head.entries}.Encode()}
	for i := uint64(active); b.Loop(); i++ {
		decide(s, l, now, benchOp(i))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/active, "B/active-claim")
	b.ReportMetric(float64(size)/active, "B/stored-claim")
	b.ReportMetric(active/float64(segments), "claims/segment")
}

// BenchmarkSegment measures the bytes written and the calls made for each claim without batching, for several segment sizes.
func BenchmarkSegment(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for _, limit := range []int{1 << 10, 2 << 10, 4 << 10, 8 << 10, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			s := &fakeStore{segments: map[uint64]StoredSegment{}}
			l := &Log{SegmentBytes: limit}
			written, writes, reads, n := 0, 0, 0, uint64(0)
			for b.Loop() {
				n++
				op := benchOp(n)
				l.Submit(op)
				for op.Outcome == Open {
					step, _ := l.Next(now)
					written += len(step.Value)
					if step.Call == Write {
						writes++
					} else {
						reads++
					}
					if err := l.HandleReply(now, step, s.do(step)); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(written)/float64(n), "written-B/claim")
			b.ReportMetric(float64(writes)/float64(n), "writes/claim")
			b.ReportMetric(float64(reads)/float64(n), "reads/claim")
		})
	}
}

// BenchmarkLoad measures how long a writer takes to list and decode a shard with 50,000 claims.
func BenchmarkLoad(b *testing.B) {
	s := &fakeStore{segments: map[uint64]StoredSegment{}}
	l := &Log{}
	now := time.Unix(1_800_000_000, 0)
	for i := range uint64(50_000) {
		decide(s, l, now, benchOp(i))
	}
	for b.Loop() {
		fresh := &Log{}
		fresh.Submit(benchOp(1 << 40))
		step, _ := fresh.Next(now)
		if err := fresh.HandleReply(now, step, s.do(step)); err != nil {
			b.Fatal(err)
		}
		if fresh.Active() != 50_000 {
			b.Fatalf("active claims: got %d", fresh.Active())
		}
	}
}
