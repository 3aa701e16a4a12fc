package peers

import (
	"fmt"
	"testing"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// records returns the records of n agents of a region.
func records(n int, region model.Region, sequence uint64) (out []model.Record) {
	for i := range n {
		out = append(out, model.Record{
			ID: model.NodeID(fmt.Sprintf("minion-%05d", i)), Incarnation: 1, Sequence: sequence, Region: region, Centre: "w-a",
			Address: fmt.Sprintf("10.0.%d.%d:7400", i>>8, i&255), Service: "plan", Load: model.Load{Slots: 8},
		})
	}
	return out
}

// Links between regions are billed by volume. If records were sent to each entry of another region, a
// region that returns after a partition would cost a multiple of the size of its records.
func TestRecordsCrossOnce(t *testing.T) {
	for _, n := range []int{100, 1000, 5000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			first := newEntry(t, "e2", "e", nil)
			east := []*entry{first}
			for _, id := range []string{"e3", "e4", "e5"} {
				east = append(east, newEntry(t, id, "e", nil, first.address))
			}
			within(t, 10*time.Second, "entries are linked", func() bool { return first.LinkedEntries() == 3 })
			west := newEntry(t, "e1", "w", nil)
			west.Settings.Counters = new(link.Counters)
			announced := time.Now()
			west.Members.mergeFromAgent(announced, records(n, "w", 1))
			west.tick(time.Now()) // before the links, as after a partition
			west.addHints(time.Now(), []link.Entry{{ID: "e2", Region: "e", Address: first.address}})
			for _, e := range east {
				within(t, 15*time.Second, "the records are known", func() bool {
					if now := time.Now(); now.Sub(announced) > time.Second {
						announced = now
						west.Members.mergeFromAgent(now, records(n, "w", uint64(now.Unix())))
					}
					return e.Members.Len() == n
				})
			}
			if got, want := west.Settings.Counters.Sent.Load(), uint64(n*80+4000); got > want {
				t.Errorf("bytes sent to %d entries: got %d, want at most %d", len(east), got, want)
			} else {
				t.Logf("%d bytes to %d entries", got, len(east))
			}
		})
	}
}

// When a gateway ends, the other entries of its region must still get all records, changes and losses.
func TestGatewayIsReplaced(t *testing.T) {
	first := newEntry(t, "e1", "w", nil)
	east := []*entry{newEntry(t, "e2", "e", nil, first.address), newEntry(t, "e3", "e", nil, first.address)}
	east = append(east, newEntry(t, "e4", "e", nil, first.address))
	within(t, 10*time.Second, "entries are linked", func() bool { return first.LinkedEntries() == 3 && east[0].LinkedEntries() == 3 })
	stop, _ := newAgent(t, "m1", "w", first)
	waitForCandidates := func(what, want string) {
		t.Helper()
		for _, e := range east {
			within(t, 5*time.Second, what, func() bool { return e.candidates() == want })
		}
	}
	waitForCandidates("the agent is known", "m1")
	first.mu.Lock()
	gateway := first.gateway["e"].link.Peer().Node
	first.mu.Unlock()
	for i, e := range east {
		if e.Settings.Self.Node == gateway {
			e.stop()
			east = append(east[:i], east[i+1:]...)
			break
		}
	}
	within(t, 3*time.Second, "the link to the gateway ends", func() bool { return first.LinkedEntries() == 2 })
	stop2, _ := newAgent(t, "m0", "w", first)
	within(t, 5*time.Second, "a new agent is known", func() bool { return len(east[0].candidates()) == 5 && len(east[1].candidates()) == 5 })
	stop2()
	waitForCandidates("the loss of the new agent is known", "m1")
	east = append(east, newEntry(t, "e6", "e", nil, first.address))
	waitForCandidates("a new entry knows the agent", "m1")
	stop()
	waitForCandidates("the loss of the first agent is known", "")
}
