package peers

import (
	"slices"
	"sync"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/core/route"
)

// Members joins the membership table, the router and the forwarding of records of an entry
// under one lock; it is safe for concurrent use. The fields are set before the first call.
type Members struct {
	Table  member.Table
	Router route.Router
	Relay  member.Relay

	mu sync.Mutex
	// gate holds the nodes of other regions whose records were sent to this entry as their gate.
	gate map[model.NodeID]bool
}

// Pick chooses an agent as route.Router.Pick does.
func (m *Members) Pick(now time.Time, r route.Request) (model.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Table = &m.Table
	return m.Router.Pick(now, r)
}

// Report takes the end of an attempt as route.Router.Report does.
func (m *Members) Report(now time.Time, id model.NodeID, result route.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Table = &m.Table
	m.Router.Report(now, id, result)
}

// Suspect takes the silence of an agent as route.Router.Suspect does.
func (m *Members) Suspect(now time.Time, id model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Suspect(now, id)
}

// Candidates returns the records of a service that may get new work.
func (m *Members) Candidates(now time.Time, service string) []model.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Candidates(now, service)
}

// Slots returns the number of slots of the live agents of the own region.
func (m *Members) Slots(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Slots(now)
}

// room reports whether the table may take a record of the node.
func (m *Members) room(id model.NodeID) bool {
	return m.Table.Len() < maxRecords || m.Table.Row(id) != nil
}

// fromAgent takes records that an agent sent, and counts those for which there is no room.
func (m *Members) fromAgent(now time.Time, records []model.Record) (material bool, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		if !m.room(rec.ID) {
			refused++
			continue
		}
		material = m.Table.Merge(now, rec) == member.Material || material
		m.Relay.Direct(now, rec.ID)
	}
	return material, refused
}

// fromEntry takes records and losses of a region that an entry of the region sender sent, and counts the records for which there is no room.
func (m *Members) fromEntry(now time.Time, sender, region model.Region, records []model.Record, lost []member.Loss) (refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Table.Heard(now, sender)
	for _, rec := range records {
		if !m.room(rec.ID) {
			refused++
			continue
		}
		m.Table.Merge(now, rec)
		switch {
		case region == m.Table.Region:
			m.Relay.Relayed(now, rec.ID)
		case sender == region:
			if m.gate == nil {
				m.gate = map[model.NodeID]bool{}
			}
			m.gate[rec.ID] = true
		}
	}
	for _, loss := range lost {
		m.Table.Report(now, region, loss)
	}
	return refused
}

// tick expires records and returns what to send. others holds the addresses of the linked entries of the region.
func (m *Members) tick(now time.Time, others []string) (near, far []model.Record, lost []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost = m.Table.Expire(now)
	m.Relay.Lost(lost)
	m.Router.Table, m.Router.Entries = &m.Table, len(others)+1
	m.Router.Forget()
	near, far = m.Relay.Forward(now, &m.Table, others)
	return near, far, lost
}

// told returns what an entry of another region has to be told when its link is opened.
func (m *Members) told() ([]model.Record, []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Relay.Told(&m.Table), m.Table.Losses()
}

// own returns the live records of the own region.
func (m *Members) own(now time.Time) []model.Record {
	return slices.DeleteFunc(m.Records(now), func(r model.Record) bool { return r.Region != m.Table.Region })
}

// gated returns the records of other regions that were sent to this entry as their gate, and their losses, by region.
func (m *Members) gated() map[model.Region]passed {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[model.Region]passed{}
	for id := range m.gate {
		row := m.Table.Row(id)
		if row == nil {
			delete(m.gate, id)
			continue
		}
		all := out[row.Record.Region]
		all.records = append(all.records, row.Record)
		if loss, ok := row.Loss(); ok {
			all.lost = append(all.lost, loss)
		}
		out[row.Record.Region] = all
	}
	return out
}

// gatedLosses returns the losses of records that were sent to this entry as their gate.
func (m *Members) gatedLosses(lost []member.Loss) (out []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, loss := range lost {
		if m.gate[loss.ID] {
			out = append(out, loss)
		}
	}
	return out
}

// Len returns the number of known records.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Len()
}
