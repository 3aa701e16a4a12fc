package peers

import (
	"time"

	"wagtailhoist/core/model"
)

// Records returns the records of the agents that are heard of at now, whatever their state.
func (m *Members) Records(now time.Time) []model.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Records(now)
}
