package member

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// DefaultSilence is the time after which a record or a region that was not heard of is no candidate.
	DefaultSilence = 3 * time.Second
	// forgetAfter is how long a lost or gone record is kept after it was last heard of, so that a
	// delayed copy of an earlier record can't bring it back.
	forgetAfter = time.Minute
	// pauseGap is the time between two calls of Expire after which the process counts as paused.
	pauseGap = 2 * time.Second
)

// Change says how a merged record differs from the one that it replaced.
type Change uint8

// Changes of a record.
const (
	// Stale records are not newer than the known one and were dropped.
	Stale Change = iota
	// Load means that only load or sequence differ; other regions are not told.
	Load
	// Material means a new or returned record, or another incarnation, state, address or revision.
	Material
)

// Loss reports that the entries of the record's region hear it no longer.
type Loss struct {
	ID          model.NodeID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
}

func (l Loss) covers(r *model.Record) bool {
	return !r.Newer(model.Record{Incarnation: l.Incarnation, Sequence: l.Sequence})
}

// Row is a record with what is known of its liveness.
type Row struct {
	Record model.Record
	// Heard is when a newer record last arrived.
	Heard time.Time
	// Lost is set while a loss report covers the record.
	Lost bool

	loss Loss
	// since is when a report of another region said that the record is lost.
	since time.Time
	slot  slot
}

// Loss returns the loss report that covers the record, if there is one.
func (r *Row) Loss() (Loss, bool) { return r.loss, r.Lost }

// slot is the place of a row in the index by service and nearness.
type slot struct {
	key   poolKey
	index int
}

type poolKey struct {
	service string
	near    Nearness
}

// Nearness orders candidates by the cost of the way to them.
type Nearness uint8

// Nearnesses, nearest first.
const (
	OwnCentre Nearness = iota
	OwnRegion
	OtherRegion
)

// Table holds the records that an entry knows; it is not safe for concurrent use.
type Table struct {
	// Region and Centre are those of the entry that holds the table.
	Region model.Region
	Centre model.Centre
	// Silence replaces DefaultSilence when it is not 0.
	Silence time.Duration

	rows    map[model.NodeID]*Row
	pools   map[poolKey][]*Row
	regions map[model.Region]time.Time
	expired time.Time
	// awake is when the process last started or resumed, slept when it was last known to run before a pause.
	awake, slept time.Time
}

// Merge takes a record that its agent or another entry sent and says what it changed.
func (t *Table) Merge(now time.Time, rec model.Record) Change {
	if t.rows == nil {
		t.rows = map[model.NodeID]*Row{}
		t.pools = map[poolKey][]*Row{}
	}
	row, ok := t.rows[rec.ID]
	if !ok {
		row = &Row{Record: rec, Heard: now}
		t.rows[rec.ID] = row
		t.index(row)
		return Material
	}
	old := row.Record
	if !rec.Newer(old) {
		return Stale
	}
	moved := rec.Service != old.Service || rec.Region != old.Region || rec.Centre != old.Centre
	if moved {
		t.unindex(row)
	}
	row.Record, row.Heard = rec, now
	if moved {
		t.index(row)
	}
	returned := row.Lost && !row.loss.covers(&row.Record)
	if returned {
		row.Lost = false
	}
	if moved || returned || rec.Incarnation != old.Incarnation || rec.State != old.State ||
		rec.Address != old.Address || rec.Revision != old.Revision {
		return Material
	}
	return Load
}

// Heard notes that a link to an entry of the region was heard of; that entry vouches for the
// region's records.
func (t *Table) Heard(now time.Time, region model.Region) {
	if t.regions == nil {
		t.regions = map[model.Region]time.Time{}
	}
	if now.After(t.regions[region]) {
		t.regions[region] = now
	}
}

// Report takes a loss report of an entry of the region; reports about records of the own
// region are ignored, because the own table hears those records itself.
func (t *Table) Report(now time.Time, region model.Region, loss Loss) {
	row, ok := t.rows[loss.ID]
	if !ok || region == t.Region || row.Record.Region != region || !loss.covers(&row.Record) {
		return
	}
	row.Lost, row.loss, row.since = true, loss, now
}

// Live reports whether the row is a candidate at now.
func (t *Table) Live(now time.Time, row *Row) bool {
	if row.Record.State != model.Ready || row.Lost {
		return false
	}
	heard := t.heard(row)
	return now.Sub(heard) <= t.silence() || t.resumed(now, heard)
}

