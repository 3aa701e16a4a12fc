package agent

import (
	"context"
	"time"

	"wagtailhoist/core/model"
)

const (
	// drainPoll is the interval at which a draining agent looks at its attempts.
	drainPoll = 20 * time.Millisecond
	// unreadLimit is how long a draining agent waits for the acknowledgement of its last
	// answers: an entry needs link.Silence to notice a silent link, and the rest to attach again.
	unreadLimit = 10 * time.Second
	// linger is the least time from the start of draining to the end of the process. Entries
	// that have not heard of it yet get refusals, where a closed port would leave a request
	// that was just sent without a known outcome. It is the bound of P6.
	linger = 3 * time.Second
	// farewell lets the announcement of the state gone leave before the process ends.
	farewell = 100 * time.Millisecond
)

// Drain refuses new attempts, announces it, and returns when the accepted ones have
// finished and their answers were read, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.book.Drain()
	a.setState(model.Draining)
	a.mu.Unlock()
	defer func() {
		a.publish(model.Gone)
		time.Sleep(farewell)
	}()
	start := time.Now()
	idle := start
	for {
		a.mu.Lock()
		busy, unread := a.book.Pending()
		a.mu.Unlock()
		if busy > 0 {
			idle = time.Now()
		}
		if busy == 0 && (unread == 0 || time.Since(idle) > unreadLimit) && time.Since(start) > linger {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// State returns the announced state.
func (a *Agent) State() model.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.State
}

// Ready reports whether the agent accepts new attempts.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.State == model.Ready
}
