package member

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// DefaultSilenceTimeout is how long an agent of the own region counts as live after its last announcement, and the agents
	// of another region after the last message from its entries.
	DefaultSilenceTimeout = 3 * time.Second
	// forgetAfter is how long the record of a lost or stopped agent is kept, so that a delayed copy of an earlier record
	// can't add the agent again.
	forgetAfter = time.Minute
	// pauseGap is the time between two calls of Expire that shows that the process was paused in between.
	pauseGap = 2 * time.Second
)

// Change says how a merged record differs from the one in the table.
type Change uint8

// Changes by a merged record.
const (
	// Stale records are not newer than the one in the table and were ignored.
	Stale Change = iota
	// LoadOnly means that only load or sequence differ, which is not forwarded to other regions.
	LoadOnly
	// Material means that the agent is new or returned after a loss, or has another service, place, incarnation, state,
	// address or revision.
	Material
)

// Loss reports that an agent is lost: an entry of its region no longer receives its announcements. It covers the agent's
// records up to the incarnation and sequence.
type Loss struct {
	ID          model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
}

// covers reports whether the record is not newer than the loss.
func (l Loss) covers(r *model.Record) bool {
	return !r.Newer(model.Record{Incarnation: l.Incarnation, Sequence: l.Sequence})
}

// Row is a record in the table with the liveness of its agent.
type Row struct {
	Record model.Record
	// HeardAt is when the record arrived.
	HeardAt time.Time
	// Lost is set while a loss covers the record.
	Lost bool

	loss Loss
	// reportedLostAt is when an entry of another region reported the loss.
	reportedLostAt time.Time
	poolPosition   poolPosition
}

// Loss returns the loss that covers the record, and whether there is one.
func (r *Row) Loss() (Loss, bool) { return r.loss, r.Lost }

// poolPosition is the position of a row in its pool.
type poolPosition struct {
	key   poolKey
	index int
}

// poolKey identifies a pool: the rows of one service at one nearness.
type poolKey struct {
	service  string
	nearness Nearness
}

// Nearness orders candidates by the cost of the network path to them.
type Nearness uint8

// Nearnesses, nearest first.
const (
	OwnCentre Nearness = iota
	OwnRegion
	OtherRegion
)

// Table holds the latest record of each agent that an entry has received; it is not safe for concurrent use.
type Table struct {
	// Region and Centre are those of the entry that holds the table.
	Region model.Region
	Centre model.Centre
	// SilenceTimeout replaces DefaultSilenceTimeout if it is not 0.
	SilenceTimeout time.Duration

	rows  map[model.NodeID]*Row
	pools map[poolKey][]*Row
	// regionHeardAt is when an entry of each other region last sent a message.
	regionHeardAt map[model.Region]time.Time
	// regionRelayedAt is when an entry of the own region last relayed a message of each other region.
	regionRelayedAt map[model.Region]time.Time
	// lastExpire is when Expire was last called.
	lastExpire time.Time
	// resumedAt is when the process last started or resumed; pausedAt is when it was last known to run before that.
	resumedAt, pausedAt time.Time
}

// Merge adds a record from its agent or another entry, if it is newer than the one in the table, and returns what it changes.
func (t *Table) Merge(now time.Time, rec model.Record) Change {
	if t.rows == nil {
		t.rows = map[model.NodeID]*Row{}
		t.pools = map[poolKey][]*Row{}
	}
	row, ok := t.rows[rec.ID]
	if !ok {
		row = &Row{Record: rec, HeardAt: now}
		t.rows[rec.ID] = row
		t.addToPool(row)
		return Material
	}
	old := row.Record
	if !rec.Newer(old) {
		return Stale
	}
	moved := rec.Service != old.Service || rec.Region != old.Region || rec.Centre != old.Centre
	if moved {
		t.removeFromPool(row)
	}
	row.Record, row.HeardAt = rec, now
	if moved {
		t.addToPool(row)
	}
	returned := row.Lost && !row.loss.covers(&row.Record)
	if returned {
		row.Lost = false
	}
	if moved || returned || rec.Incarnation != old.Incarnation || rec.State != old.State ||
		rec.Address != old.Address || rec.Revision != old.Revision {
		return Material
	}
	return LoadOnly
}

