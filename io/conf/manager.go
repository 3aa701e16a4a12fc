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
	// announceInterval is how often a process sends its peers the state of its configuration.
	announceInterval = time.Second
	// lowRateInterval is how often unchanged state is repeated on a low-rate link. Repeating it every second on the three
	// links of an agent would take a fifth of its 3 KB/s, headers included.
	lowRateInterval = 4 * time.Second
	// maxQueuedMessages bounds the messages that wait for a slow peer. The state that a dropped message carried is sent
	// again at the next announceInterval.
	maxQueuedMessages = 8
)

// Store is the part of the key-value store that the configuration needs.
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

// Options describe the process that a Manager belongs to.
type Options struct {
	ID          model.NodeID
	Region      model.Region
	Incarnation model.Incarnation
	// Store is nil in a process that has no access to the store.
	Store Store
	// DrainState returns the drain state that is sent to the peers; nil means ready.
	DrainState func() model.State
	Log        *slog.Logger
}

// Manager holds the configuration state of a process (config.State) and carries out the effects of its transitions.
type Manager struct {
	opts Options

	mu     sync.Mutex
	state  *config.State
	queues map[model.NodeID]*sendQueue
	// inUse is the declaration of the revision in force.
	inUse model.Declaration
	// parsed is the declaration of the document that was parsed last.
	parsed     model.Declaration
	onActivate []func(model.Revision, model.Declaration)
	// readRequests wakes readLoop.
	readRequests chan struct{}
}

// sendQueue sends messages to one peer in order, without blocking the messages to other peers.
type sendQueue struct {
	messages chan config.Message
	done     chan struct{}
	lowRate  bool
	lastSent time.Time
	// unsent counts the messages that are queued or being sent.
	unsent atomic.Int64
}

// New returns a manager that neither announces its state nor reads the store before Run.
func New(o Options) *Manager {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	m := &Manager{
		opts: o, state: config.New(time.Now(), o.Incarnation), queues: map[model.NodeID]*sendQueue{}, readRequests: make(chan struct{}, 1),
	}
	m.state.CheckReadable = m.parse
	return m
}

// Run announces the state to the peers periodically and, if there is a store, reads and watches it, until ctx is done.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	if m.opts.Store != nil {
		wg.Go(func() { m.readLoop(ctx) })
		wg.Go(func() { m.watchLoop(ctx) })
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.AnnounceState()
		case <-ctx.Done():
			wg.Wait()
			m.closeQueues()
			return
		}
	}
}

// closeQueues stops sending to all peers.
func (m *Manager) closeQueues() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, q := range m.queues {
		close(q.done)
		delete(m.queues, id)
	}
}

// OnActivate adds a function that is called with each revision that comes into force, in order, and immediately if one is
// in force already. The function must not call the manager.
func (m *Manager) OnActivate(f func(model.Revision, model.Declaration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onActivate = append(m.onActivate, f)
	if c, ready := m.state.InUse(); ready {
		f(c.Revision, m.inUse)
	}
}

// ActivateEmpty puts the empty revision in force, in a process that has no store to read a revision from.
func (m *Manager) ActivateEmpty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.ActivateEmpty()
}

// AnnounceState immediately sends the peers the state of the configuration and the drain state of this process.
func (m *Manager) AnnounceState() {
	m.update(func(now time.Time) []config.Effect { return m.state.Tick(now) })
}

// ExpectPeer adds processes from which a message, or a failed connection, is required before a revision that only the peers
// have reported comes into force.
func (m *Manager) ExpectPeer(ids ...model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if id != m.opts.ID {
			m.state.ExpectPeer(id)
		}
	}
}

// RemovePeer removes a process that is no longer part of the system.
func (m *Manager) RemovePeer(id model.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.RemovePeer(id)
}

