package peers

import (
	"time"

	"wagtailhoist/io/link"
)

// syncLimit bounds the wait of a new entry for the records of the others. It is the silence
// after which a record is no candidate, so every live agent was heard by then if it can be.
const syncLimit = 3 * time.Second

// Synced reports whether the entry knows the agents well enough to take requests: each entry that
// the store lists has sent its records, and at least one agent is known, or the entry has run for
// 3 s. An entry that takes requests earlier refuses them, because it knows no agent. Once true,
// the answer stays true.
func (p *Peers) Synced(now time.Time) bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.synced || p.begun.IsZero() {
		return p.synced
	}
	known := len(p.Members.Records(now)) > 0
	p.synced = now.Sub(p.begun) >= syncLimit || known && p.allSynced()
	return p.synced
}

// allSynced reports whether all entries that are linked or listed have sent their records; the caller holds the lock.
func (p *Peers) allSynced() bool {
	if p.Store != nil && p.storedAt.IsZero() || p.Store == nil && len(p.Join) > 0 && len(p.entries) == 0 {
		return false
	}
	for _, e := range p.stored {
		if p.entries[e.ID] == nil && e.ID != p.Settings.Self.Node {
			return false
		}
	}
	for _, w := range p.entries {
		if !w.synced {
			return false
		}
	}
	return true
}

// sendRecords sends a peer what this entry knows of the agents, so that a new entry needs no second
// to hear of them. The frame is sent even if it is empty, because the peer waits for it.
func (p *Peers) sendRecords(w *wire) {
	if w.link.Peer().Region != p.Settings.Self.Region {
		_, lost := p.Members.told()
		w.send(link.Announce{})
		announce([]*wire{w}, nil, lost, "")
		p.hurry() // the tick sends the records if the entry is the gate
		return
	}
	records := p.Members.own(time.Now())
	if len(records) == 0 {
		w.send(link.Announce{})
	}
	announce([]*wire{w}, records, nil, "")
	p.sendFar(w)
}

// markSynced notes that an entry has sent its records.
func (p *Peers) markSynced(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.entries[l.Peer().Node]; w != nil && w.link == l {
		w.synced = true
	}
}
