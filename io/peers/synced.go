package peers

import (
	"time"

	"wagtailhoist/io/link"
)

// syncTimeout bounds the wait of a new entry for the records of others. It equals the silence after which
// a record is no candidate, so by then every live agent that can be heard has been heard.
const syncTimeout = 3 * time.Second

// HasInitialRecords reports whether the entry has enough records of agents to accept requests: each entry listed in
// the store has sent its records and at least one agent is known, or the entry has run for 3 s. An entry
// that accepts requests earlier refuses them, because it knows no agent. Once true, the result stays true.
func (p *Peers) HasInitialRecords(now time.Time) bool {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.synced || p.startedAt.IsZero() {
		return p.synced
	}
	known := len(p.Members.Records(now)) > 0
	p.synced = now.Sub(p.startedAt) >= syncTimeout || known && p.allSynced()
	return p.synced
}

// allSynced reports whether all linked or listed entries have sent their records. The caller holds the
// lock.
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
		if !w.recordsReceived {
			return false
		}
	}
	return true
}

// sendInitialRecords sends a newly linked entry the records of this entry, so that a new entry need not
// wait up to a second for them. An empty Announce is sent if there are none, because the peer waits for
// one.
func (p *Peers) sendInitialRecords(w *queuedLink) {
	if w.link.Peer().Region != p.Settings.Self.Region {
		_, lost := p.Members.remoteRecords()
		w.enqueue(link.Announce{})
		announce([]*queuedLink{w}, nil, lost, "")
		p.requestTick() // the tick sends the records if the peer is the gateway
		return
	}
	records := p.Members.ownRegionRecords(time.Now())
	if len(records) == 0 {
		w.enqueue(link.Announce{})
	}
	announce([]*queuedLink{w}, records, nil, "")
	p.sendRelayed(w)
}

// markSynced records that the entry at the other end of the link has sent its records.
func (p *Peers) markSynced(l *link.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.entries[l.Peer().Node]; w != nil && w.link == l {
		w.recordsReceived = true
	}
}
