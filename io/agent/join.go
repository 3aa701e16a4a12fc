package agent

import (
	"context"
	"sync"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
)

const (
	// announceEvery is the interval between announcements.
	announceEvery = time.Second
	// redial is the pause before a failed entry is dialled again.
	redial = 500 * time.Millisecond
)

// Join announces the agent at each of the entries until ctx ends.
func (a *Agent) Join(ctx context.Context, entries []string, s link.Settings) {
	var wait sync.WaitGroup
	for _, address := range entries {
		wait.Go(func() {
			for ctx.Err() == nil {
				a.announce(ctx, address, s)
				select {
				case <-ctx.Done():
				case <-time.After(redial):
				}
			}
		})
	}
	wait.Wait()
}

// announce sends the record over one link until the link breaks or ctx ends.
func (a *Agent) announce(ctx context.Context, address string, s link.Settings) {
	l, err := link.Dial(ctx, address, s)
	if err != nil {
		a.log.Debug("entry refused the link", "entry", address, "error", err)
		return
	}
	defer l.Close()
	go func() {
		for {
			if _, err := l.Receive(); err != nil {
				return
			}
		}
	}()
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		rec, changed := a.next()
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

// next returns the record with a sequence of its own, and a channel that is closed when its state changes.
func (a *Agent) next() (model.Record, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.Sequence++
	a.record.Load = a.book.Load()
	return a.record, a.changed
}

// publish changes the announced state at once.
func (a *Agent) publish(s model.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record.State = s
	close(a.changed)
	a.changed = make(chan struct{})
}
