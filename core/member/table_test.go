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

// A dead agent of the own region must stop receiving work within 3 s, and the other regions
// must learn of it; a duplicate of its last record must not keep it alive.
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
		want(t, "while heard", ids(tab, now), "a ")
		if tab.Merge(now, rec("a", "w", 4)) != Stale {
			t.Error("duplicate record was not stale")
		}
		if lost := tab.Expire(now); len(lost) != 0 {
			t.Errorf("reported %v at %v", lost, now.Sub(start))
		}
	}
	now = now.Add(time.Second)
	want(t, "after silence", ids(tab, now), "")
	if got := tab.Expire(now); len(got) != 1 || got[0] != (Loss{"a", 1, 4}) {
		t.Errorf("losses: got %v", got)
	}
	if got := tab.Expire(now); len(got) != 0 {
		t.Errorf("loss reported twice: %v", got)
	}
	if got := tab.Merge(now, rec("a", "w", 5)); got != Material {
		t.Errorf("returned record: got change %v, want Material", got)
	}
	want(t, "after return", ids(tab, now), "a ")
}

// An entry that resumes after a pause has heard nothing for a while; reporting its whole
// region as lost would take every candidate from the other regions, and using none until the agents
// have linked again would refuse every request. What was silent before the pause, or may have been
// replaced in a long one, is not used.
func TestPausedEntryUsesWhatItKnew(t *testing.T) {
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
			want(t, "before the first tick", ids(tab, now), tc.want)
			for range 3 {
				if lost := tab.Expire(now); len(lost) != 0 {
					t.Fatalf("reported %v after a pause", lost)
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

// Load is not forwarded between regions, so a remote record is seldom heard of itself; it
// has to stay a candidate while its entries are heard of and end with them or a report.
func TestRemoteRecordIsVouchedFor(t *testing.T) {
	tab := &Table{Region: "w"}
	tab.Merge(start, rec("b", "e", 7))
	want(t, "without a link", ids(tab, start), "")
	now := start.Add(30 * time.Second)
	tab.Heard(now, "e")
	want(t, "vouched", ids(tab, now.Add(3*time.Second)), "b ")
	want(t, "region silent", ids(tab, now.Add(3*time.Second+1)), "")
	tab.Report(now, "w", Loss{"b", 1, 7})
	want(t, "report of a foreign region", ids(tab, now), "b ")
	tab.Report(now, "e", Loss{"b", 1, 6})
	want(t, "report of an earlier record", ids(tab, now), "b ")
	tab.Report(now, "e", Loss{"b", 1, 90})
	want(t, "reported lost", ids(tab, now), "")
	if tab.Merge(now, rec("b", "e", 80)) != Load {
		t.Error("record older than the loss counted as material")
	}
	want(t, "record older than the loss", ids(tab, now), "")
	if tab.Merge(now, rec("b", "e", 91)) != Material {
		t.Error("returned record was not material")
	}
	want(t, "returned", ids(tab, now), "b ")
}

// Records arrive in any order and more than once over several links; all tables must end
// with the same rows, an index that matches them, and no gone record among the candidates.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) model.Record {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			inc, seq := rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(0, 4).Draw(t, "seq")
			r := rec(id, "w", seq)
			r.Incarnation = model.Incarnation(inc)
			// Contents are a function of the version, as a single writer makes them.
			r.State = model.State((inc + seq) % 3)
			r.Service = []string{"plan", "stock"}[inc%2]
			return r
		})
		records := rapid.SliceOf(gen).Draw(t, "records")
		other := rapid.Permutation(records).Draw(t, "other")
		one, two := &Table{Region: "w"}, &Table{Region: "w"}
		for i := range records {
			one.Merge(start, records[i])
			two.Merge(start, other[i])
		}
		for id, row := range one.rows {
			if got := two.rows[id].Record; got != row.Record {
				t.Fatalf("%s: got %+v, want %+v", id, got, row.Record)
			}
			if one.pools[row.slot.key][row.slot.index] != row || row.slot.key.service != row.Record.Service {
				t.Fatalf("%s is not at its place in the index", id)
			}
		}
		for _, c := range one.Candidates(start, "plan") {
			if c.State != model.Ready || c.Service != "plan" {
				t.Fatalf("candidate %+v", c)
			}
		}
	})
}

// Records of nodes that never come back would fill the memory of a long-running entry.
func TestForgets(t *testing.T) {
	tab := &Table{Region: "w"}
	tab.Merge(start, rec("a", "w", 1))
	tab.Merge(start, rec("b", "e", 1))
	for s := range 260 {
		now := start.Add(time.Duration(s) * time.Second)
		tab.Heard(now, "e")
		if s == 180 {
			tab.Report(now, "e", Loss{"b", 1, 1})
		}
		tab.Expire(now)
		// The lost record is remembered for a while: a copy that arrives late must not revive it.
		if s == 200 {
			tab.Merge(now, rec("b", "e", 1))
			want(t, "late copy of a lost record", ids(tab, now), "")
		}
	}
	if got := tab.Len(); got != 0 {
		t.Errorf("rows left: got %d, want 0", got)
	}
}
