package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

var start = time.Unix(1_800_000_000, 0)

func rec(id string, region model.Region, seq uint64) model.Record {
	return model.Record{
		ID: model.NodeID(id), Incarnation: 1, Sequence: seq, Region: region,
		Centre: model.Centre(region + "-a"), Address: "127.0.0.1:1", Service: "plan",
	}
}

func ids(t *Table, now time.Time) string {
	out := ""
	for _, r := range t.Candidates(now, "plan") {
		out += string(r.ID) + " "
	}
	return out
}

func want(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// An agent of the own region that dies must stop being a candidate after 3 s and be reported to other regions as lost; a
// duplicate of its last record must not keep it live.
func TestOwnRecordExpires(t *testing.T) {
	tab := &Table{Region: "w", Centre: "w-a"}
	for s := range 5 {
		now := start.Add(time.Duration(s) * time.Second)
		tab.Merge(now, rec("a", "w", uint64(s)))
		tab.Expire(now)
	}
	now := start.Add(4 * time.Second)
	for range 3 {
		now = now.Add(time.Second)
		want(t, "within the silence timeout", ids(tab, now), "a ")
		if tab.Merge(now, rec("a", "w", 4)) != Stale {
			t.Error("Merge of a duplicate record: want Stale")
		}
		if lost := tab.Expire(now); len(lost) != 0 {
			t.Errorf("losses: got %v after %v, want none", lost, now.Sub(start))
		}
	}
	now = now.Add(time.Second)
	want(t, "after the silence timeout", ids(tab, now), "")
	if got := tab.Expire(now); len(got) != 1 || got[0] != (Loss{"a", 1, 4}) {
		t.Errorf("losses: got %v", got)
	}
	if got := tab.Expire(now); len(got) != 0 {
		t.Errorf("losses of the next call: got %v, want none", got)
	}
	if got := tab.Merge(now, rec("a", "w", 5)); got != Material {
		t.Errorf("Merge of a newer record: got change %v, want Material", got)
	}
	want(t, "after a newer record", ids(tab, now), "a ")
}

// An entry that resumes after a pause has received no announcements for a while. If it reported its whole region as lost, other
// regions would have no candidates there; if it used no agent until the agents have linked again, it would refuse all
// requests. Agents that were silent before the pause, or may have been replaced during a long one, must not be used.
func TestPausedEntryUsesRecordsFromBeforePause(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause time.Duration
		want  string
	}{{"short", 20 * time.Second, "a "}, {"long", forgetAfter + time.Second, ""}} {
		t.Run(tc.name, func(t *testing.T) {
			tab := &Table{Region: "w", Centre: "w-a"}
			tab.Merge(start.Add(-4*time.Second), rec("silent", "w", 1))
			tab.Merge(start, rec("a", "w", 1))
			for s := -4; s <= 0; s++ {
				tab.Expire(start.Add(time.Duration(s) * time.Second))
			}
			now := start.Add(tc.pause)
			want(t, "before the first Expire", ids(tab, now), tc.want)
			for range 3 {
				if lost := tab.Expire(now); len(lost) != 0 {
					t.Fatalf("losses after a pause: got %v, want none", lost)
				}
				want(t, "after a pause", ids(tab, now), tc.want)
				now = now.Add(time.Second)
			}
			now = now.Add(time.Second)
			want(t, "after listening again", ids(tab, now), "")
			if lost := tab.Expire(now); len(lost) != len(tc.want)/2 {
				t.Errorf("losses after listening again: got %v, want those of %q", lost, tc.want)
			}
		})
	}
}

// Load is not forwarded between regions, so records of another region arrive seldom. Its agents have to stay candidates while
// its entries send messages, and no longer after those fall silent or report the agent as lost.
func TestRemoteRecordStaysWhileItsRegionIsHeard(t *testing.T) {
	tab := &Table{Region: "w"}
	tab.Merge(start, rec("b", "e", 7))
	want(t, "before a message of the region", ids(tab, start), "")
	now := start.Add(30 * time.Second)
	tab.MarkRegionHeard(now, "e")
	want(t, "within the silence timeout", ids(tab, now.Add(3*time.Second)), "b ")
	want(t, "after the silence timeout", ids(tab, now.Add(3*time.Second+1)), "")
	tab.MarkLost(now, "w", Loss{"b", 1, 7})
	want(t, "report of a foreign region", ids(tab, now), "b ")
	tab.MarkLost(now, "e", Loss{"b", 1, 6})
	want(t, "report of an earlier record", ids(tab, now), "b ")
	tab.MarkLost(now, "e", Loss{"b", 1, 90})
	want(t, "reported lost", ids(tab, now), "")
	if tab.Merge(now, rec("b", "e", 80)) != LoadOnly {
		t.Error("Merge of a record older than the loss: want LoadOnly")
	}
	want(t, "record older than the loss", ids(tab, now), "")
	if tab.Merge(now, rec("b", "e", 91)) != Material {
		t.Error("Merge of a record newer than the loss: want Material")
	}
	want(t, "record newer than the loss", ids(tab, now), "b ")
}

