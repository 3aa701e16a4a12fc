package queue

import (
	"context"
	"sync"
	"time"

	"wagtailhoist/core/admit"
	"wagtailhoist/core/model"
)

// Gate bounds the requests in progress. Requests above the bound wait in the queue of core/admit. The zero value is ready for
// use with the default bound, and a Gate is safe for concurrent use.
type Gate struct {
	mu    sync.Mutex
	queue admit.Queue
	// admitted holds a channel for each waiting request, which is closed when the request is admitted.
	admitted map[*admit.Ticket]chan struct{}
}

// Enter waits until a request is admitted. The caller calls release when the request has ended; further calls of release do
// nothing. The error is an admit.FullError, an admit.DeadlineError, also if the deadline passes while the request waits, or the
// error of ctx.
func (g *Gate) Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (release func(), err error) {
	g.mu.Lock()
	ticket, err := g.queue.Enter(now, team, deadline)
	if err != nil {
		g.mu.Unlock()
		return nil, err
	}
	release = func() { g.releaseTicket(ticket) }
	if !ticket.AdmittedAt.IsZero() {
		g.mu.Unlock()
		return release, nil
	}
	admitted := make(chan struct{})
	if g.admitted == nil {
		g.admitted = map[*admit.Ticket]chan struct{}{}
	}
	g.admitted[ticket] = admitted
	g.mu.Unlock()

	deadlineTimer := time.NewTimer(deadline.Sub(now))
	defer deadlineTimer.Stop()
	select {
	case <-admitted:
		return release, nil
	case <-deadlineTimer.C:
		err = &admit.DeadlineError{Team: team}
	case <-ctx.Done():
		err = ctx.Err()
	}
	release()
	return nil, err
}

// Resize sets the bound of the requests in progress; 0 means the default.
func (g *Gate) Resize(maxRunning int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.MaxRunning = maxRunning
	g.admit(time.Now())
}

// SetWeights replaces the weights by which the teams share the admissions.
func (g *Gate) SetWeights(weights map[model.Team]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetWeights(weights)
}

// releaseTicket removes a running or waiting request and admits the next ones.
func (g *Gate) releaseTicket(ticket *admit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	delete(g.admitted, ticket)
	g.queue.Leave(now, ticket)
	g.admit(now)
}

// admit admits waiting requests up to the bound and wakes their callers.
func (g *Gate) admit(now time.Time) {
	for _, ticket := range g.queue.Admit(now) {
		close(g.admitted[ticket])
		delete(g.admitted, ticket)
	}
}
