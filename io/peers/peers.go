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
	// tickEvery is the interval at which records are forwarded and a sign of life is sent to each entry.
	tickEvery = time.Second
	// hurryEvery is the least time between ticks for changed records; a fleet that starts at a
	// time would cause one for each record.
	hurryEvery = 50 * time.Millisecond
	// knownEvery is the interval at which an agent gets the list of entries when it has not
	// changed; sent every second it would take a part of the agent's 3 KB/s.
	knownEvery = 10 * time.Second
	// outbox is the number of frames that wait for a slow link. A link that falls further behind
	// is closed; after it is opened again the peer is told everything anew.
	outbox = 64
	// frameRecords bounds the records of a frame; frames are limited to 4 MiB.
	frameRecords = 4000
)

// Peers keeps the links of an entry with agents and other entries. The fields are set before Run.
type Peers struct {
	Settings link.Settings
	Members  *Members
	// Store holds the list of entries; it may be nil.
	Store Store
	// Join lists addresses of links of other entries, for a start without the store.
	Join []string
	Log  *slog.Logger
	// Revision returns the configuration revision to tell others; nil means none.
	Revision func() model.Revision
	// Up and Down report each link after its Hello and after its end, Other each frame that is
	// not about membership; nil functions are not called.
	Up, Down func(l *link.Link)
	Other    func(l *link.Link, f link.Frame)

	mu      sync.Mutex
	agents  map[*link.Link]*wire
	entries map[model.NodeID]*wire
	// stored is the list of entries in the store, as of storedAt.
	stored   []link.Entry
	storedAt time.Time
	// hinted holds entries that others named, with the time of the last mention.
	hinted  map[model.NodeID]hint
	dialing map[string]bool
	// published is the list of entries that agents were sent last, at publishedAt.
	published   []link.Entry
	publishedAt time.Time
	closed      bool
	// begun is when Run was called; synced is the last answer of Synced.
	begun  time.Time
	synced bool
	work   sync.WaitGroup
	// gate holds the link to the gate of each other region, passing what this entry passes on as a gate.
	gate    map[model.Region]*wire
	passing map[model.Region]passed
	// soon asks for a tick before the next second, because a record changed.
	soon chan struct{}
	once sync.Once
}

// wire is a link with the frames that wait to be sent on it, so that a slow or silent link
// does not hold up the others.
type wire struct {
	link *link.Link
	// dialled says that this entry opened the link.
	dialled bool
	out     chan link.Frame
	// synced says that the peer, an entry, has sent its records.
	synced bool
}

func newWire(l *link.Link, dialled bool) *wire {
	return &wire{link: l, dialled: dialled, out: make(chan link.Frame, outbox)}
}

// run sends the waiting frames until the link is closed.
func (w *wire) run() {
	for {
		select {
		case f := <-w.out:
			if w.link.Send(f) != nil {
				return
			}
		case <-w.link.Done():
			return
		}
	}
}

func (w *wire) send(f link.Frame) {
	select {
	case w.out <- f:
	default:
		w.link.Close()
	}
}

type hint struct {
	entry link.Entry
	at    time.Time
}

func (p *Peers) init() {
	p.once.Do(func() {
		p.agents = map[*link.Link]*wire{}
		p.entries = map[model.NodeID]*wire{}
		p.hinted = map[model.NodeID]hint{}
		p.dialing = map[string]bool{}
		p.soon = make(chan struct{}, 1)
		if p.Log == nil {
			p.Log = slog.New(slog.DiscardHandler)
		}
	})
}

// Run finds other entries, links to them and forwards records until ctx ends; it then closes the links.
func (p *Peers) Run(ctx context.Context) {
	p.init()
	p.mu.Lock()
	p.begun = time.Now()
	p.mu.Unlock()
	p.work.Go(func() { p.find(ctx) })
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.close()
			return
		case now := <-tick.C:
			p.tick(now)
		case <-p.soon:
			p.tick(time.Now())
			select {
			case <-time.After(hurryEvery):
			case <-ctx.Done():
			}
		}
	}
}

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

