package peers

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

const (
	// tickInterval is the interval at which records are forwarded and each linked entry is sent a sign of
	// life.
	tickInterval = time.Second
	// minChangeTickInterval is the least time between additional ticks for changed records. Without it, agents
	// that start at the same time would cause one tick for each record.
	minChangeTickInterval = 50 * time.Millisecond
	// entryListInterval is the interval at which agents are sent an unchanged list of entries. Sent every
	// second, the list would take a part of an agent's 3 KB/s.
	entryListInterval = 10 * time.Second
	// sendQueueFrames is the number of frames that may wait for a slow link. A link that falls further behind
	// is closed; once it is reopened, the peer is sent all records again.
	sendQueueFrames = 64
	// maxFrameRecords bounds the records in a frame; frames are limited to 4 MiB.
	maxFrameRecords = 4000
)

// Peers manages the links of an entry to agents and other entries. The exported fields are set before Run.
type Peers struct {
	Settings link.Settings
	Members  *Members
	// Store holds the list of entries; it may be nil.
	Store Store
	// Join lists link addresses of other entries, for a start without the store.
	Join []string
	Log  *slog.Logger
	// Revision returns the configuration revision to send to others; nil means none.
	Revision func() model.Revision
	// OnLinkUp is called with each link after its Hello, OnLinkDown after its end, OnFrame with each frame that is not an
	// Announce. Nil functions are not called.
	OnLinkUp, OnLinkDown func(l *link.Link)
	OnFrame              func(l *link.Link, f link.Frame)

	mu      sync.Mutex
	agents  map[*link.Link]*queuedLink
	entries map[model.NodeID]*queuedLink
	// stored is the list of entries read from the store at storedAt.
	stored   []link.Entry
	storedAt time.Time
	// hinted holds entries that other entries named, with the time of the last mention.
	hinted  map[model.NodeID]entryHint
	dialing map[string]bool
	// sentEntries is the list of entries last sent to agents, at sentEntriesAt.
	sentEntries   []link.Entry
	sentEntriesAt time.Time
	closed        bool
	// startedAt is when Run was called; synced is the last result of HasInitialRecords.
	startedAt time.Time
	synced    bool
	work      sync.WaitGroup
	// gateway holds the link to the gateway of each other region, toRelay what this entry relays as a gateway
	// at the next tick.
	gateway map[model.Region]*queuedLink
	toRelay map[model.Region]relayed
	// tickRequest requests a tick before the next interval, because a record changed.
	tickRequest chan struct{}
	initOnce    sync.Once
}

// queuedLink is a link with a queue of frames to send, so that a slow or silent link does not delay the
// others.
type queuedLink struct {
	link *link.Link
	// dialled is set if this entry opened the link.
	dialled bool
	queue   chan link.Frame
	// recordsReceived is set once the peer, an entry, has sent its records.
	recordsReceived bool
}

// newQueuedLink returns a link with an empty queue.
func newQueuedLink(l *link.Link, dialled bool) *queuedLink {
	return &queuedLink{link: l, dialled: dialled, queue: make(chan link.Frame, sendQueueFrames)}
}

// sendQueued sends the queued frames until the link is closed.
func (w *queuedLink) sendQueued() {
	for {
		select {
		case f := <-w.queue:
			if w.link.Send(f) != nil {
				return
			}
		case <-w.link.Done():
			return
		}
	}
}

// enqueue queues a frame. If the queue is full, it closes the link.
func (w *queuedLink) enqueue(f link.Frame) {
	select {
	case w.queue <- f:
	default:
		w.link.Close()
	}
}

// entryHint is an entry that another entry named, with the time of the last mention.
type entryHint struct {
	entry link.Entry
	at    time.Time
}

// init creates the maps and the default logger at the first call.
func (p *Peers) init() {
	p.initOnce.Do(func() {
		p.agents = map[*link.Link]*queuedLink{}
		p.entries = map[model.NodeID]*queuedLink{}
		p.hinted = map[model.NodeID]entryHint{}
		p.dialing = map[string]bool{}
		p.tickRequest = make(chan struct{}, 1)
		if p.Log == nil {
			p.Log = slog.New(slog.DiscardHandler)
		}
	})
}

// Run finds other entries, links to them and forwards records until ctx ends. It then closes the links and
// waits for its goroutines.
func (p *Peers) Run(ctx context.Context) {
	p.init()
	p.mu.Lock()
	p.startedAt = time.Now()
	p.mu.Unlock()
	p.work.Go(func() { p.runDiscovery(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case now := <-tick.C:
			p.tick(now)
		case <-p.tickRequest:
			p.tick(time.Now())
			select {
			case <-time.After(minChangeTickInterval):
			case <-ctx.Done():
			}
		}
	}
}

// close closes all links, refuses new ones and waits for the goroutines of Run.
func (p *Peers) close() {
	p.mu.Lock()
	p.closed = true
	for l := range p.agents {
		l.Close()
	}
	for _, e := range p.entries {
		e.link.Close()
	}
	p.mu.Unlock()
	p.work.Wait()
}

// Serve handles the frames of an accepted link until it is closed.
func (p *Peers) Serve(l *link.Link) {
	p.init()
	p.serveLink(l, false)
}

// serveLink registers a link, sends the peer the list of entries and, if it is an entry, the records, and
// handles its frames until the link is closed.
func (p *Peers) serveLink(l *link.Link, dialled bool) {
	defer l.Close()
	w := newQueuedLink(l, dialled)
	if !p.addLink(w) {
		return
	}
	defer p.removeLink(w)
	go w.sendQueued()
	if p.OnLinkUp != nil {
		p.OnLinkUp(l)
	}
	if p.OnLinkDown != nil {
		defer p.OnLinkDown(l)
	}
	w.enqueue(p.entryList())
	if l.Peer().Role == link.RoleEntry {
		p.sendInitialRecords(w)
	}
	var q announcementLimiter
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		p.handleFrame(l, f, &q)
	}
}

