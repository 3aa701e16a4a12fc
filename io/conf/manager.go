package conf

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// tickInterval is how often a process repeats to its peers what it holds.
	tickInterval = time.Second
	// quietInterval is how often a quiet link repeats what both ends know. Every second, the
	// three links of an agent would take a fifth of its 3 KB/s, headers included.
	quietInterval = 4 * time.Second
	// outbox bounds the messages that wait for a slow peer; ticks repeat what is dropped.
	outbox = 8
)

// Store is the part of the platform's store that the configuration needs.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
	Watch(ctx context.Context, prefix string, after uint64) ([]store.Item, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Peer sends messages to a linked process.
type Peer interface{ Send(m config.Message) error }

// Options describe the process.
type Options struct {
	ID     model.NodeID
	Region model.Region
	Life   model.Incarnation
	// Store is nil in processes that don't reach the store.
	Store Store
	// State returns the drain state to tell others; nil means ready.
	State func() model.State
	Log   *slog.Logger
}

// Manager keeps the configuration state of a process and carries out its effects.
type Manager struct {
	opts Options

	mu    sync.Mutex
	state *config.State
	boxes map[model.NodeID]*box
	force model.Declaration
	// parsed is the declaration of the document that was read last.
	parsed  model.Declaration
	onForce []func(model.Revision, model.Declaration)
	refresh chan struct{}
}

// box sends messages to one peer in order, without holding up the others.
type box struct {
	messages chan config.Message
	done     chan struct{}
	quiet    bool
	sent     time.Time
	// unsent counts the messages that wait or are being sent.
	unsent atomic.Int64
}

// New returns a manager that does nothing before Run.
func New(o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	m := &Manager{
		opts: o, state: config.New(time.Now(), o.Life), boxes: map[model.NodeID]*box{}, refresh: make(chan struct{}, 1),
	}
	m.state.Read = m.parse
	return m
}

// Run repeats the state to the peers and, with a store, follows it until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if m.opts.Store != nil {
		wg.Go(func() { m.readLoop(ctx) })
		wg.Go(func() { m.watchLoop(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.Announce()
		case <-ctx.Done():
			wg.Wait()
			m.closeBoxes()
			return
		}
	}
}

func (m *Manager) closeBoxes() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, b := range m.boxes {
		close(b.done)
		delete(m.boxes, id)
	}
}

// OnForce adds a function that is called with each revision that gets in force, in order,
// and at once if one is in force. It must not call the manager.
func (m *Manager) OnForce(f func(model.Revision, model.Declaration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onForce = append(m.onForce, f)
	if c, ready := m.state.Force(); ready {
		f(c.Revision, m.force)
	}
}

// Alone puts the empty revision in force, in a process that has no store to learn one from.
func (m *Manager) Alone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Alone()
}

// Announce tells the peers at once what the process holds and its drain state.
func (m *Manager) Announce() {
	m.step(func(now time.Time) []config.Effect { return m.state.Tick(now) })
}

// Meet names processes that this one has to hear of, or fail to reach, before it trusts its peers.
func (m *Manager) Meet(ids ...model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if id != m.opts.ID {
			m.state.Meet(id)
		}
	}
}

// Forget removes a process that has left the system.
func (m *Manager) Forget(id model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Forget(id)
}

// Up reports a link to a process; a later link replaces an earlier one. The returned function
// reports the end of the link. A quiet link repeats what both ends know less often.
func (m *Manager) Up(id model.NodeID, p Peer, quiet bool) (down func()) {
	b := &box{messages: make(chan config.Message, outbox), done: make(chan struct{}), quiet: quiet}
	go b.run(p)
	m.step(func(now time.Time) []config.Effect {
		if old := m.boxes[id]; old != nil {
			close(old.done)
		}
		m.boxes[id] = b
		return m.state.Up(now, id)
	})
	return func() {
		m.step(func(now time.Time) []config.Effect {
			if m.boxes[id] != b {
				return nil
			}
			return m.down(now, id)
		})
	}
}

// put queues a message unless the link is slow, or quiet and the message only repeats.
func (b *box) put(now time.Time, message config.Message, repeat bool) {
	if b.quiet && repeat && now.Sub(b.sent) < quietInterval {
		return
	}
	b.unsent.Add(1)
	select {
	case b.messages <- message:
		b.sent = now
	default:
		b.unsent.Add(-1)
	}
}

func (b *box) run(p Peer) {
	for {
		select {
		case <-b.done:
			return
		case message := <-b.messages:
			// A failed send breaks the link, which its owner reports by Down.
			if p.Send(message) != nil {
				return
			}
			b.unsent.Add(-1)
		}
	}
}

// Flush waits until all messages were sent, or until the limit. A process that closes its links
// right after Announce would otherwise take its drain state with it and be reported as lost.
func (m *Manager) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); m.unsent() && time.Now().Before(end); {
		time.Sleep(flushPoll)
	}
}

