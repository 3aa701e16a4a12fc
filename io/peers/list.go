package peers

import (
	"time"

	"wagtailhoist/core/model"
)

// Records returns the records of agents that were heard from recently enough at now, in any state.
func (m *Members) Records(now time.Time) []model.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Table.Records(now)
}
