package queue

import (
	"context"
	"sync"
	"time"

	"wagtailhoist/core/admit"
	"wagtailhoist/core/model"
)

// Gate admits requests; it is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	queue admit.Queue
	wake  map[*admit.Ticket]chan struct{}
}

// Enter waits until the request may run. The caller then calls release once. The error is a
// FullError or a LateError of core/admit, also when the deadline passes while the request
// waits, or the error of ctx.
func (g *Gate) Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (release func(), err error) {
	g.mu.Lock()
	ticket, err := g.queue.Enter(now, team, deadline)
	if err != nil {
		g.mu.Unlock()
		return nil, err
	}
	release = func() { g.leave(ticket) }
	if !ticket.Begun.IsZero() {
		g.mu.Unlock()
		return release, nil
	}
	wake := make(chan struct{})
	if g.wake == nil {
		g.wake = map[*admit.Ticket]chan struct{}{}
	}
	g.wake[ticket] = wake
	g.mu.Unlock()

	late := time.NewTimer(deadline.Sub(now))
	defer late.Stop()
	select {
	case <-wake:
		return release, nil
	case <-late.C:
		err = &admit.LateError{Team: team}
	case <-ctx.Done():
		err = ctx.Err()
	}
	release()
	return nil, err
}

// Resize sets the number of requests in progress; 0 means the default.
func (g *Gate) Resize(places int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Places = places
	g.admit(time.Now())
}

// SetWeights replaces the teams' weights.
func (g *Gate) SetWeights(weights map[model.Team]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetWeights(weights)
}

func (g *Gate) leave(ticket *admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	delete(g.wake, ticket)
	g.queue.Leave(now, ticket)
	g.admit(now)
}

func (g *Gate) admit(now time.Time) {
	for _, ticket := range g.queue.Admit(now) {
		close(g.wake[ticket])
		delete(g.wake, ticket)
	}
}
