package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// BenchmarkRest measures the bytes per second that an entry sends to one other entry, of its own or
// another region, while only the load of agents changes. Its region has n agents, which all announce
// themselves to this entry.
func BenchmarkRest(b *testing.B) {
	for _, other := range []string{"w", "e"} {
		for _, n := range []int{10, 1000, 5000} {
			b.Run(fmt.Sprintf("to=%s/agents=%d", map[string]string{"w": "own", "e": "other"}[other], n), func(b *testing.B) {
				for b.Loop() {
					benchRest(b, other, n)
				}
			})
		}
	}
}

// benchRest reports the bytes per second sent to an entry of region.
func benchRest(b *testing.B, region string, n int) {
	far := newEntry(b, "e2", region, nil)
	near := newEntry(b, "e1", "w", nil, far.address)
	count := new(link.Counters)
	near.Settings.Counters = count
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			var records []model.Record
			for i := range n {
				records = append(records, model.Record{
					ID: model.NodeID(fmt.Sprintf("minion-%05d", i)), Incarnation: 1, Sequence: sequence, Region: "w",
					Centre: "w-a", Address: fmt.Sprintf("10.0.%d.%d:7400", i>>8, i&255), Service: "default",
					Load: model.Load{Running: int(sequence) % 8, Slots: 8}, Revision: 1000,
				})
			}
			near.Members.mergeFromAgent(time.Now(), records)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	for len(far.Members.Candidates(time.Now(), "default")) < n {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // until the relay ranks are stable
	sent := count.Sent.Load()
	time.Sleep(5 * time.Second)
	b.ReportMetric(float64(count.Sent.Load()-sent)/5, "B/s")
	near.stop()
	far.stop()
}
