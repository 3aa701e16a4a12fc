package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

// Pool holds the links to agents, one for each agent, and replaces those that break.
type Pool struct {
	Settings link.Settings
	// UnmatchedFrames counts frames that belong to no attempt in progress, such as late, duplicate or mismatched answers.
	UnmatchedFrames atomic.Uint64

	mu    sync.Mutex
	slots map[string]*linkSlot
}

// linkSlot holds the link to one agent. mu is held while the agent is dialled, so that all waiting attempts share the
// new link.
type linkSlot struct {
	mu      sync.Mutex
	current *agentLink
	// users counts the calls of get that hold or wait for mu; it is guarded by Pool.mu.
	users int
}

// agentLink is a link to an agent and the attempts that wait for its frames.
type agentLink struct {
	*link.Link
	pool *Pool

	mu         sync.Mutex
	collectors map[model.Attempt]*frameCollector
	// replaced is set once the pool no longer uses the link; it is closed when its last attempt leaves.
	replaced bool
	// lastUsed is when an attempt last stopped using the link.
	lastUsed time.Time
}

// idleTimeout is how long a link without attempts stays open, so that an entry does not keep links to a whole fleet.
const idleTimeout = time.Minute

// Get returns the link to the agent at address, and dials it if there is none.
func (p *Pool) Get(ctx context.Context, address string) (*agentLink, error) {
	return p.get(ctx, address, nil)
}

// Replace returns a link to the agent at address other than old. It dials one unless an open link has replaced old already.
func (p *Pool) Replace(ctx context.Context, address string, old *agentLink) (*agentLink, error) {
	return p.get(ctx, address, old)
}

func (p *Pool) get(ctx context.Context, address string, old *agentLink) (*agentLink, error) {
	p.mu.Lock()
	if p.slots == nil {
		p.slots = map[string]*linkSlot{}
	}
	s, ok := p.slots[address]
	if !ok {
		s = &linkSlot{}
		p.slots[address] = s
	}
	s.users++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		s.users--
		p.mu.Unlock()
	}()

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current != old && s.current.alive() {
		return s.current, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	opened, err := link.Dial(ctx, address, p.Settings)
	if err != nil {
		return nil, err
	}
	conn := &agentLink{Link: opened, pool: p, collectors: map[model.Attempt]*frameCollector{}, lastUsed: time.Now()}
	if s.current != nil {
		s.current.markReplaced()
	}
	s.current = conn
	go conn.receive()
	return conn, nil
}

// Sweep closes links that carried no attempt for idleTimeout, and removes addresses without a link: replaced agents have
// new addresses, thousands a day.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.slots {
		if s.users > 0 {
			continue // in use or being dialled
		}
		s.mu.Lock()
		if conn := s.current; conn != nil && (!conn.alive() || conn.idleTime(now) > idleTimeout) {
			conn.markReplaced()
			s.current = nil
		}
		if s.current == nil {
			delete(p.slots, address)
		}
		s.mu.Unlock()
	}
}

func (l *agentLink) idleTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.collectors) > 0 {
		return 0
	}
	return now.Sub(l.lastUsed)
}

// Close closes all links.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.slots {
		s.mu.Lock()
		if s.current != nil {
			s.current.Close()
		}
		s.mu.Unlock()
	}
}

func (l *agentLink) alive() bool {
	select {
	case <-l.Done():
		return false
	default:
		return !l.Silent(time.Now())
	}
}

// addCollector passes the frames of the collector's attempt to it until removeCollector is called.
func (l *agentLink) addCollector(collector *frameCollector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectors[collector.attempt] = collector
}

func (l *agentLink) removeCollector(collector *frameCollector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.collectors, collector.attempt)
	l.lastUsed = time.Now()
	if l.replaced && len(l.collectors) == 0 {
		l.Close()
	}
}

// markReplaced closes the link as soon as no attempt uses it.
func (l *agentLink) markReplaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaced = true
	if len(l.collectors) == 0 {
		l.Close()
	}
}

// receive passes each received frame to the collector of its attempt until the link is closed.
func (l *agentLink) receive() {
	for {
		f, err := l.Receive()
		if err != nil {
			return
		}
		attempt, ok := attemptOf(f)
		if !ok {
			continue
		}
		l.mu.Lock()
		collector := l.collectors[attempt]
		l.mu.Unlock()
		if collector == nil {
			l.discard(f)
			continue
		}
		collector.handleFrame(f)
	}
}

// discard counts a frame that no attempt waits for. It acknowledges an answer or a failure, so that the agent does not
// retain it for an attempt that was given up.
func (l *agentLink) discard(f link.Frame) {
	l.pool.UnmatchedFrames.Add(1)
	switch f := f.(type) {
	case link.Answer:
		_ = l.Send(link.Done{Attempt: f.Attempt})
	case link.Fail:
		_ = l.Send(link.Done{Attempt: f.Attempt})
	}
}

// attemptOf returns the attempt that a frame from an agent belongs to, if it belongs to one.
func attemptOf(f link.Frame) (model.Attempt, bool) {
	switch f := f.(type) {
	case link.Accepted:
		return f.Attempt, true
	case link.Refuse:
		return f.Attempt, true
	case link.Answer:
		return f.Attempt, true
	case link.Data:
		return f.Attempt, true
	case link.Fail:
		return f.Attempt, true
	case link.Fenced:
		return f.Attempt, true
	}
	return model.Attempt{}, false
}
