package peers

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Invalid values must not enter the table: an incarnation far in the future could not be replaced, and
// huge numbers of slots would overflow sums.
func TestRecordsAreChecked(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	good := model.Record{
		ID: "m1", Incarnation: model.NewIncarnation(now), Region: "w", Centre: "w-a", Address: "10.0.0.1:7400",
		Service: "plan", Load: model.Load{Slots: 8},
	}
	long := strings.Repeat("x", maxNameBytes+1)
	for _, c := range []struct {
		field   string
		role    link.Role
		corrupt func(*model.Record)
	}{
		{"", link.RoleAgent, func(*model.Record) {}},
		{"", link.RoleEntry, func(r *model.Record) { r.ID = "m2" }},
		{"", link.RoleAgent, func(r *model.Record) { r.Incarnation = model.NewIncarnation(now.Add(time.Minute)) }},
		{"", link.RoleAgent, func(r *model.Record) { r.Address = "[::1]:1" }},
		{"identifier", link.RoleAgent, func(r *model.Record) { r.ID = "m2" }},
		{"identifier", "", func(r *model.Record) { r.ID = "m2" }},
		{"identifier", link.RoleEntry, func(r *model.Record) { r.ID = "" }},
		{"identifier", link.RoleEntry, func(r *model.Record) { r.ID = model.NodeID(long) }},
		{"region", link.RoleEntry, func(r *model.Record) { r.Region = "e" }},
		{"region", link.RoleAgent, func(r *model.Record) { r.Region = "e" }},
		{"name", link.RoleAgent, func(r *model.Record) { r.Service = long }},
		{"name", link.RoleAgent, func(r *model.Record) { r.Centre = model.Centre(long) }},
		{"incarnation", link.RoleAgent, func(r *model.Record) { r.Incarnation = 0 }},
		{"incarnation", link.RoleAgent, func(r *model.Record) { r.Incarnation = model.NewIncarnation(now.Add(time.Hour)) }},
		{"state", link.RoleAgent, func(r *model.Record) { r.State = model.Down + 1 }},
		{"load", link.RoleAgent, func(r *model.Record) { r.Load.Slots = -1 }},
		{"load", link.RoleAgent, func(r *model.Record) { r.Load.Running = maxSlots + 1 }},
		{"address", link.RoleAgent, func(r *model.Record) { r.Address = "nowhere" }},
		{"address", link.RoleAgent, func(r *model.Record) { r.Address = "10.0.0.1:0" }},
		{"address", link.RoleAgent, func(r *model.Record) { r.Address = "10.0.0.1:65536" }},
	} {
		r := good
		c.corrupt(&r)
		err := checkRecord(now, link.Hello{Node: "m1", Region: "w", Role: c.role}, r)
		var refused *RecordError
		if errors.As(err, &refused) != (c.field != "") || refused != nil && refused.Field != c.field {
			t.Errorf("%s with %.200v: got %v, want an error of %q", c.role, r, err, c.field)
		}
	}
}

// A sender with the token must not exhaust the memory by records, addresses or announcements.
func TestFloodsAreBounded(t *testing.T) {
	now := time.Now()
	p := &Peers{Members: &Members{Table: member.Table{Region: "w"}}}
	p.init()
	var records []model.Record
	for n := range maxRecords + 10 {
		records = append(records, model.Record{ID: model.NodeID(fmt.Sprint(n)), Incarnation: 1, Region: "w"})
	}
	if got := p.Members.mergeFromEntry(now, "w", "w", records, nil); got != 10 || p.Members.Table.Len() != maxRecords {
		t.Errorf("records past the bound: got %d refused and %d held, want 10 and %d", got, p.Members.Table.Len(), maxRecords)
	}
	if _, got := p.Members.mergeFromAgent(now, records[:1]); got != 0 {
		t.Errorf("known record with a full table: got %d refused, want 0", got)
	}
	entries := []link.Entry{{ID: "bad", Address: "nowhere"}}
	for n := range maxEntries + 10 {
		entries = append(entries, link.Entry{ID: model.NodeID(fmt.Sprint(n)), Address: "10.0.0.1:1"})
	}
	if p.addHints(now, entries); len(p.hinted) != maxEntries {
		t.Errorf("entries that another one named: got %d, want %d", len(p.hinted), maxEntries)
	}
	var q announcementLimiter
	accepted := 0
	for range 1000 {
		if q.allow(now) {
			accepted++
		}
	}
	if accepted != agentAnnouncementBurst || !q.allow(now.Add(time.Second)) {
		t.Errorf("announcements accepted at once: got %d, want %d and more a second later", accepted, agentAnnouncementBurst)
	}
}

// The slots of an evacuated data centre must not count, since the entry would admit more requests than the other agents can
// serve, and its agents must not be listed as candidates.
func TestEvacuatedAgentsCountForNothing(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := &Members{Table: member.Table{Region: "w", Centre: "w-a"}}
	for i, centre := range []model.Centre{"w-a", "w-b"} {
		m.Table.Merge(now, model.Record{ID: model.NodeID(centre), Incarnation: 1, Region: "w", Centre: centre, Service: "s", Load: model.Load{Slots: 8 << i}})
	}
	for _, tc := range []struct {
		evacuated         []model.Centre
		slots, candidates int
	}{{nil, 24, 2}, {[]model.Centre{"w-a"}, 16, 1}, {[]model.Centre{"w-a", "w-b"}, 0, 0}, {[]model.Centre{"w-c"}, 24, 2}} {
		m.SetEvacuated(tc.evacuated)
		if got := m.Slots(now); got != tc.slots {
			t.Errorf("slots with %v evacuated: got %d, want %d", tc.evacuated, got, tc.slots)
		}
		if got := len(m.Candidates(now, "s")); got != tc.candidates {
			t.Errorf("candidates with %v evacuated: got %d, want %d", tc.evacuated, got, tc.candidates)
		}
	}
}
