package peers

import (
	"slices"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Links between regions are billed by volume, so a record crosses to another region once: the
// entry that forwards it sends it to one entry there, its gate, which passes it on to the entries
// of its own region. Losses are few and go to all entries as well, so that a gate that can't
// reach an entry of its region doesn't keep a lost agent a candidate there; the gate passes them on
// too, because a direct one may arrive before the record.

// passed holds what other regions sent to this entry as their gate and what it passes on at the next tick.
type passed struct {
	records []model.Record
	lost    []member.Loss
}

// gates returns the link to the gate of each other region, and those that were chosen now and
// know nothing yet. A gate stays until its link ends, so that links which come and go cause no
// transfers; the next one is chosen by rank, which spreads the entries of a region over the gates.
// The caller holds the lock.
func (p *Peers) gates(far []*wire) (all, fresh []*wire) {
	best := map[model.Region]*wire{}
	rank := func(w *wire) uint64 { return member.Rank(p.Settings.Self.Node, w.link.Peer().Address) }
	for _, w := range far {
		region := w.link.Peer().Region
		switch b := best[region]; {
		case p.gate[region] == w, b == nil:
			best[region] = w
		case p.gate[region] != b && rank(w) > rank(b):
			best[region] = w
		}
	}
	for region, w := range best {
		all = append(all, w)
		if p.gate[region] != w {
			fresh = append(fresh, w)
		}
	}
	p.gate = best
	return all, fresh
}

// cross sends records and losses to other regions. A gate that was just chosen is told everything,
// because the last one may have ended before it passed on what it got.
func (p *Peers) cross(far []*wire, records []model.Record, lost []member.Loss) {
	p.mu.Lock()
	all, fresh := p.gates(far)
	p.mu.Unlock()
	if len(fresh) > 0 {
		told, losses := p.Members.told()
		announce(fresh, told, losses, "")
	}
	for _, w := range far {
		switch {
		case slices.Contains(fresh, w):
		case slices.Contains(all, w):
			announce([]*wire{w}, records, lost, "")
		default:
			announce([]*wire{w}, nil, lost, "")
		}
	}
}

// take merges what an entry sent and keeps the records of its region for passing on. Records that
// are known already are passed on too: the last gate may have ended before it reached all entries.
func (p *Peers) take(now time.Time, peer link.Hello, f link.Announce) (refused int) {
	own, region := p.Settings.Self.Region, peer.Region
	if f.Region != "" && region == own && f.Region != own {
		region = f.Region // passed on by the gate of the own region
	}
	from := peer
	from.Region = region
	records := p.sound(now, from, f.Records)
	refused = p.Members.fromEntry(now, peer.Region, region, records, f.Lost)
	if peer.Region == own {
		return refused
	}
	lost := p.Members.gatedLosses(f.Lost)
	if len(records)+len(lost) == 0 {
		return refused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passing == nil {
		p.passing = map[model.Region]passed{}
	}
	all := p.passing[region]
	p.passing[region] = passed{append(all.records, records...), append(all.lost, lost...)}
	p.hurry()
	return refused
}

// pass sends the entries of the own region what this entry took as the gate of other regions.
func (p *Peers) pass(near []*wire) {
	p.mu.Lock()
	passing := p.passing
	p.passing = nil
	p.mu.Unlock()
	for region, all := range passing {
		announce(near, all.records, all.lost, region)
	}
}

// sendFar sends an entry of the own region the records of other regions that were sent to this
// entry as their gate.
func (p *Peers) sendFar(w *wire) {
	for region, all := range p.Members.gated() {
		announce([]*wire{w}, all.records, all.lost, region)
	}
}
