package agent

import (
	"context"
	"time"

	"wagtailhoist/core/model"
)

// reachEvery is the interval at which an agent looks whether its minion takes connections again.
const reachEvery = 250 * time.Millisecond

// down refuses attempts and announces it until the minion takes connections again; the caller
// holds the lock. Otherwise each entry would go on sending requests, at least as probes, to an
// agent that can only fail them.
func (a *Agent) down() {
	a.log.Warn("minion takes no connections")
	a.book.SetDown(true)
	a.setState(model.Down)
	go func() {
		for a.State() == model.Down {
			if a.runner.Reach(context.Background()) == nil {
				a.up()
				return
			}
			time.Sleep(reachEvery)
		}
	}()
}

func (a *Agent) up() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.book.SetDown(false)
	if a.record.State != model.Down {
		return // draining since
	}
	a.log.Info("minion takes connections again")
	a.setState(model.Ready)
}
