package peers

import (
	"time"

	"wagtailhoist/io/link"
)

// warmLimit bounds the wait of a new entry for the records of the others. It is the silence
// after which a record is no candidate, so every live agent was heard by then if it can be.
const warmLimit = 3 * time.Second

// Warm reports whether the entry knows the agents well enough to take requests: each entry that
// the store lists has sent its records, and at least one agent is known, or the entry has run for
// 3 s. An entry that takes requests earlier refuses them, because it knows no agent. Once true,
// the answer stays true.
func (p *Peers) Warm(now time.Time) bool {
	p.init()
	known := len(p.Members.Records(now)) > 0
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warm || p.begun.IsZero() {
		return p.warm
	}
	p.warm = now.Sub(p.begun) >= warmLimit || known && p.told()
	return p.warm
}

// told reports whether all entries that are linked or listed have sent their records; the caller holds the lock.
func (p *Peers) told() bool {
	if p.Store != nil && p.storedAt.IsZero() || p.Store == nil && len(p.Join) > 0 && len(p.entries) == 0 {
		return false
	}
	for _, e := range p.stored {
		if p.entries[e.ID] == nil && e.ID != p.Settings.Self.Node {
			return false
		}
	}
	for _, w := range p.entries {
		if !w.told {
			return false
		}
	}
	return true
}

// greet sends a peer what this entry knows of the agents, so that a new entry needs no second
// to hear of them. The frame is sent even if it is empty, because the peer waits for it.
func (p *Peers) greet(w *wire) {
	records, lost := p.Members.told()
	if w.link.Peer().Region == p.Settings.Self.Region {
		records, lost = p.Members.own(time.Now()), nil
	}
	if len(records)+len(lost) == 0 {
		w.send(link.Announce{})
	}
	announce([]*wire{w}, records, lost)
}

// greeted notes that an entry has sent its records.
func (p *Peers) greeted(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.entries[l.Peer().Node]; w != nil && w.link == l {
		w.told = true
	}
}