// MarkRegionHeard records that an entry of another region sent a message. The records of a region count as live while its entries send
// messages, because they are forwarded between regions only on material changes and losses.
func (t *Table) MarkRegionHeard(now time.Time, region model.Region) {
	if t.regionHeardAt == nil {
		t.regionHeardAt = map[model.Region]time.Time{}
	}
	if now.After(t.regionHeardAt[region]) {
		t.regionHeardAt[region] = now
	}
}

// MarkRegionRelayed records that an entry of the own region relayed a message of another region, with or without records. The
// records of that region are kept while it does so, because they are not sent again when this entry hears the region itself.
// They don't count as live by it. A message without records counts only if records were relayed before, which bounds the
// number of regions by that of the records.
func (t *Table) MarkRegionRelayed(now time.Time, region model.Region, records bool) {
	at, known := t.regionRelayedAt[region]
	if region == t.Region || !known && !records {
		return
	}
	if t.regionRelayedAt == nil {
		t.regionRelayedAt = map[model.Region]time.Time{}
	}
	if now.After(at) {
		t.regionRelayedAt[region] = now
	}
}

// MarkLost marks a record as lost that an entry of the region reported as lost. Reports about records of other regions than the
// reporting one are ignored, and so are those about the own region, whose announcements this table receives.
func (t *Table) MarkLost(now time.Time, region model.Region, loss Loss) {
	row, ok := t.rows[loss.ID]
	if !ok || region == t.Region || row.Record.Region != region || !loss.covers(&row.Record) {
		return
	}
	row.Lost, row.loss, row.reportedLostAt = true, loss, now
}

// Live reports whether the agent of the row may get new work at now.
func (t *Table) Live(now time.Time, row *Row) bool {
	if row.Record.State != model.Ready || row.Lost {
		return false
	}
	lastHeard := t.lastHeard(row)
	return now.Sub(lastHeard) <= t.silenceTimeout() || t.usableAfterPause(now, lastHeard)
}

// usableAfterPause reports whether a record is used because it was live when the process was paused. The agents take about a
// second to link and announce themselves again, during which there would be no candidates. Using an agent that stopped during
// the pause is harmless: the dial fails, or another process at its address refuses the attempt or has another node ID, and
// requests past their deadline are not sent.
func (t *Table) usableAfterPause(now, lastHeard time.Time) bool {
	pausedAt := t.pausedAt
	if !t.lastExpire.IsZero() && now.Sub(t.lastExpire) > pauseGap {
		pausedAt = t.lastExpire // Expire has not been called since the pause
	} else if pausedAt.IsZero() || now.Sub(t.resumedAt) > t.silenceTimeout() {
		return false
	}
	return pausedAt.Sub(lastHeard) <= t.silenceTimeout() && now.Sub(lastHeard) <= forgetAfter
}

// lastHeard returns when the record arrived or, for another region, when an entry of that region last sent a message.
func (t *Table) lastHeard(row *Row) time.Time {
	if row.Record.Region == t.Region {
		return row.HeardAt
	}
	return t.regionHeardAt[row.Record.Region]
}

// Candidates returns the records of the agents of the service that may get new work at now, nearest first.
func (t *Table) Candidates(now time.Time, service string) []model.Record {
	var out []model.Record
	for nearness := OwnCentre; nearness <= OtherRegion; nearness++ {
		for _, row := range t.Pool(service, nearness) {
			if t.Live(now, row) {
				out = append(out, row.Record)
			}
		}
	}
	return out
}

// Pool returns all rows of the service at one nearness, live or not. The caller must not change the slice.
func (t *Table) Pool(service string, nearness Nearness) []*Row {
	return t.pools[poolKey{service, nearness}]
}

