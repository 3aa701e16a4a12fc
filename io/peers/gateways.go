package peers

import (
	"slices"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Links between regions are billed by volume, so a record is sent to another region once: the entry that
// forwards it sends it to one entry there, the gateway, which relays it to the entries of its own region.
// Losses are few and are sent to all entries directly as well, so that a lost agent does not stay a
// candidate at an entry that the gateway cannot reach. The gateway relays losses too, because a direct one
// may arrive before the record.

// relayed holds records and losses of one other region that this entry relays as its gateway.
type relayed struct {
	records []model.Record
	lost    []member.Loss
}

// gateways returns the links to the gateways of the other regions, and those of them that were chosen by
// this call and have received nothing yet. A gateway stays until its link ends, so that other links may
// come and go without transferring all records again. A new one is chosen by rendezvous hashing, which
// spreads the entries of a region over the gateways. The caller holds the lock.
func (p *Peers) gateways(far []*queuedLink) (all, newlyChosen []*queuedLink) {
	chosen := map[model.Region]*queuedLink{}
	rank := func(w *queuedLink) uint64 { return member.RendezvousHash(p.Settings.Self.Node, w.link.Peer().Address) }
	for _, w := range far {
		region := w.link.Peer().Region
		switch b := chosen[region]; {
		case p.gateway[region] == w, b == nil:
			chosen[region] = w
		case p.gateway[region] != b && rank(w) > rank(b):
			chosen[region] = w
		}
	}
	for region, w := range chosen {
		all = append(all, w)
		if p.gateway[region] != w {
			newlyChosen = append(newlyChosen, w)
		}
	}
	p.gateway = chosen
	return all, newlyChosen
}

// sendToOtherRegions sends records to the gateways and losses to all entries of other regions. A new
// gateway is sent all records, because the previous one may have ended before it relayed what it received.
func (p *Peers) sendToOtherRegions(far []*queuedLink, records []model.Record, lost []member.Loss) {
	p.mu.Lock()
	all, newlyChosen := p.gateways(far)
	p.mu.Unlock()
	if len(newlyChosen) > 0 {
		remoteRecords, losses := p.Members.remoteRecords()
		announce(newlyChosen, remoteRecords, losses, "")
	}
	for _, w := range far {
		switch {
		case slices.Contains(newlyChosen, w):
		case slices.Contains(all, w):
			announce([]*queuedLink{w}, records, lost, "")
		default:
			announce([]*queuedLink{w}, nil, lost, "")
		}
	}
}

// mergeAnnouncement merges what an entry sent, and queues records and losses from another region to be
// relayed within the own region. Records that are known already are relayed too, because the previous
// gateway may have ended before it reached all entries. It returns the number of records refused for lack
// of room.
func (p *Peers) mergeAnnouncement(now time.Time, peer link.Hello, f link.Announce) (refused int) {
	own, region := p.Settings.Self.Region, peer.Region
	if f.Region != "" && region == own && f.Region != own {
		region = f.Region // relayed by a gateway of the own region
	}
	from := peer
	from.Region = region
	records := p.validRecords(now, from, f.Records)
	refused = p.Members.mergeFromEntry(now, peer.Region, region, records, f.Lost)
	if peer.Region == own {
		return refused
	}
	lost := p.Members.gatewayLosses(f.Lost)
	if len(records)+len(lost) == 0 {
		return refused
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.toRelay == nil {
		p.toRelay = map[model.Region]relayed{}
	}
	all := p.toRelay[region]
	p.toRelay[region] = relayed{append(all.records, records...), append(all.lost, lost...)}
	p.requestTick()
	return refused
}

// relayToOwnRegion sends the entries of the own region what this entry received as gateway since the last
// tick, and a sign of life of each other region that this entry is linked to. An entry that has no link to
// such a region keeps its records by it; otherwise it would remove them and not get them again, because the
// gateway has them.
func (p *Peers) relayToOwnRegion(near []*queuedLink, linked []model.Region) {
	p.mu.Lock()
	toRelay := p.toRelay
	p.toRelay = nil
	p.mu.Unlock()
	for region, all := range toRelay {
		announce(near, all.records, all.lost, region)
	}
	for _, region := range linked {
		for _, w := range near {
			w.enqueue(link.Announce{Region: region})
		}
	}
}

// sendRelayed sends an entry of the own region all records of other regions that this entry received as
// gateway.
func (p *Peers) sendRelayed(w *queuedLink) {
	for region, all := range p.Members.gatewayRecords() {
		announce([]*queuedLink{w}, all.records, all.lost, region)
	}
}
