package peers

import (
	"sync"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/core/route"
)

// Members joins the membership table and the router of an entry under one lock; it is safe
// for concurrent use. The fields are set before the first call.
type Members struct {
	Table  member.Table
	Router route.Router

	mu sync.Mutex
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

// Merge takes a record as member.Table.Merge does.
func (m *Members) Merge(now time.Time, rec model.Record) member.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Merge(now, rec)
}