// Records arrive in any order, and more than once over several links. All tables must end with the same records, pools that
// match them, and only ready agents among the candidates.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) model.Record {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			inc, seq := rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(0, 4).Draw(t, "seq")
			r := rec(id, "w", seq)
			r.Incarnation = model.Incarnation(inc)
			// A version has one content, because only the agent itself writes its records.
			r.State = model.State((inc + seq) % 3)
			r.Service = []string{"plan", "stock"}[inc%2]
			return r
		})
		records := rapid.SliceOf(gen).Draw(t, "records")
		permutation := rapid.Permutation(records).Draw(t, "other")
		inOrder, permuted := &Table{Region: "w"}, &Table{Region: "w"}
		for i := range records {
			inOrder.Merge(start, records[i])
			permuted.Merge(start, permutation[i])
		}
		for id, row := range inOrder.rows {
			if got := permuted.rows[id].Record; got != row.Record {
				t.Fatalf("%s: got %+v, want %+v", id, got, row.Record)
			}
			if inOrder.pools[row.poolPosition.key][row.poolPosition.index] != row || row.poolPosition.key.service != row.Record.Service {
				t.Fatalf("%s is not at its position in its pool", id)
			}
		}
		for _, c := range inOrder.Candidates(start, "plan") {
			if c.State != model.Ready || c.Service != "plan" {
				t.Fatalf("candidate %+v: want a ready agent of service plan", c)
			}
		}
	})
}

// Records of agents that never return must not fill the memory of a long-running entry.
func TestLostAndSilentRecordsAreForgotten(t *testing.T) {
	tab := &Table{Region: "w"}
	tab.Merge(start, rec("a", "w", 1))
	tab.Merge(start, rec("b", "e", 1))
	for s := range 260 {
		now := start.Add(time.Duration(s) * time.Second)
		tab.MarkRegionHeard(now, "e")
		if s == 180 {
			tab.MarkLost(now, "e", Loss{"b", 1, 1})
		}
		tab.Expire(now)
		// The record of a lost agent is kept for a while, so that a delayed copy does not make it live again.
		if s == 200 {
			tab.Merge(now, rec("b", "e", 1))
			want(t, "late copy of a lost record", ids(tab, now), "")
		}
	}
	if got := tab.Len(); got != 0 {
		t.Errorf("rows left: got %d, want 0", got)
	}
}

// A gateway relays the records of another region once, also to entries that have no link to that region yet or that lost
// theirs. Without the records, they would never have the agents of that region as candidates.
func TestRelayedRecordsAreKeptWhileTheRegionIsRelayed(t *testing.T) {
	tab := &Table{Region: "e", Centre: "e-a"}
	now := start
	tab.MarkRegionRelayed(now, "w", false)
	tab.Expire(now)
	tab.Merge(now, rec("a", "w", 1))
	tab.MarkRegionRelayed(now, "w", true)
	for range 2 * int(forgetAfter/time.Second) {
		now = now.Add(time.Second)
		tab.MarkRegionRelayed(now, "w", false)
		tab.Expire(now)
		want(t, "without a link to the region", ids(tab, now), "")
	}
	tab.MarkRegionHeard(now, "w")
	want(t, "after the link to the region", ids(tab, now), "a ")
	for range int(forgetAfter/time.Second) + 1 {
		now = now.Add(time.Second)
		tab.Expire(now)
	}
	if got := tab.Len(); got != 0 || len(tab.regionRelayedAt) != 0 {
		t.Errorf("records, regions after a minute in which the region was neither heard nor relayed: got %d, %d, want 0, 0", got, len(tab.regionRelayedAt))
	}
	tab.MarkRegionRelayed(now, "x", false)
	if len(tab.regionRelayedAt) != 0 {
		t.Error("a region without relayed records was added")
	}
}