// Serve takes the frames of an accepted link until it is closed.
func (p *Peers) Serve(l *link.Link) {
	p.init()
	p.serve(l, false)
}

func (p *Peers) serve(l *link.Link, dialled bool) {
	defer l.Close()
	w := newWire(l, dialled)
	if !p.add(w) {
		return
	}
	defer p.remove(w)
	go w.run()
	if p.Up != nil {
		p.Up(l)
	}
	if p.Down != nil {
		defer p.Down(l)
	}
	w.send(p.known())
	if l.Peer().Role == link.RoleEntry {
		p.sendRecords(w)
	}
	var q quota
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		p.receive(l, f, &q)
	}
}

func (p *Peers) receive(l *link.Link, f link.Frame, q *quota) {
	now, peer := time.Now(), l.Peer()
	switch f := f.(type) {
	case link.Announce:
		full := &RecordError{Field: "table", Reason: "is full"}
		if peer.Role == link.RoleEntry {
			p.refuse(peer, full, p.take(now, peer, f))
			p.markSynced(l)
			return
		}
		if !q.take(now) {
			p.refuse(peer, &RecordError{peer.Node, "announcement", "exceeds the rate"}, max(1, len(f.Records)))
			return
		}
		material, refused := p.Members.fromAgent(now, p.sound(now, peer, f.Records))
		p.refuse(peer, full, refused)
		if material {
			p.hurry()
		}
	case link.Known:
		if peer.Role == link.RoleEntry {
			p.Members.fromEntry(now, peer.Region, peer.Region, nil, nil)
			p.hear(now, f.Entries)
		}
	}
	if _, membership := f.(link.Announce); !membership && p.Other != nil {
		p.Other(l, f)
	}
}

// hurry asks for a tick now.
func (p *Peers) hurry() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// add registers a link. Two entries that dial each other at a time keep the link that the one
// with the lower identifier opened.
func (p *Peers) add(w *wire) bool {
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

func (p *Peers) remove(w *wire) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.agents, w.link)
	if id := w.link.Peer().Node; p.entries[id] == w {
		delete(p.entries, id)
	}
}

// links returns the links to entries of the own region and of others.
func (p *Peers) links() (near, far []*wire) {
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

// Entries returns the number of linked entries of the own region, this one included.
func (p *Peers) Entries() int {
	p.init()
	near, _ := p.links()
	return len(near) + 1
}

// Links returns the number of linked entries of all regions.
func (p *Peers) Links() int {
	near, far := p.links()
	return len(near) + len(far)
}

func (p *Peers) tick(now time.Time) {
	near, far := p.links()
	others := make([]string, 0, len(near))
	for _, w := range near {
		others = append(others, w.link.Peer().Address)
	}
	toNear, toFar, lost := p.Members.tick(now, others)
	announce(near, toNear, nil, "")
	p.pass(near)
	p.cross(far, toFar, lost)
	p.publish(now)
}

// announce sends records and losses of a region, empty for the own one, in frames of bounded size.
func announce(to []*wire, records []model.Record, lost []member.Loss, region model.Region) {
	for len(records)+len(lost) > 0 {
		r, l := min(len(records), frameRecords), min(len(lost), frameRecords)
		frame := link.Announce{Records: records[:r], Lost: lost[:l], Region: region}
		records, lost = records[r:], lost[l:]
		for _, w := range to {
			w.send(frame)
		}
	}
}

// publish tells agents the list of entries when it changed or is old, and entries in each tick,
// which is also the sign of life by which they vouch for their region.
func (p *Peers) publish(now time.Time) {
	known := p.known()
	p.mu.Lock()
	changed := !slices.Equal(known.Entries, p.published)
	due := changed || now.Sub(p.publishedAt) >= knownEvery
	if due {
		p.published, p.publishedAt = known.Entries, now
	}
	var agents, entries []*wire
	for _, w := range p.agents {
		agents = append(agents, w)
	}
	for _, w := range p.entries {
		entries = append(entries, w)
	}
	p.mu.Unlock()
	if due {
		for _, w := range agents {
			w.send(known)
		}
	} else {
		known.Entries = nil
	}
	for _, w := range entries {
		w.send(known)
	}
}
