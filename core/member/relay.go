package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/model"
)

const (
	// secondRankDelay is how long the entry of second rank waits for the first one to forward a record; each further rank
	// waits nextRankDelay longer. All three ranks forward before DefaultSilenceTimeout has passed.
	secondRankDelay = 1500 * time.Millisecond
	nextRankDelay   = 500 * time.Millisecond
)

// RendezvousHash returns the rendezvous hash of a node and an entry. The entries with the highest hashes are those that the node links
// to; the one with the highest hash has the first rank.
func RendezvousHash(id model.NodeID, address string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + address)
}

// remoteFields holds the fields of a record whose change is forwarded to other regions.
type remoteFields struct {
	incarnation model.Incarnation
	state       model.State
	address     string
	revision    model.Revision
}

// source is the state of forwarding the records of an agent that announces itself to this entry.
type source struct {
	announcedAt  time.Time    // when the agent last announced itself
	forwardedAt  time.Time    // when another entry last forwarded a record, or the agent first announced itself
	sentSequence uint64       // sequence of the record that was last forwarded within the region
	sentRemote   remoteFields // fields that were last forwarded to other regions
}

// Relay decides which records an entry forwards. An agent announces itself to three entries. The entry of first rank forwards
// its records. The others do so if no other entry has forwarded them for a while, because the agent may not reach the entry
// of first rank. A Relay is not safe for concurrent use.
type Relay struct {
	// Address is the entry's own address for links.
	Address string

	sources map[model.NodeID]*source
	// reportedLost holds the agents that this entry reported as lost. It forwards their records again when they return.
	reportedLost map[model.NodeID]bool
}

// RecordAnnouncement records that an agent announced itself to this entry.
func (r *Relay) RecordAnnouncement(now time.Time, id model.NodeID) {
	if r.sources == nil {
		r.sources = map[model.NodeID]*source{}
	}
	s := r.sources[id]
	if s == nil {
		s = &source{forwardedAt: now}
		r.sources[id] = s
	}
	s.announcedAt = now
}

// RecordForwarding records that another entry of the region forwarded a record of the agent.
func (r *Relay) RecordForwarding(now time.Time, id model.NodeID) {
	if s := r.sources[id]; s != nil {
		s.forwardedAt = now
	}
}

// RecordLosses records losses that this entry reports to other regions.
func (r *Relay) RecordLosses(losses []Loss) {
	for _, loss := range losses {
		if r.reportedLost == nil {
			r.reportedLost = map[model.NodeID]bool{}
		}
		r.reportedLost[loss.ID] = true
	}
}

// RemoteRecords returns the current records of those agents whose records this entry has forwarded to other regions. They are sent
// over a new link to another region.
func (r *Relay) RemoteRecords(t *Table) []model.Record {
	var out []model.Record
	for id, s := range r.sources {
		if row := t.Row(id); row != nil && s.sentRemote != (remoteFields{}) {
			out = append(out, row.Record)
		}
	}
	return out
}

// Forward returns the records to send to the other entries of the region and to entries of other regions. otherAddresses holds
// the addresses of the other live entries of the region.
func (r *Relay) Forward(now time.Time, t *Table, otherAddresses []string) (local, remote []model.Record) {
	for id, s := range r.sources {
		row := t.Row(id)
		if row == nil || now.Sub(s.announcedAt) > DefaultSilenceTimeout {
			delete(r.sources, id)
			continue
		}
		rank := r.rank(id, otherAddresses)
		if rank > 0 && now.Sub(s.forwardedAt) < secondRankDelay+time.Duration(rank-1)*nextRankDelay {
			continue
		}
		rec := row.Record
		if rec.Sequence != s.sentSequence {
			s.sentSequence = rec.Sequence
			local = append(local, rec)
		}
		if m := (remoteFields{rec.Incarnation, rec.State, rec.Address, rec.Revision}); m != s.sentRemote {
			s.sentRemote = m
			remote = append(remote, rec)
			delete(r.reportedLost, id)
		}
	}
	for id := range r.reportedLost {
		row := t.Row(id)
		switch {
		case row == nil:
			delete(r.reportedLost, id)
		case !row.Lost:
			delete(r.reportedLost, id)
			remote = append(remote, row.Record)
		}
	}
	return local, remote
}

// rank returns the number of other entries that rank before this one for the node.
func (r *Relay) rank(id model.NodeID, otherAddresses []string) int {
	ownHash, before := RendezvousHash(id, r.Address), 0
	for _, address := range otherAddresses {
		if RendezvousHash(id, address) > ownHash {
			before++
		}
	}
	return before
}
