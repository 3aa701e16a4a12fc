package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

const (
	// announceInterval is the time between announcements to the entry of the highest rank, which forwards them.
	announceInterval = time.Second
	// standbyInterval is the time between announcements to the other entries. The entry of the second rank waits 1.5 s
	// for the first one to forward, so it has a newer record when it takes over. The interval is shorter than half of
	// link.SilenceTimeout, so that no pings are needed.
	standbyInterval = 1400 * time.Millisecond
	// entryCheckInterval is how often the choice of entries is computed again.
	entryCheckInterval = 200 * time.Millisecond
	// failedEntryDelay is how long an entry is left out of the choice after its link failed.
	failedEntryDelay = 2 * time.Second
	// entriesPerAgent is the number of entries that an agent announces itself to.
	entriesPerAgent = 3
)

// announcer keeps links to the chosen entries and announces the agent to them.
type announcer struct {
	agent    *Agent
	seeds    []string
	settings link.Settings

	mu           sync.Mutex
	knownEntries []link.Entry
	links        map[string]context.CancelFunc
	failed       map[string]time.Time
}

// Join announces the agent to three entries until ctx ends. The seeds are addresses of entries or of a load balancer in
// front of them; the agent learns the addresses of the other entries from them.
func (a *Agent) Join(ctx context.Context, seeds []string, s link.Settings) {
	n := &announcer{
		agent: a, seeds: seeds, settings: s,
		links: map[string]context.CancelFunc{}, failed: map[string]time.Time{},
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(entryCheckInterval)
	defer tick.Stop()
	for {
		n.updateLinks(ctx, &wait)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// updateLinks opens and closes links so that they match the chosen entries.
func (n *announcer) updateLinks(ctx context.Context, wait *sync.WaitGroup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, at := range n.failed {
		if time.Since(at) > failedEntryDelay {
			delete(n.failed, address)
		}
	}
	chosen := chooseEntries(n.agent.record.ID, n.agent.record.Region, n.knownEntries, n.seeds, func(address string) bool {
		_, failed := n.failed[address]
		return !failed
	})
	for address, cancel := range n.links {
		if !slices.Contains(chosen, address) {
			cancel()
		}
	}
	for _, address := range chosen {
		if _, ok := n.links[address]; ok {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		n.links[address] = cancel
		wait.Go(func() {
			defer cancel()
			n.announceTo(linkCtx, address)
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.links, address)
			n.failed[address] = time.Now()
		})
	}
}

// chooseEntries returns the entries to announce to: of the usable known entries of the region, those with the highest
// rendezvous hashes. If there are fewer than entriesPerAgent, it adds seeds.
func chooseEntries(id model.NodeID, region model.Region, knownEntries []link.Entry, seeds []string, usable func(string) bool) []string {
	var out []string
	for _, e := range knownEntries {
		if e.Region == region && usable(e.Address) {
			out = append(out, e.Address)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(member.RendezvousHash(id, b), member.RendezvousHash(id, a)) })
	out = out[:min(entriesPerAgent, len(out))]
	for _, s := range seeds {
		if len(out) < entriesPerAgent && usable(s) && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// announceTo opens a link to the entry and sends the record over it until the link is closed or ctx ends.
func (n *announcer) announceTo(ctx context.Context, address string) {
	l, err := link.Dial(ctx, address, n.settings)
	if err != nil {
		n.agent.log.Debug("cannot open link to entry", "entry", address, "error", err)
		return
	}
	defer l.Close()
	if c := n.agent.Config; c != nil {
		c.AddLink(l)
		defer c.RemoveLink(l)
	}
	go n.receive(l)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		tick.Reset(n.intervalFor(address))
		rec, changed := n.agent.nextRecord()
		if l.Send(link.Announce{Records: []model.Record{rec}}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.Done():
			return
		case <-tick.C:
		case <-changed:
		}
	}
}

// intervalFor returns the time to the next announcement to an entry. It ranks only entries with a link, so that the entry
// of the second rank gets announcements at announceInterval once the first one is lost.
func (n *announcer) intervalFor(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.agent.record.ID
	for other := range n.links {
		if member.RendezvousHash(id, other) > member.RendezvousHash(id, address) {
			return standbyInterval
		}
	}
	return announceInterval
}

// receive handles the frames of an entry: lists of the known entries, and configuration frames.
func (n *announcer) receive(l *link.Link) {
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		if k, ok := f.(link.EntryList); ok && len(k.Entries) > 0 {
			n.mu.Lock()
			n.knownEntries = k.Entries
			n.mu.Unlock()
		}
		if n.agent.Config != nil {
			n.agent.Config.HandleFrame(l, f)
		}
	}
}

// nextRecord returns the record with the next sequence number, and a channel that is closed when the record's state or
// revision changes.
func (a *Agent) nextRecord() (model.Record, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.Sequence++
	a.record.Load = a.attemptLedger.Load()
	return a.record, a.changed
}

// SetRevision announces the configuration revision that the agent uses.
func (a *Agent) SetRevision(r model.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.Revision = r
	close(a.changed)
	a.changed = make(chan struct{})
}

// announceState sets the announced state and makes it announced at once.
func (a *Agent) announceState(s model.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setState(s)
}

// setState is announceState for a caller that holds the lock.
func (a *Agent) setState(s model.State) {
	a.record.State = s
	close(a.changed)
	a.changed = make(chan struct{})
}