func (m *Manager) unsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.boxes {
		if b.unsent.Load() > 0 {
			return true
		}
	}
	return false
}

// flushPoll is the interval at which Flush looks.
const flushPoll = 5 * time.Millisecond

// Fail reports that a process without a link can't be reached.
func (m *Manager) Fail(id model.NodeID) {
	m.step(func(now time.Time) []config.Effect {
		if m.boxes[id] != nil {
			return nil
		}
		return m.state.Down(now, id)
	})
}

func (m *Manager) down(now time.Time, id model.NodeID) []config.Effect {
	if old := m.boxes[id]; old != nil {
		close(old.done)
		delete(m.boxes, id)
	}
	return m.state.Down(now, id)
}

// Linked reports whether the process has a link.
func (m *Manager) Linked(id model.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boxes[id] != nil
}

// Answer returns the message for a process that asks over a link that Up has not reported.
func (m *Manager) Answer(message config.Message) config.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.marked(m.state.Answer(time.Now(), message))
}

// marked adds the drain state to a message.
func (m *Manager) marked(message config.Message) config.Message {
	if m.opts.State != nil {
		message.State = m.opts.State()
	}
	return message
}

// Hear takes a message from a linked process. One that arrives over a replaced link after the end of
// the last one is dropped: nothing would report the process as gone again.
func (m *Manager) Hear(id model.NodeID, message config.Message) {
	m.step(func(now time.Time) []config.Effect {
		if m.boxes[id] == nil {
			return nil
		}
		return m.state.Hear(now, id, message)
	})
}

// step runs one decision and carries out its effects.
func (m *Manager) step(decide func(now time.Time) []config.Effect) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, e := range decide(now) {
		switch e := e.(type) {
		case config.Send:
			if b := m.boxes[e.To]; b != nil {
				b.put(now, m.marked(e.Message), e.Repeat)
			}
		case config.Activate:
			m.activate(e.Copy)
		case config.Unread:
			m.opts.Log.Error("configuration can't be read", "revision", e.Revision, "error", e.Cause)
		case config.Refresh:
			m.wantRead()
		}
	}
}

// parse reads a document for activate. Every writer checks documents first, so that one that this version
// can't read was written by a newer version; the declaration before it stays in use.
func (m *Manager) parse(c config.Copy) error {
	d, err := decl.Parse([]byte(c.Document))
	if err != nil {
		text, _, _ := strings.Cut(err.Error(), "\n")
		return fmt.Errorf("revision %d can't be read by this version: %.*s", c.Revision, maxFault, text)
	}
	d.GuaranteeCells = c.Homes
	m.parsed = d
	return nil
}

// maxFault bounds the text of a fault that is sent to other processes, in characters.
const maxFault = 200

func (m *Manager) activate(c config.Copy) {
	if c.Revision > 0 {
		m.force = m.parsed
	}
	m.opts.Log.Info("configuration in force", "revision", c.Revision, "change", c.Change, "confirmed", m.state.Confirmed())
	for _, f := range m.onForce {
		f(c.Revision, m.force)
	}
}

// Settled reports whether the process knows which revision has to be in force, even if it can't read it.
func (m *Manager) Settled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Settled()
}

// Ready reports whether a revision is in force that the process could read.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ready := m.state.Force()
	return ready
}

// Force returns the revision in force with its declaration; the last result is false while there is none.
func (m *Manager) Force() (config.Copy, model.Declaration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ready := m.state.Force()
	return c, m.force, ready
}

// Status is what a process says of its configuration.
type Status struct {
	ID model.NodeID `json:"id"`
	// Held is the highest revision that the process has, Force the one that it uses.
	Held  model.Revision `json:"held"`
	Force model.Revision `json:"revision"`
	Ready bool           `json:"ready"`
	// Fault says why the process can't use a higher revision that has to be in force.
	Fault string `json:"fault,omitempty"`
	// Confirmed is false while the store has not confirmed the revision in the process's life.
	Confirmed bool `json:"confirmed"`
	// Watch is the region whose watch the process holds.
	Watch model.Region `json:"watch,omitempty"`
	// State is the drain state.
	State model.State `json:"state"`
}

// Status returns the state of this process and, by identifier, that of the linked ones.
func (m *Manager) Status() (Status, map[model.NodeID]Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ready := m.state.Force()
	self := Status{
		ID: m.opts.ID, Held: m.state.Held().Revision, Force: c.Revision, Ready: ready,
		Confirmed: m.state.Confirmed(), Watch: m.state.Holds(), State: m.marked(config.Message{}).State,
		Fault: m.state.Fault(),
	}
	peers := map[model.NodeID]Status{}
	for id, p := range m.state.Peers() {
		peers[id] = Status{
			ID: id, Held: p.Held, Force: p.Force, Ready: p.Ready, Confirmed: p.Confirmed, Watch: p.Watch, State: p.State,
			Fault: p.Fault,
		}
	}
	return self, peers
}
