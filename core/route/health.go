package route

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// ejectAfter is the number of consecutive failures that ejects an agent.
	ejectAfter = 5
	// firstBackoff and lastBackoff bound the time until an ejected agent is probed again.
	firstBackoff = time.Second
	lastBackoff  = time.Minute
	// probeLimit is the time after which a probe without a report counts as failed, so that a
	// caller that never reports can't keep an agent ejected for ever.
	probeLimit = 15 * time.Second
)

// Outcome is how an attempt at an agent ended, as far as it tells about the agent.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the agent delivered the minion's answer.
	Answered Outcome = iota
	// Refused means that the agent answered but did not run the attempt (busy, draining, deadline).
	Refused
	// Failed means a broken link, a failed dial or a minion that failed.
	Failed
	// Stalled means that the agent gave no sign of life within the link's silence limit.
	Stalled
	// Cancelled means that the caller went away; it tells nothing about the agent.
	Cancelled
)

// Result is what the end of an attempt tells the router.
type Result struct {
	Outcome Outcome
	// Load is the load that came with the last frame of the agent; Slots is 0 if none came.
	Load model.Load
	// Bytes is the size of the answer, charged to the byte budget if it crossed regions.
	Bytes int
}

// health is what the router knows of one agent from its own attempts.
type health struct {
	incarnation model.Incarnation
	// flying counts own attempts without a report.
	flying   int
	failures int
	backoff  time.Duration
	// until is the end of the ejection; zero when the agent is not ejected.
	until time.Time
	// probe is when a probe of the ejected agent was sent; zero when none flies.
	probe time.Time
	load  model.Load
	// loadAt is when load was reported, to compare it with the announced record.
	loadAt time.Time
}

// open reports whether the agent may get an attempt at now.
func (h *health) open(now time.Time) bool {
	if h.until.IsZero() {
		return true
	}
	return !now.Before(h.until) && (h.probe.IsZero() || now.Sub(h.probe) > probeLimit)
}

func (h *health) begin(now time.Time) {
	h.flying++
	if !h.until.IsZero() {
		h.probe = now
	}
}

func (h *health) end(now time.Time, result Result) {
	h.flying = max(0, h.flying-1)
	if result.Load.Slots > 0 {
		h.load, h.loadAt = result.Load, now
	}
	switch result.Outcome {
	case Answered, Refused:
		h.failures, h.backoff, h.until, h.probe = 0, 0, time.Time{}, time.Time{}
	case Cancelled:
		h.probe = time.Time{}
	case Failed, Stalled:
		h.failures++
		probing := !h.until.IsZero() && !h.probe.IsZero()
		if probing || (h.until.IsZero() && (h.failures >= ejectAfter || result.Outcome == Stalled)) {
			h.backoff = min(lastBackoff, max(firstBackoff, 2*h.backoff))
			h.until, h.probe = now.Add(h.backoff), time.Time{}
		}
	}
}