// LinkUp reports that a link to a process was established; it replaces an earlier link. The returned function reports the
// end of the link. On a low-rate link unchanged state is repeated only every lowRateInterval.
func (m *Manager) LinkUp(id model.NodeID, p Peer, lowRate bool) (linkDown func()) {
	q := &sendQueue{messages: make(chan config.Message, maxQueuedMessages), done: make(chan struct{}), lowRate: lowRate}
	go q.run(p)
	m.update(func(now time.Time) []config.Effect {
		if replaced := m.queues[id]; replaced != nil {
			close(replaced.done)
		}
		m.queues[id] = q
		return m.state.LinkUp(now, id)
	})
	return func() {
		m.update(func(now time.Time) []config.Effect {
			if m.queues[id] != q {
				return nil
			}
			return m.linkDown(now, id)
		})
	}
}

// enqueue queues a message. It drops the message if the queue is full, and a repetition if the last message on a low-rate
// link is more recent than lowRateInterval.
func (q *sendQueue) enqueue(now time.Time, message config.Message, repeat bool) {
	if q.lowRate && repeat && now.Sub(q.lastSent) < lowRateInterval {
		return
	}
	q.unsent.Add(1)
	select {
	case q.messages <- message:
		q.lastSent = now
	default:
		q.unsent.Add(-1)
	}
}

// run sends the queued messages until done is closed or a send fails.
func (q *sendQueue) run(p Peer) {
	for {
		select {
		case <-q.done:
			return
		case message := <-q.messages:
			// A failed send breaks the link, and the owner of the link then calls the function that LinkUp returned.
			if p.Send(message) != nil {
				return
			}
			q.unsent.Add(-1)
		}
	}
}

// Flush waits until all queued messages are sent, at most for limit. A process that closed its links right after AnnounceState
// might not have sent its drain state, and its peers would report it as lost.
func (m *Manager) Flush(limit time.Duration) {
	for deadline := time.Now().Add(limit); m.unsent() && time.Now().Before(deadline); {
		time.Sleep(flushPoll)
	}
}

// unsent reports whether a message to any peer is queued or being sent.
func (m *Manager) unsent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, q := range m.queues {
		if q.unsent.Load() > 0 {
			return true
		}
	}
	return false
}

// flushPoll is the interval at which Flush checks for unsent messages.
const flushPoll = 5 * time.Millisecond

// ConnectFailed records that a connection to a process without a link failed.
func (m *Manager) ConnectFailed(id model.NodeID) {
	m.update(func(now time.Time) []config.Effect {
		if m.queues[id] != nil {
			return nil
		}
		return m.state.LinkDown(now, id)
	})
}

// linkDown closes the queue of a peer and records that its link has ended.
func (m *Manager) linkDown(now time.Time, id model.NodeID) []config.Effect {
	if replaced := m.queues[id]; replaced != nil {
		close(replaced.done)
		delete(m.queues, id)
	}
	return m.state.LinkDown(now, id)
}

// Linked reports whether there is a link to the process.
func (m *Manager) Linked(id model.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queues[id] != nil
}

// Answer returns the reply to a message that arrived over a link for which LinkUp was not called.
func (m *Manager) Answer(message config.Message) config.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.withDrainState(m.state.Answer(time.Now(), message))
}

// withDrainState adds the drain state of this process to a message.
func (m *Manager) withDrainState(message config.Message) config.Message {
	if m.opts.DrainState != nil {
		message.State = m.opts.DrainState()
	}
	return message
}

// Receive handles a message from a linked process. A message that arrives over a replaced link after the current link has
// ended is dropped: it would mark the process as linked, and no later event would mark it as unlinked.
func (m *Manager) Receive(id model.NodeID, message config.Message) {
	m.update(func(now time.Time) []config.Effect {
		if m.queues[id] == nil {
			return nil
		}
		return m.state.Receive(now, id, message)
	})
}

