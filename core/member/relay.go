package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/model"
)

const (
	// relayWait is how long an entry of second rank waits for the first one to forward a record;
	// each further rank waits rankWait longer. All ranks act within DefaultSilence.
	relayWait = 1500 * time.Millisecond
	rankWait  = 500 * time.Millisecond
)

// Rank orders entries for a node; the node links to the entries with the highest ranks.
func Rank(id model.NodeID, address string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + address)
}

// material is the part of a record that other regions are told.
type material struct {
	incarnation model.Incarnation
	state       model.State
	address     string
	revision    model.Revision
}

// source is what an entry knows of a record that its agent sends to it.
type source struct {
	direct  time.Time // when the agent last sent it
	relayed time.Time // when another entry last forwarded it, or the agent's first record
	sent    uint64    // sequence that was last forwarded within the region
	told    material  // what other regions were told
}

// Relay decides which records an entry forwards. The agent announces itself to three entries.
// The one with the highest rank forwards the record; the others do it if they hear it from no
// other entry, because the agent may not reach the entry of the highest rank. It is not safe
// for concurrent use.
type Relay struct {
	// Address is the entry's own address for links.
	Address string

	sources map[model.NodeID]*source
	// lost holds the records that this entry reported as lost and has to correct itself.
	lost map[model.NodeID]bool
}

// Direct notes a record that its agent sent.
func (r *Relay) Direct(now time.Time, id model.NodeID) {
	if r.sources == nil {
		r.sources = map[model.NodeID]*source{}
	}
	s := r.sources[id]
	if s == nil {
		s = &source{relayed: now}
		r.sources[id] = s
	}
	s.direct = now
}

// Relayed notes a record that another entry of the region forwarded.
func (r *Relay) Relayed(now time.Time, id model.NodeID) {
	if s := r.sources[id]; s != nil {
		s.relayed = now
	}
}

// Lost notes losses that this entry reports to other regions.
func (r *Relay) Lost(losses []Loss) {
	for _, loss := range losses {
		if r.lost == nil {
			r.lost = map[model.NodeID]bool{}
		}
		r.lost[loss.ID] = true
	}
}

// Told returns the records that this entry forwards to other regions, for a link to one of
// them that was just opened.
func (r *Relay) Told(t *Table) []model.Record {
	var out []model.Record
	for id, s := range r.sources {
		if row := t.Row(id); row != nil && s.told != (material{}) {
			out = append(out, row.Record)
		}
	}
	return out
}

// Forward returns the records to send to the entries of the region and to those of other
// regions. others holds the addresses of the live entries of the region without the own one.
func (r *Relay) Forward(now time.Time, t *Table, others []string) (near, far []model.Record) {
	for id, s := range r.sources {
		row := t.Row(id)
		if row == nil || now.Sub(s.direct) > DefaultSilence {
			delete(r.sources, id)
			continue
		}
		rank := r.rank(id, others)
		if rank > 0 && now.Sub(s.relayed) < relayWait+time.Duration(rank-1)*rankWait {
			continue
		}
		rec := row.Record
		if rec.Sequence != s.sent {
			s.sent = rec.Sequence
			near = append(near, rec)
		}
		if m := (material{rec.Incarnation, rec.State, rec.Address, rec.Revision}); m != s.told {
			s.told = m
			far = append(far, rec)
			delete(r.lost, id)
		}
	}
	for id := range r.lost {
		row := t.Row(id)
		switch {
		case row == nil:
			delete(r.lost, id)
		case !row.Lost:
			delete(r.lost, id)
			far = append(far, row.Record)
		}
	}
	return near, far
}

// rank returns the number of other entries that come before this one for the node.
func (r *Relay) rank(id model.NodeID, others []string) int {
	own, n := Rank(id, r.Address), 0
	for _, address := range others {
		if Rank(id, address) > own {
			n++
		}
	}
	return n
}
