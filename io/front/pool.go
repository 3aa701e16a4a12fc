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
	// Dropped counts frames that belong to no attempt in progress: late, duplicate or mismatched answers.
	Dropped atomic.Uint64

	mu    sync.Mutex
	slots map[string]*slot
}

// slot is the place of one agent's link; its lock is held while dialling, so that all
// waiting attempts share the new link.
type slot struct {
	mu      sync.Mutex
	current *wire
	// users counts the calls that hold or wait for mu; it is guarded by the pool's lock.
	users int
}

// wire is a link to an agent with the attempts that wait for its frames.
type wire struct {
	*link.Link
	pool *Pool

	mu      sync.Mutex
	waiters map[model.Attempt]*waiter
	// retired wires have been replaced; the last waiter closes them.
	retired bool
	// idle is when the last waiter left.
	idle time.Time
}

// idleLimit is the time after which a link without attempts is closed, so that an entry does not keep links to a whole fleet.
const idleLimit = time.Minute

// Get returns the link to the agent at address, and dials it if there is none.
func (p *Pool) Get(ctx context.Context, address string) (*wire, error) {
	return p.get(ctx, address, nil)
}

// Fresh returns a link to the agent at address that is not old, which is replaced.
func (p *Pool) Fresh(ctx context.Context, address string, old *wire) (*wire, error) {
	return p.get(ctx, address, old)
}

func (p *Pool) get(ctx context.Context, address string, old *wire) (*wire, error) {
	p.mu.Lock()
	if p.slots == nil {
		p.slots = map[string]*slot{}
	}
	s, ok := p.slots[address]
	if !ok {
		s = &slot{}
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
	l, err := link.Dial(ctx, address, p.Settings)
	if err != nil {
		return nil, err
	}
	w := &wire{Link: l, pool: p, waiters: map[model.Attempt]*waiter{}, idle: time.Now()}
	if s.current != nil {
		s.current.retire()
	}
	s.current = w
	go w.receive()
	return w, nil
}

// Sweep closes the links that carried no attempt for a minute, and forgets addresses without a link: replaced
// agents have new addresses, thousands a day.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.slots {
		if s.users > 0 {
			continue // being dialled, so not idle
		}
		s.mu.Lock()
		if w := s.current; w != nil && (!w.alive() || w.idleSince(now) > idleLimit) {
			w.retire()
			s.current = nil
		}
		if s.current == nil {
			delete(p.slots, address)
		}
		s.mu.Unlock()
	}
}

func (w *wire) idleSince(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiters) > 0 {
		return 0
	}
	return now.Sub(w.idle)
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

func (w *wire) alive() bool {
	select {
	case <-w.Done():
		return false
	default:
		return !w.Silent(time.Now())
	}
}

// expect hands the frames of the attempt to wt until forget is called.
func (w *wire) expect(wt *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters[wt.attempt] = wt
}

func (w *wire) forget(wt *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.waiters, wt.attempt)
	w.idle = time.Now()
	if w.retired && len(w.waiters) == 0 {
		w.Close()
	}
}

func (w *wire) retire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired = true
	if len(w.waiters) == 0 {
		w.Close()
	}
}

func (w *wire) receive() {
	for {
		f, err := w.Receive()
		if err != nil {
			return
		}
		at, ok := attemptOf(f)
		if !ok {
			continue
		}
		w.mu.Lock()
		wt := w.waiters[at]
		w.mu.Unlock()
		if wt == nil {
			w.drop(f)
			continue
		}
		wt.take(f)
	}
}

// drop counts a frame nobody waits for. The result of an attempt that was given up is
// acknowledged, so that the agent does not keep it.
func (w *wire) drop(f link.Frame) {
	w.pool.Dropped.Add(1)
	switch f := f.(type) {
	case link.Answer:
		_ = w.Send(link.Done{Attempt: f.Attempt})
	case link.Fail:
		_ = w.Send(link.Done{Attempt: f.Attempt})
	}
}

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
