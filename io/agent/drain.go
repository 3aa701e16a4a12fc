package agent

import (
	"context"
	"time"

	"wagtailhoist/core/model"
)

const (
	// drainPollInterval is how often a draining agent checks whether its attempts have finished.
	drainPollInterval = 20 * time.Millisecond
	// acknowledgeTimeout is how long a draining agent waits for the acknowledgement of its last answers: an entry
	// needs link.SilenceTimeout to detect a silent link, and the rest of the time to attach over another one.
	acknowledgeTimeout = 10 * time.Second
	// minDrainTime is the minimum time from the start of draining to the end of the process. Until entries have
	// received the announcement, their requests are refused; a closed port would leave the outcome of a request that was
	// just sent unknown. It equals the bound of property P6 in docs/design.md.
	minDrainTime = 3 * time.Second
	// departureDelay is the time for the announcement of the state gone to be sent before the process ends.
	departureDelay = 100 * time.Millisecond
)

// Drain announces the state draining and refuses new attempts. It returns when the accepted attempts have finished and
// their answers were acknowledged, or when ctx ends, and announces the state gone before it returns.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.attemptLedger.Drain()
	a.setState(model.Draining)
	a.mu.Unlock()
	defer func() {
		a.announceState(model.Stopped)
		time.Sleep(departureDelay)
	}()
	start := time.Now()
	lastRunning := start
	for {
		a.mu.Lock()
		running, unread := a.attemptLedger.Pending()
		a.mu.Unlock()
		if running > 0 {
			lastRunning = time.Now()
		}
		if running == 0 && (unread == 0 || time.Since(lastRunning) > acknowledgeTimeout) && time.Since(start) > minDrainTime {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
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
