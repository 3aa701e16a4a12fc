package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
	"wagtailhoist/io/store"
)

const (
	// entryKeyPrefix is the prefix of the leased keys of entries: entries/<region>/<id>.
	entryKeyPrefix = "entries/"
	// entryLeaseTTL is the time to live of an entry's lease, renewed at a third of it.
	entryLeaseTTL = 6 * time.Second
	// discoveryInterval is the interval at which the list of entries is read from the store and missing links
	// are dialled.
	discoveryInterval = 2 * time.Second
	// hintTTL is how long an entry is dialled after another entry last named it.
	hintTTL = 25 * time.Second
	// revokeTimeout bounds the revocation of the lease at a graceful shutdown.
	revokeTimeout = time.Second
)

// Store is the part of the key-value service that stores the list of entries.
type Store interface {
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// runDiscovery registers this entry in the store and dials the others until ctx ends; it then revokes the
// lease.
func (p *Peers) runDiscovery(ctx context.Context) {
	var lease uint64
	tick := time.NewTicker(discoveryInterval)
	defer tick.Stop()
	for {
		if p.Store != nil {
			lease = p.register(ctx, lease)
			p.readStoredEntries(ctx)
		}
		p.dialMissing(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			if lease != 0 {
				revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
				defer cancel()
				_ = p.Store.Revoke(revokeCtx, lease) // without an answer, the lease expires by itself
			}
			return
		}
	}
}

// register renews the lease of this entry's key, or writes the key under a new lease if there is none. It
// returns the lease, 0 if registration failed.
func (p *Peers) register(ctx context.Context, lease uint64) uint64 {
	var ended *store.LeaseError
	if lease != 0 {
		err := p.Store.Renew(ctx, lease)
		if !errors.As(err, &ended) {
			return lease // renewed, or the outcome is unknown until the next renewal
		}
	}
	lease, err := p.Store.Grant(ctx, entryLeaseTTL)
	if err != nil {
		return 0
	}
	self := p.Settings.Self
	value, err := json.Marshal(link.Entry{ID: self.Node, Region: self.Region, Address: self.Address})
	if err != nil {
		panic(err) // a struct of strings can always be encoded
	}
	key := fmt.Sprintf("%s%s/%s", entryKeyPrefix, self.Region, self.Node)
	// The key of an earlier incarnation may still exist; Put needs its version.
	item, err := p.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return p.unregister(ctx, lease)
	}
	if _, err := p.Store.Put(ctx, key, value, item.Version, lease); err != nil {
		p.Log.Warn("failed to register this entry in the store; it retries at the next discovery", "key", key, "error", err)
		return p.unregister(ctx, lease)
	}
	return lease
}

// unregister revokes a lease whose key could not be written and returns 0, so that the next discovery
// requests a new lease.
func (p *Peers) unregister(ctx context.Context, lease uint64) uint64 {
	_ = p.Store.Revoke(ctx, lease)
	return 0
}

// readStoredEntries reads the list of entries from the store. If that fails, the last list stays.
func (p *Peers) readStoredEntries(ctx context.Context) {
	items, _, err := p.Store.List(ctx, entryKeyPrefix)
	if err != nil {
		return
	}
	var entries []link.Entry
	for _, item := range items {
		var e link.Entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			p.Log.Warn("ignored an entry in the store that cannot be decoded", "key", item.Key, "error", err)
			continue
		}
		entries = append(entries, e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored, p.storedAt = entries, time.Now()
}

// addHints records entries that another entry named. They are dialled, but not named to others until they
// are linked; otherwise entries would go on naming a stopped entry to each other for ever.
func (p *Peers) addHints(now time.Time, entries []link.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		_, alreadyHinted := p.hinted[e.ID]
		if !isIPPort(e.Address) || len(e.ID) > maxNameBytes || len(e.Region) > maxNameBytes || !alreadyHinted && len(p.hinted) >= maxEntries {
			continue
		}
		p.hinted[e.ID] = entryHint{e, now}
	}
}

// entryList returns the list of entries for agents and other entries: this one, the linked ones, and those
// read from the store within the last lease TTL.
func (p *Peers) entryList() link.EntryList {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.Settings.Self
	all := []link.Entry{{ID: self.Node, Region: self.Region, Address: self.Address}}
	seen := map[model.NodeID]bool{self.Node: true}
	add := func(e link.Entry) {
		if !seen[e.ID] {
			seen[e.ID] = true
			all = append(all, e)
		}
	}
	for id, e := range p.entries {
		peer := e.link.Peer()
		add(link.Entry{ID: id, Region: peer.Region, Address: peer.Address})
	}
	if time.Since(p.storedAt) < entryLeaseTTL {
		for _, e := range p.stored {
			add(e)
		}
	}
	slices.SortFunc(all, func(a, b link.Entry) int { return cmp.Compare(a.ID, b.ID) })
	entryList := link.EntryList{Entries: all}
	if p.Revision != nil {
		entryList.Revision = p.Revision()
	}
	return entryList
}

// dialMissing opens the missing links to other entries. Of two entries, the one with the lower identifier
// dials. Addresses from the settings are dialled while no entry is linked.
func (p *Peers) dialMissing(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.Settings.Self
	want := map[string]bool{}
	add := func(e link.Entry) {
		if p.entries[e.ID] == nil && self.Node < e.ID {
			want[e.Address] = true
		}
	}
	for _, e := range p.stored {
		add(e)
	}
	for id, h := range p.hinted {
		if time.Since(h.at) > hintTTL {
			delete(p.hinted, id)
			continue
		}
		add(h.entry)
	}
	if len(p.entries) == 0 {
		for _, address := range p.Join {
			if address != self.Address {
				want[address] = true
			}
		}
	}
	for address := range want {
		if p.dialing[address] || p.closed {
			continue
		}
		p.dialing[address] = true
		p.work.Go(func() {
			defer p.endDial(address)
			l, err := link.Dial(ctx, address, p.Settings)
			if err != nil {
				p.Log.Debug("failed to link to an entry", "address", address, "error", err)
				return
			}
			p.serveLink(l, true)
		})
	}
}

// endDial allows the address to be dialled again.
func (p *Peers) endDial(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, address)
}