// resumed reports whether a record that was live when the process was paused is still to be used. Until
// the agents have linked again, about a second, the entry knows none by its own hearing. An agent that
// has gone meanwhile costs a failed dial, another process there refuses the attempt or doesn't have the
// node's name, and requests past their deadline are not sent.
func (t *Table) resumed(now, heard time.Time) bool {
	slept := t.slept
	if !t.expired.IsZero() && now.Sub(t.expired) > pauseGap {
		slept = t.expired // Expire has not been called since the pause
	} else if slept.IsZero() || now.Sub(t.awake) > t.silence() {
		return false
	}
	return slept.Sub(heard) <= t.silence() && now.Sub(heard) <= forgetAfter
}

// heard returns when the row was last vouched for.
func (t *Table) heard(row *Row) time.Time {
	if row.Record.Region == t.Region {
		return row.Heard
	}
	return t.regions[row.Record.Region]
}

// Candidates returns the records of the service that may get new work at now, nearest first.
func (t *Table) Candidates(now time.Time, service string) []model.Record {
	var out []model.Record
	for near := OwnCentre; near <= OtherRegion; near++ {
		for _, row := range t.Pool(service, near) {
			if t.Live(now, row) {
				out = append(out, row.Record)
			}
		}
	}
	return out
}

// Pool returns all rows of the service at one nearness, live or not; the caller must not change it.
func (t *Table) Pool(service string, near Nearness) []*Row {
	return t.pools[poolKey{service, near}]
}

// Row returns the row of a node, or nil.
func (t *Table) Row(id model.NodeID) *Row { return t.rows[id] }

// Slots returns the number of slots of the live agents of the own region.
func (t *Table) Slots(now time.Time) int {
	n := 0
	for key, pool := range t.pools {
		for _, row := range pool {
			if key.near != OtherRegion && t.Live(now, row) {
				n += row.Record.Load.Slots
			}
		}
	}
	return n
}

// Losses returns the losses of the own region that are still known, for a peer that has just linked.
func (t *Table) Losses() []Loss {
	var out []Loss
	for _, row := range t.rows {
		if row.Record.Region == t.Region && row.Lost {
			out = append(out, row.loss)
		}
	}
	return out
}

// Len returns the number of known records.
func (t *Table) Len() int { return len(t.rows) }

// Expire returns the losses of the own region to be reported to other regions, and forgets
// records that have been lost or gone for long. It is called about once a second: after a
// longer gap the process was paused, and its table says nothing about the agents until it
// has listened again for the time of silence.
func (t *Table) Expire(now time.Time) []Loss {
	if t.expired.IsZero() || now.Sub(t.expired) > pauseGap {
		t.awake, t.slept = now, t.expired
	}
	t.expired = now
	settled := now.Sub(t.awake) > t.silence()
	var lost []Loss
	for id, row := range t.rows {
		quiet := now.Sub(t.heard(row))
		own := row.Record.Region == t.Region
		switch {
		case quiet > forgetAfter, !own && t.ended(now, row):
			t.unindex(row)
			delete(t.rows, id)
		case own && settled && !row.Lost && quiet > t.silence():
			row.Lost = true
			row.loss = Loss{ID: id, Incarnation: row.Record.Incarnation, Sequence: row.Record.Sequence}
			if row.Record.State != model.Gone {
				lost = append(lost, row.loss)
			}
		}
	}
	return lost
}

// ended reports whether a record of another region has been lost or gone for long.
func (t *Table) ended(now time.Time, row *Row) bool {
	switch {
	case row.Lost:
		return now.Sub(row.since) > forgetAfter
	case row.Record.State == model.Gone:
		return now.Sub(row.Heard) > forgetAfter
	}
	return false
}

func (t *Table) silence() time.Duration {
	if t.Silence != 0 {
		return t.Silence
	}
	return DefaultSilence
}

func (t *Table) index(row *Row) {
	key := poolKey{row.Record.Service, OtherRegion}
	if row.Record.Region == t.Region {
		key.near = OwnRegion
		if row.Record.Centre == t.Centre {
			key.near = OwnCentre
		}
	}
	row.slot = slot{key, len(t.pools[key])}
	t.pools[key] = append(t.pools[key], row)
}

func (t *Table) unindex(row *Row) {
	key, pool := row.slot.key, t.pools[row.slot.key]
	last := pool[len(pool)-1]
	pool[row.slot.index] = last
	last.slot.index = row.slot.index
	pool[len(pool)-1] = nil
	t.pools[key] = pool[:len(pool)-1]
	if len(pool) == 1 {
		delete(t.pools, key) // services are named by others, so empty pools could grow without bound
	}
}
