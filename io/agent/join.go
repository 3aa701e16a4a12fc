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
	// announceEvery is the interval between announcements to the entry of the highest rank, which forwards them.
	announceEvery = time.Second
	// standbyEvery is the interval between announcements to the other two. An entry of the second rank
	// waits 1.5 s for the first one to forward, so a newer record is there when it takes over; and it is
	// shorter than half of link.Silence, so that no pings are sent besides.
	standbyEvery = 1400 * time.Millisecond
	// joinEvery is the interval at which the choice of entries is looked at.
	joinEvery = 200 * time.Millisecond
	// avoid is how long an entry that failed is left out of the choice.
	avoid = 2 * time.Second
	// homes is the number of entries that an agent announces itself to.
	homes = 3
)

// homing keeps links to the entries of an agent's choice.
type homing struct {
	agent    *Agent
	seeds    []string
	settings link.Settings

	mu     sync.Mutex
	known  []link.Entry
	open   map[string]context.CancelFunc
	failed map[string]time.Time
}

// Join announces the agent at three entries until ctx ends. The seeds are addresses of
// entries, or of a balancer before them; entries tell the agent which others exist.
func (a *Agent) Join(ctx context.Context, seeds []string, s link.Settings) {
	h := &homing{
		agent: a, seeds: seeds, settings: s,
		open: map[string]context.CancelFunc{}, failed: map[string]time.Time{},
	}
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	for {
		h.adjust(ctx, &wait)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// adjust opens and closes links so that they match the choice.
func (h *homing) adjust(ctx context.Context, wait *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, at := range h.failed {
		if time.Since(at) > avoid {
			delete(h.failed, address)
		}
	}
	want := choose(h.agent.record.ID, h.agent.record.Region, h.known, h.seeds, func(address string) bool {
		_, failed := h.failed[address]
		return !failed
	})
	for address, cancel := range h.open {
		if !slices.Contains(want, address) {
			cancel()
		}
	}
	for _, address := range want {
		if _, ok := h.open[address]; ok {
			continue
		}
		one, cancel := context.WithCancel(ctx)
		h.open[address] = cancel
		wait.Go(func() {
			defer cancel()
			h.announce(one, address)
			h.mu.Lock()
			defer h.mu.Unlock()
			delete(h.open, address)
			h.failed[address] = time.Now()
		})
	}
}

// choose returns the entries to announce to: the first three of the known ones of the
// region by rendezvous hashing, or the seeds as long as fewer are known and usable.
func choose(id model.NodeID, region model.Region, known []link.Entry, seeds []string, usable func(string) bool) []string {
	var out []string
	for _, e := range known {
		if e.Region == region && usable(e.Address) {
			out = append(out, e.Address)
		}
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(member.Rank(id, b), member.Rank(id, a)) })
	out = out[:min(homes, len(out))]
	for _, s := range seeds {
		if len(out) < homes && usable(s) && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// announce sends the record over one link until the link breaks or ctx ends.
func (h *homing) announce(ctx context.Context, address string) {
	l, err := link.Dial(ctx, address, h.settings)
	if err != nil {
		h.agent.log.Debug("entry cannot be linked", "entry", address, "error", err)
		return
	}
	defer l.Close()
	if c := h.agent.Config; c != nil {
		c.Linked(l)
		defer c.Unlinked(l)
	}
	go h.listen(l)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		tick.Reset(h.interval(address))
		rec, changed := h.agent.next()
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

// interval returns the time to the next announcement to an entry. It depends on the open links, so
// that the next entry in rank is announced to every second once the first one is lost.
func (h *homing) interval(address string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.agent.record.ID
	for other := range h.open {
		if member.Rank(id, other) > member.Rank(id, address) {
			return standbyEvery
		}
	}
	return announceEvery
}

// listen takes the list of entries from an entry.
func (h *homing) listen(l *link.Link) {
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		if k, ok := f.(link.Known); ok && len(k.Entries) > 0 {
			h.mu.Lock()
			h.known = k.Entries
			h.mu.Unlock()
		}
		if h.agent.Config != nil {
			h.agent.Config.Heard(l, f)
		}
	}
}

// next returns the record with a sequence of its own, and a channel that is closed when its state changes.
func (a *Agent) next() (model.Record, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.Sequence++
	a.record.Load = a.book.Load()
	return a.record, a.changed
}

// SetRevision announces the configuration revision that is in force.
func (a *Agent) SetRevision(r model.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.Revision = r
	close(a.changed)
	a.changed = make(chan struct{})
}

// publish changes the announced state at once.
func (a *Agent) publish(s model.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setState(s)
}

// setState is publish for a caller that holds the lock.
func (a *Agent) setState(s model.State) {
	a.record.State = s
	close(a.changed)
	a.changed = make(chan struct{})
}
