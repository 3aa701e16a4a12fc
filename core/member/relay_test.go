package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// entry is the table and the relay of one entry.
type entry struct {
	table Table
	relay Relay
}

// region is a region of entries that forward records to each other once a second, and one agent.
type region struct {
	entries []*entry
	now     time.Time
	// reaches reports whether the agent reaches entry i.
	reaches func(i int) bool
	seq     uint64
	// localSends counts the records sent to other entries of the region; remote holds those sent to other regions.
	localSends int
	remote     []model.Record
}

func newRegion(n int) *region {
	g := &region{now: start, reaches: func(int) bool { return true }}
	for i := range n {
		g.entries = append(g.entries, &entry{
			table: Table{Region: "w"}, relay: Relay{Address: fmt.Sprint("10.0.0.", i)},
		})
	}
	return g
}

// tick advances the time by one second. The agent announces itself, and each entry expires and forwards records.
func (g *region) tick() {
	g.now = g.now.Add(time.Second)
	for i, e := range g.entries {
		if g.reaches(i) {
			g.seq++
			e.table.Merge(g.now, rec("a", "w", g.seq))
			e.relay.RecordAnnouncement(g.now, "a")
		}
		e.relay.RecordLosses(e.table.Expire(g.now))
	}
	for i, e := range g.entries {
		var others []string
		for j, o := range g.entries {
			if j != i {
				others = append(others, o.relay.Address)
			}
		}
		localSends, remote := e.relay.Forward(g.now, &e.table, others)
		g.remote = append(g.remote, remote...)
		for j, o := range g.entries {
			for _, rec := range localSends {
				if j != i {
					g.localSends++
					o.table.Merge(g.now, rec)
					o.relay.RecordForwarding(g.now, rec.ID)
				}
			}
		}
	}
}

// Records of all agents cross the links between entries once a second: a second entry that forwards them doubles the traffic,
// and without any the agent is lost.
func TestOnlyOneEntryForwards(t *testing.T) {
	g := newRegion(4)
	g.reaches = func(i int) bool { return i < 3 }
	for range 20 {
		g.tick()
	}
	if g.localSends != 20*3 {
		t.Errorf("forwarded records in 20 s over 3 links each: got %d, want 60", g.localSends)
	}
	if len(g.remote) != 1 {
		t.Errorf("records forwarded to other regions: got %d, want 1", len(g.remote))
	}
}

// An agent that can't reach the entry of first rank must still be a candidate at every entry.
func TestLowerRankedEntryForwardsInstead(t *testing.T) {
	for only := range 4 {
		g := newRegion(4)
		g.reaches = func(i int) bool { return i == only }
		for range 4 {
			g.tick()
		}
		for range 20 {
			g.tick()
			for i, e := range g.entries {
				if got := ids(&e.table, g.now); got != "a " {
					t.Fatalf("agent reaches entry %d only: entry %d has candidates %q", only, i, got)
				}
			}
		}
		if len(g.remote) == 0 {
			t.Error("no record was forwarded to other regions")
		}
	}
}

// When a lost agent returns, the entry that reported the loss has to forward its record again although its fields are unchanged;
// otherwise other regions would treat the agent as lost for ever.
func TestReturnedAgentIsSentToOtherRegionsAgain(t *testing.T) {
	g := newRegion(2)
	for range 5 {
		g.tick()
	}
	g.reaches = func(int) bool { return false }
	for range 6 {
		g.tick()
	}
	g.remote = nil
	g.reaches = func(int) bool { return true }
	for range 3 {
		g.tick()
	}
	if len(g.remote) < 2 {
		t.Errorf("records forwarded to other regions after the return: got %d, want one from each entry that reported the loss", len(g.remote))
	}
}

// An entry of another region that has just linked has no records of this region, and must get the record of each agent.
func TestNewRemoteLinkGetsEachAgentOnce(t *testing.T) {
	g := newRegion(3)
	for range 3 {
		g.tick()
	}
	told := 0
	for _, e := range g.entries {
		told += len(e.relay.RemoteRecords(&e.table))
	}
	if told != 1 {
		t.Errorf("records that the entries send over new links: got %d, want 1", told)
	}
}

// The agent announces itself to entries of lower rank only every 1.4 s. If the entry of first rank stops at any moment, the
// agent must stay a candidate at all other entries.
func TestLossOfHighestRankedEntryLosesNoAgent(t *testing.T) {
	const step = 100 * time.Millisecond
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0)) // draws the phases of announcing and forwarding
		g := newRegion(4)
		slices.SortFunc(g.entries, func(a, b *entry) int {
			return cmp.Compare(RendezvousHash("a", b.relay.Address), RendezvousHash("a", a.relay.Address))
		})
		end := start.Add(10*time.Second + time.Duration(random.IntN(40))*step)
		var announced, forwarded [4]int
		for i := range 4 {
			announced[i], forwarded[i] = 100*random.IntN(14), 100*random.IntN(10)
		}
		for g.now.Before(end.Add(10 * time.Second)) {
			g.now = g.now.Add(step)
			ms := int(g.now.Sub(start) / time.Millisecond)
			for i, e := range g.entries[:3] {
				every := []int{1000, 1400, 1400}[i]
				if (ms+announced[i])%every == 0 && (i > 0 || g.now.Before(end)) {
					g.seq++
					e.table.Merge(g.now, rec("a", "w", g.seq))
					e.relay.RecordAnnouncement(g.now, "a")
				}
			}
			for i, e := range g.entries {
				if (ms+forwarded[i])%1000 == 0 && (i > 0 || g.now.Before(end)) {
					g.forward(i, g.now.Before(end.Add(DefaultSilenceTimeout)))
				}
				if got := ids(&e.table, g.now); got != "a " && i > 0 && ms > 3000 {
					t.Fatalf("entry of first rank stopped after %v: %v later entry %d has candidates %q", end.Sub(start), g.now.Sub(end), i, got)
				}
			}
		}
	}
}

// forward lets entry i expire and forward records; firstLive says whether it counts entry 0 among the live entries.
func (g *region) forward(i int, firstLive bool) {
	e := g.entries[i]
	var others []string
	for j, o := range g.entries {
		if j != i && (j > 0 || firstLive) {
			others = append(others, o.relay.Address)
		}
	}
	e.relay.RecordLosses(e.table.Expire(g.now))
	localSends, _ := e.relay.Forward(g.now, &e.table, others)
	for j, o := range g.entries {
		for _, rec := range localSends {
			if j != i {
				o.table.Merge(g.now, rec)
				o.relay.RecordForwarding(g.now, rec.ID)
			}
		}
	}
}
