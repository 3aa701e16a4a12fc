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
	// prefix begins the leased keys of entries: entries/<region>/<id>.
	prefix = "entries/"
	// leaseTime is the time to live of an entry's key, renewed at a third of it.
	leaseTime = 6 * time.Second
	// findEvery is the interval at which the list of entries is read and links are dialled.
	findEvery = 2 * time.Second
	// hintLife is how long an entry that only others name is dialled.
	hintLife = 25 * time.Second
	// revokeLimit bounds the end of the lease at a graceful shutdown.
	revokeLimit = time.Second
)

// Store is the part of the key-value service that lists entries.
type Store interface {
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	Get(ctx context.Context, key string) (store.Item, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// find registers this entry and dials the others until ctx ends.
func (p *Peers) find(ctx context.Context) {
	var lease uint64
	tick := time.NewTicker(findEvery)
	defer tick.Stop()
	for {
		if p.Store != nil {
			lease = p.register(ctx, lease)
			p.list(ctx)
		}
		p.dial(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			if lease != 0 {
				stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeLimit)
				defer cancel()
				_ = p.Store.Revoke(stop, lease) // the key ends with the lease anyway
			}
			return
		}
	}
}

// register keeps the leased key of this entry and returns its lease, 0 if there is none.
func (p *Peers) register(ctx context.Context, lease uint64) uint64 {
	var ended *store.LeaseError
	if lease != 0 {
		err := p.Store.Renew(ctx, lease)
		if !errors.As(err, &ended) {
			return lease // renewed, or unknown: the next renewal tells
		}
	}
	lease, err := p.Store.Grant(ctx, leaseTime)
	if err != nil {
		return 0
	}
	self := p.Settings.Self
	value, err := json.Marshal(link.Entry{ID: self.Node, Region: self.Region, Address: self.Address})
	if err != nil {
		panic(err) // strings always encode
	}
	key := fmt.Sprintf("%s%s/%s", prefix, self.Region, self.Node)
	// The key of an earlier incarnation may still be there.
	item, err := p.Store.Get(ctx, key)
	var missing *store.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return p.unregister(ctx, lease)
	}
	if _, err := p.Store.Put(ctx, key, value, item.Version, lease); err != nil {
		p.Log.Warn("entry could not be registered", "key", key, "error", err)
		return p.unregister(ctx, lease)
	}
	return lease
}

// unregister gives up a lease whose key could not be written; the next round takes a new one.
func (p *Peers) unregister(ctx context.Context, lease uint64) uint64 {
	_ = p.Store.Revoke(ctx, lease)
	return 0
}

// list reads the entries from the store.
func (p *Peers) list(ctx context.Context) {
	items, _, err := p.Store.List(ctx, prefix)
	if err != nil {
		return
	}
	var entries []link.Entry
	for _, item := range items {
		var e link.Entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			p.Log.Warn("entry in the store can't be decoded", "key", item.Key, "error", err)
			continue
		}
		entries = append(entries, e)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored, p.storedAt = entries, time.Now()
}

// hear notes entries that another entry named; they are dialled, but not named to others
// until they are linked, so that an entry that has gone is not named for ever.
func (p *Peers) hear(now time.Time, entries []link.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		_, old := p.hinted[e.ID]
		if !address(e.Address) || len(e.ID) > maxName || len(e.Region) > maxName || !old && len(p.hinted) >= maxEntries {
			continue
		}
		p.hinted[e.ID] = hint{e, now}
	}
}

// known returns the list of entries for agents and other entries: this one, the linked ones,
// and those whose lease the store has shown within its time to live.
func (p *Peers) known() link.Known {
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
	if time.Since(p.storedAt) < leaseTime {
		for _, e := range p.stored {
			add(e)
		}
	}
	slices.SortFunc(all, func(a, b link.Entry) int { return cmp.Compare(a.ID, b.ID) })
	known := link.Known{Entries: all}
	if p.Revision != nil {
		known.Revision = p.Revision()
	}
	return known
}

// dial opens the missing links to known entries. The entry with the lower identifier dials;
// addresses from the settings are dialled while no entry is linked.
func (p *Peers) dial(ctx context.Context) {
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
		if time.Since(h.at) > hintLife {
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
			defer p.dialled(address)
			l, err := link.Dial(ctx, address, p.Settings)
			if err != nil {
				p.Log.Debug("entry can't be linked", "address", address, "error", err)
				return
			}
			p.serve(l, true)
		})
	}
}

func (p *Peers) dialled(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dialing, address)
}
