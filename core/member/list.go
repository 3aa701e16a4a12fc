package member

import (
	"time"

	"wagtailhoist/core/model"
)

// Records returns the records that are neither lost nor silent at now, in any state.
func (t *Table) Records(now time.Time) []model.Record {
	out := make([]model.Record, 0, len(t.rows))
	for _, row := range t.rows {
		if !row.Lost && now.Sub(t.lastHeard(row)) <= t.silenceTimeout() {
			out = append(out, row.Record)
		}
	}
	return out
}