// Row returns the row of a node, or nil.
func (t *Table) Row(id model.NodeID) *Row { return t.rows[id] }

// Slots returns the number of slots of the live agents of the own region, without those in excluded data centres.
func (t *Table) Slots(now time.Time, excluded func(model.Centre) bool) int {
	n := 0
	for key, pool := range t.pools {
		for _, row := range pool {
			if key.nearness != OtherRegion && !excluded(row.Record.Centre) && t.Live(now, row) {
				n += row.Record.Load.Slots
			}
		}
	}
	return n
}

// Losses returns the losses of agents of the own region, for an entry of another region that has just linked.
func (t *Table) Losses() []Loss {
	var out []Loss
	for _, row := range t.rows {
		if row.Record.Region == t.Region && row.Lost {
			out = append(out, row.loss)
		}
	}
	return out
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.rows) }

// Expire marks silent agents of the own region as lost and returns their losses, to be reported to other regions. It also
// removes records whose agents have been lost or stopped for long. It is called about once a second. A longer gap shows that
// the process was paused: it then marks no agent as lost until it has listened again for the silence timeout.
func (t *Table) Expire(now time.Time) []Loss {
	if t.lastExpire.IsZero() || now.Sub(t.lastExpire) > pauseGap {
		t.resumedAt, t.pausedAt = now, t.lastExpire
	}
	t.lastExpire = now
	listenedLongEnough := now.Sub(t.resumedAt) > t.silenceTimeout()
	for region, at := range t.regionRelayedAt {
		if now.Sub(at) > forgetAfter {
			delete(t.regionRelayedAt, region)
		}
	}
	var lost []Loss
	for id, row := range t.rows {
		silentFor := now.Sub(t.lastHeard(row))
		ownRegion := row.Record.Region == t.Region
		_, relayed := t.regionRelayedAt[row.Record.Region]
		switch {
		case silentFor > forgetAfter && !relayed, !ownRegion && t.endedLongAgo(now, row):
			t.removeFromPool(row)
			delete(t.rows, id)
		case ownRegion && listenedLongEnough && !row.Lost && silentFor > t.silenceTimeout():
			row.Lost = true
			row.loss = Loss{ID: id, Incarnation: row.Record.Incarnation, Sequence: row.Record.Sequence}
			if row.Record.State != model.Stopped {
				lost = append(lost, row.loss)
			}
		}
	}
	return lost
}

// endedLongAgo reports whether an agent of another region was reported lost or announced its stop more than forgetAfter ago.
func (t *Table) endedLongAgo(now time.Time, row *Row) bool {
	switch {
	case row.Lost:
		return now.Sub(row.reportedLostAt) > forgetAfter
	case row.Record.State == model.Stopped:
		return now.Sub(row.HeardAt) > forgetAfter
	}
	return false
}

func (t *Table) silenceTimeout() time.Duration {
	if t.SilenceTimeout != 0 {
		return t.SilenceTimeout
	}
	return DefaultSilenceTimeout
}

// addToPool adds the row to the pool of its service and nearness.
func (t *Table) addToPool(row *Row) {
	key := poolKey{row.Record.Service, OtherRegion}
	if row.Record.Region == t.Region {
		key.nearness = OwnRegion
		if row.Record.Centre == t.Centre {
			key.nearness = OwnCentre
		}
	}
	row.poolPosition = poolPosition{key, len(t.pools[key])}
	t.pools[key] = append(t.pools[key], row)
}

// removeFromPool removes the row from its pool by moving the last row to its position.
func (t *Table) removeFromPool(row *Row) {
	key, pool := row.poolPosition.key, t.pools[row.poolPosition.key]
	last := pool[len(pool)-1]
	pool[row.poolPosition.index] = last
	last.poolPosition.index = row.poolPosition.index
	pool[len(pool)-1] = nil
	t.pools[key] = pool[:len(pool)-1]
	if len(pool) == 1 {
		delete(t.pools, key) // Other processes choose the service names, so the number of empty pools would have no bound.
	}
}