// handleFrame merges membership frames of a peer and passes all frames other than Announce to OnFrame.
func (p *Peers) handleFrame(l *link.Link, f link.Frame, q *announcementLimiter) {
	now, peer := time.Now(), l.Peer()
	switch f := f.(type) {
	case link.Announce:
		tableFull := &RecordError{Field: "table", Reason: "is full"}
		if peer.Role == link.RoleEntry {
			p.countRefused(peer, tableFull, p.mergeAnnouncement(now, peer, f))
			if f.Region == "" { // what a gateway relays says nothing about the records of its own region
				p.markSynced(l)
			}
			return
		}
		if !q.allow(now) {
			p.countRefused(peer, &RecordError{peer.Node, "announcement", "exceeds the rate limit"}, max(1, len(f.Records)))
			return
		}
		material, refused := p.Members.mergeFromAgent(now, p.validRecords(now, peer, f.Records))
		p.countRefused(peer, tableFull, refused)
		if material {
			p.requestTick()
		}
	case link.EntryList:
		if peer.Role == link.RoleEntry {
			p.Members.mergeFromEntry(now, peer.Region, peer.Region, nil, nil)
			p.addHints(now, f.Entries)
		}
	}
	if _, membership := f.(link.Announce); !membership && p.OnFrame != nil {
		p.OnFrame(l, f)
	}
}

// requestTick requests a tick soon; requests made before it runs share it.
func (p *Peers) requestTick() {
	select {
	case p.tickRequest <- struct{}{}:
	default:
	}
}

// addLink registers a link and reports whether it is kept. If two entries dial each other at the same
// time, both keep the link that the one with the lower identifier opened.
func (p *Peers) addLink(w *queuedLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := w.link.Peer()
	if p.closed || peer.Node == p.Settings.Self.Node {
		return false
	}
	if peer.Role != link.RoleEntry {
		p.agents[w.link] = w
		return true
	}
	old := p.entries[peer.Node]
	preferred := w.dialled == (p.Settings.Self.Node < peer.Node)
	if old != nil {
		same := old.link.Peer().Incarnation == peer.Incarnation
		if same && !preferred && old.dialled != w.dialled {
			return false
		}
		old.link.Close()
	}
	p.entries[peer.Node] = w
	return true
}

// removeLink removes a closed link unless another link to the entry has replaced it.
func (p *Peers) removeLink(w *queuedLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.agents, w.link)
	if id := w.link.Peer().Node; p.entries[id] == w {
		delete(p.entries, id)
	}
}

// linksByRegion returns the links to entries of the own region and of other regions.
func (p *Peers) linksByRegion() (near, far []*queuedLink) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		if e.link.Peer().Region == p.Settings.Self.Region {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return near, far
}

// Entries returns the number of entries of the own region: the linked ones and this one.
func (p *Peers) Entries() int {
	p.init()
	near, _ := p.linksByRegion()
	return len(near) + 1
}

// LinkedEntries returns the number of linked entries of all regions.
func (p *Peers) LinkedEntries() int {
	near, far := p.linksByRegion()
	return len(near) + len(far)
}

// tick expires records, forwards records and losses to other entries and sends the list of entries.
func (p *Peers) tick(now time.Time) {
	near, far := p.linksByRegion()
	others := make([]string, 0, len(near))
	for _, w := range near {
		others = append(others, w.link.Peer().Address)
	}
	toNear, toFar, lost := p.Members.tick(now, others)
	announce(near, toNear, nil, "")
	var linked []model.Region
	for _, w := range far {
		if region := w.link.Peer().Region; !slices.Contains(linked, region) {
			linked = append(linked, region)
		}
	}
	p.relayToOwnRegion(near, linked)
	p.sendToOtherRegions(far, toFar, lost)
	p.sendEntryList(now)
}

// announce queues records and losses of a region on links, in frames of bounded size. An empty region
// means the own one.
func announce(to []*queuedLink, records []model.Record, lost []member.Loss, region model.Region) {
	for len(records)+len(lost) > 0 {
		r, l := min(len(records), maxFrameRecords), min(len(lost), maxFrameRecords)
		frame := link.Announce{Records: records[:r], Lost: lost[:l], Region: region}
		records, lost = records[r:], lost[l:]
		for _, w := range to {
			w.enqueue(frame)
		}
	}
}

// sendEntryList sends the list of entries if it has changed or was sent long enough ago. Entries get a
// frame, without the list if it is not due, at each tick: it is the sign of life that keeps the records of
// their region valid.
func (p *Peers) sendEntryList(now time.Time) {
	entryList := p.entryList()
	p.mu.Lock()
	changed := !slices.Equal(entryList.Entries, p.sentEntries)
	due := changed || now.Sub(p.sentEntriesAt) >= entryListInterval
	if due {
		p.sentEntries, p.sentEntriesAt = entryList.Entries, now
	}
	var agents, entries []*queuedLink
	for _, w := range p.agents {
		agents = append(agents, w)
	}
	for _, w := range p.entries {
		entries = append(entries, w)
	}
	p.mu.Unlock()
	if due {
		for _, w := range agents {
			w.enqueue(entryList)
		}
	} else {
		entryList.Entries = nil
	}
	for _, w := range entries {
		w.enqueue(entryList)
	}
}
