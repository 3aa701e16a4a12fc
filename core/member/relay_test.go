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

// entry is one entry of a region in a test.
type entry struct {
	table Table
	relay Relay
}

// region runs entries that forward to each other once a second.
type region struct {
	entries []*entry
	now     time.Time
	// reach says whether the agent reaches entry i.
	reach func(i int) bool
	seq   uint64
	// near counts forwarded records, far holds what other regions were told.
	near int
	far  []model.Record
}

func newRegion(n int) *region {
	g := &region{now: start, reach: func(int) bool { return true }}
	for i := range n {
		g.entries = append(g.entries, &entry{
			table: Table{Region: "w"}, relay: Relay{Address: fmt.Sprint("10.0.0.", i)},
		})
	}
	return g
}

// tick lets the agent announce itself and the entries forward, one second after the last time.
func (g *region) tick() {
	g.now = g.now.Add(time.Second)
	for i, e := range g.entries {
		if g.reach(i) {
			g.seq++
			e.table.Merge(g.now, rec("a", "w", g.seq))
			e.relay.Direct(g.now, "a")
		}
		e.relay.Lost(e.table.Expire(g.now))
	}
	for i, e := range g.entries {
		var others []string
		for j, o := range g.entries {
			if j != i {
				others = append(others, o.relay.Address)
			}
		}
		near, far := e.relay.Forward(g.now, &e.table, others)
		g.far = append(g.far, far...)
		for j, o := range g.entries {
			for _, rec := range near {
				if j != i {
					g.near++
					o.table.Merge(g.now, rec)
					o.relay.Relayed(g.now, rec.ID)
				}
			}
		}
	}
}

// Records of all agents cross each entry link once a second; every entry that forwards them
// multiplies the traffic, and none at all loses the agent.
func TestOneEntryForwards(t *testing.T) {
	g := newRegion(4)
	g.reach = func(i int) bool { return i < 3 }
	for range 20 {
		g.tick()
	}
	if g.near != 20*3 {
		t.Errorf("forwarded records in 20 s over 3 links each: got %d, want 60", g.near)
	}
	if len(g.far) != 1 {
		t.Errorf("records told to other regions: got %d, want 1", len(g.far))
	}
}

// An agent that can't reach the entry of the highest rank still has to be known everywhere.
func TestLowerRankForwards(t *testing.T) {
	for only := range 4 {
		g := newRegion(4)
		g.reach = func(i int) bool { return i == only }
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
		if len(g.far) == 0 {
			t.Error("other regions were not told")
		}
	}
}

// The record of an agent that was lost and came back has to be told again by the entry that
// reported the loss, though nothing in it changed.
func TestReturnIsToldAgain(t *testing.T) {
	g := newRegion(2)
	for range 5 {
		g.tick()
	}
	g.reach = func(int) bool { return false }
	for range 6 {
		g.tick()
	}
	g.far = nil
	g.reach = func(int) bool { return true }
	for range 3 {
		g.tick()
	}
	if len(g.far) < 2 {
		t.Errorf("records told after the return: got %d, want one of each entry that reported the loss", len(g.far))
	}
}

// An entry of another region that has just linked knows nothing of this one, and must learn
// of each agent from one entry at least.
func TestNewLinkIsToldAll(t *testing.T) {
	g := newRegion(3)
	for range 3 {
		g.tick()
	}
	told := 0
	for _, e := range g.entries {
		told += len(e.relay.Told(&e.table))
	}
	if told != 1 {
		t.Errorf("records told to a new link of each entry: got %d, want 1", told)
	}
}

// The entries of lower rank are announced to every 1.4 s only. If the first one ends or falls silent,
// whenever that is, no other entry may lose the agent for a moment.
func TestLossOfFirstEntryIsUnnoticed(t *testing.T) {
	const step = 100 * time.Millisecond
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0)) // phases of the announcements and of the forwarding
		g := newRegion(4)
		slices.SortFunc(g.entries, func(a, b *entry) int {
			return cmp.Compare(Rank("a", b.relay.Address), Rank("a", a.relay.Address))
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
					e.relay.Direct(g.now, "a")
				}
			}
			for i, e := range g.entries {
				if (ms+forwarded[i])%1000 == 0 && (i > 0 || g.now.Before(end)) {
					g.forward(i, g.now.Before(end.Add(DefaultSilence)))
				}
				if got := ids(&e.table, g.now); got != "a " && i > 0 && ms > 3000 {
					t.Fatalf("first entry lost after %v: %v later entry %d has candidates %q", end.Sub(start), g.now.Sub(end), i, got)
				}
			}
		}
	}
}

// forward lets entry i expire and forward; first says whether it counts entry 0 among the live ones.
func (g *region) forward(i int, first bool) {
	e := g.entries[i]
	var others []string
	for j, o := range g.entries {
		if j != i && (j > 0 || first) {
			others = append(others, o.relay.Address)
		}
	}
	e.relay.Lost(e.table.Expire(g.now))
	near, _ := e.relay.Forward(g.now, &e.table, others)
	for j, o := range g.entries {
		for _, rec := range near {
			if j != i {
				o.table.Merge(g.now, rec)
				o.relay.Relayed(g.now, rec.ID)
			}
		}
	}
}
