package peers

import (
	"slices"
	"sync"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/core/route"
)

// Members combines the membership table, the router and the relay of an entry under one lock. It is safe
// for concurrent use. The exported fields are set before the first call.
type Members struct {
	Table  member.Table
	Router route.Router
	Relay  member.Relay

	mu sync.Mutex
	// viaGateway contains the agents of other regions whose records this entry received as gateway.
	viaGateway map[model.NodeID]bool
}

// Pick chooses an agent for a request, see route.Router.Pick.
func (m *Members) Pick(now time.Time, r route.Request) (model.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Table = &m.Table
	return m.Router.Pick(now, r)
}

// Report records the result of an attempt at an agent, see route.Router.Report.
func (m *Members) Report(now time.Time, id model.NodeID, result route.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Table = &m.Table
	m.Router.Report(now, id, result)
}

// Suspect records that an agent is silent, see route.Router.Suspect.
func (m *Members) Suspect(now time.Time, id model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.Suspect(now, id)
}

// SetEvacuated replaces the evacuated data centres, see route.Router.SetEvacuated.
func (m *Members) SetEvacuated(centres []model.Centre) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Router.SetEvacuated(centres)
}

// Candidates returns the records of a service's agents that may get new work.
func (m *Members) Candidates(now time.Time, service string) []model.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(m.Table.Candidates(now, service), func(r model.Record) bool { return m.Router.Evacuated(r.Centre) })
}

// Slots returns the number of slots of the live agents of the own region that may get new work.
func (m *Members) Slots(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Slots(now, m.Router.Evacuated)
}

// hasRoom reports whether a record of the node is in the table or may be added.
func (m *Members) hasRoom(id model.NodeID) bool {
	return m.Table.Len() < maxRecords || m.Table.Row(id) != nil
}

// mergeFromAgent merges records that an agent sent. It reports whether a material part of a record
// changed, and the number of records refused because the table is full.
func (m *Members) mergeFromAgent(now time.Time, records []model.Record) (material bool, refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rec := range records {
		if !m.hasRoom(rec.ID) {
			refused++
			continue
		}
		material = m.Table.Merge(now, rec) == member.Material || material
		m.Relay.RecordAnnouncement(now, rec.ID)
	}
	return material, refused
}

// mergeFromEntry merges records and losses of region that an entry of the region sender sent. It returns
// the number of records refused because the table is full.
func (m *Members) mergeFromEntry(now time.Time, sender, region model.Region, records []model.Record, lost []member.Loss) (refused int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Table.MarkRegionHeard(now, sender)
	merged := false
	for _, rec := range records {
		if !m.hasRoom(rec.ID) {
			refused++
			continue
		}
		merged = true
		m.Table.Merge(now, rec)
		switch {
		case region == m.Table.Region:
			m.Relay.RecordForwarding(now, rec.ID)
		case sender == region:
			if m.viaGateway == nil {
				m.viaGateway = map[model.NodeID]bool{}
			}
			m.viaGateway[rec.ID] = true
		}
	}
	if sender != region {
		m.Table.MarkRegionRelayed(now, region, merged)
	}
	for _, loss := range lost {
		m.Table.MarkLost(now, region, loss)
	}
	return refused
}

// tick expires records and returns the records to send to entries of the own region and of others, and the
// losses. others holds the addresses of the linked entries of the own region.
func (m *Members) tick(now time.Time, others []string) (near, far []model.Record, lost []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost = m.Table.Expire(now)
	m.Relay.RecordLosses(lost)
	m.Router.Table, m.Router.Entries = &m.Table, len(others)+1
	m.Router.Prune()
	near, far = m.Relay.Forward(now, &m.Table, others)
	return near, far, lost
}

// remoteRecords returns all records and losses that this entry sends to other regions: both to a new
// gateway, only the losses to any other newly linked entry.
func (m *Members) remoteRecords() ([]model.Record, []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Relay.RemoteRecords(&m.Table), m.Table.Losses()
}

// ownRegionRecords returns the live records of the own region.
func (m *Members) ownRegionRecords(now time.Time) []model.Record {
	return slices.DeleteFunc(m.Records(now), func(r model.Record) bool { return r.Region != m.Table.Region })
}

// gatewayRecords returns the records of other regions that this entry received as gateway, and their
// losses, by region.
func (m *Members) gatewayRecords() map[model.Region]relayed {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[model.Region]relayed{}
	for id := range m.viaGateway {
		row := m.Table.Row(id)
		if row == nil {
			delete(m.viaGateway, id)
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

// gatewayLosses returns those of the given losses whose records this entry received as gateway.
func (m *Members) gatewayLosses(lost []member.Loss) (out []member.Loss) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, loss := range lost {
		if m.viaGateway[loss.ID] {
			out = append(out, loss)
		}
	}
	return out
}

// Len returns the number of records in the table.
func (m *Members) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Len()
}
