package agent

import (
	"context"
	"time"

	"wagtailhoist/core/model"
)

// minionCheckInterval is how often an agent checks whether its minion accepts connections again.
const minionCheckInterval = 250 * time.Millisecond

// markMinionDown makes the agent announce the state down and refuse attempts until the minion accepts connections again;
// the caller holds the lock. Otherwise each entry would go on sending requests, at least as probes, to an agent that can
// only fail them.
func (a *Agent) markMinionDown() {
	a.log.Warn("minion takes no connections")
	a.attemptLedger.SetDown(true)
	a.setState(model.Down)
	go func() {
		for a.State() == model.Down {
			if a.runner.CheckReachable(context.Background()) == nil {
				a.markMinionUp()
				return
			}
			time.Sleep(minionCheckInterval)
		}
	}()
}

// markMinionUp ends the refusal of attempts and announces the state ready, unless the agent is draining.
func (a *Agent) markMinionUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptLedger.SetDown(false)
	if a.record.State != model.Down {
		return // draining has begun meanwhile
	}
	a.log.Info("minion takes connections again")
	a.setState(model.Ready)
}