// update runs a transition of the state and carries out its effects.
func (m *Manager) update(decide func(now time.Time) []config.Effect) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, e := range decide(now) {
		switch e := e.(type) {
		case config.Send:
			if q := m.queues[e.To]; q != nil {
				q.enqueue(now, m.withDrainState(e.Message), e.Repeat)
			}
		case config.Activate:
			m.activate(e.Snapshot)
		case config.Unreadable:
			m.opts.Log.Error("configuration can't be read", "revision", e.Revision, "error", e.Cause)
		case config.ReadStore:
			m.requestRead()
		}
	}
}

// parse parses a document for activate. Every writer validates documents first, so that a document that this version
// can't parse was written by a newer version. The declaration of the revision before it then stays in use.
func (m *Manager) parse(c config.Snapshot) error {
	d, err := decl.Parse([]byte(c.Document))
	if err != nil {
		text, _, _ := strings.Cut(err.Error(), "\n")
		return fmt.Errorf("revision %d can't be read by this version: %.*s", c.Revision, maxFaultChars, text)
	}
	d.GuaranteeCells = c.GuaranteeCells
	m.parsed = d
	return nil
}

// maxFaultChars bounds the text of a parse error, which is sent to other processes. The unit is runes, as in %.*s.
const maxFaultChars = 200

// activate puts the revision that parse has read in force and calls the functions of OnActivate.
func (m *Manager) activate(c config.Snapshot) {
	if c.Revision > 0 {
		m.inUse = m.parsed
	}
	m.opts.Log.Info("configuration in force", "revision", c.Revision, "change", c.Change, "confirmed", m.state.Confirmed())
	for _, f := range m.onActivate {
		f(c.Revision, m.inUse)
	}
}

// RevisionKnown reports whether the process has determined which revision has to be in force, even if it can't parse it.
func (m *Manager) RevisionKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.RevisionKnown()
}

// Ready reports whether a revision that this process could parse is in force.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ready := m.state.InUse()
	return ready
}

// InUse returns the revision in force and its declaration; the last result is false if no revision is in force.
func (m *Manager) InUse() (config.Snapshot, model.Declaration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ready := m.state.InUse()
	return c, m.inUse, ready
}

// ReadSince reports whether the revision in force is the one that the store had at a time or later. If that isn't known, the
// store is read soon.
func (m *Manager) ReadSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.CurrentAt(at) {
		return true
	}
	m.requestRead()
	return false
}

// Status is the configuration state of one process.
type Status struct {
	ID model.NodeID `json:"id"`
	// Highest is the highest revision that the process has received, InUse the one that it uses.
	Highest model.Revision `json:"held"`
	InUse   model.Revision `json:"revision"`
	Ready   bool           `json:"ready"`
	// Fault is the reason why the process can't use a higher revision that has to be in force.
	Fault string `json:"fault,omitempty"`
	// Confirmed reports whether the store has confirmed the revision since the process started.
	Confirmed bool `json:"confirmed"`
	// Watch is the region for which the process watches the store; empty means none.
	Watch model.Region `json:"watch,omitempty"`
	// State is the drain state.
	State model.State `json:"state"`
}

// Status returns the configuration state of this process and, by identifier, of the linked processes.
func (m *Manager) Status() (Status, map[model.NodeID]Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ready := m.state.InUse()
	self := Status{
		ID: m.opts.ID, Highest: m.state.Highest().Revision, InUse: c.Revision, Ready: ready,
		Confirmed: m.state.Confirmed(), Watch: m.state.WatchedRegion(), State: m.withDrainState(config.Message{}).State,
		Fault: m.state.Fault(),
	}
	peers := map[model.NodeID]Status{}
	for id, p := range m.state.Peers() {
		peers[id] = Status{
			ID: id, Highest: p.Highest, InUse: p.InUse, Ready: p.Ready, Confirmed: p.Confirmed, Watch: p.Watch, State: p.State,
			Fault: p.Fault,
		}
	}
	return self, peers
}
