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
	// Refused means that the agent answered but did not run the attempt (busy, deadline).
	Refused
	// Failed means a broken link, a failed dial or a minion that failed.
	Failed
	// Stalled means that the agent gave no sign of life: no link to it could be opened.
	Stalled
	// Cancelled means that the caller went away; it tells nothing about the agent.
	Cancelled
	// Withdrawn means that the agent takes no work at present: it drains or its minion is down. It
	// is neither a failure nor a stall, and no request is sent as a probe: the agent announces its return.
	Withdrawn
)

// Result is what the end of an attempt tells the router.
type Result struct {
	Outcome Outcome
	// Load is the load that came with the last frame of the agent; Slots is 0 if none came.
	Load model.Load
	// Bytes is the size of the answer, charged to the byte budget if it crossed regions.
	Bytes int
	// Sequence is that of the last announcement that the agent made before it refused as withdrawn; 0 if it told none.
	Sequence uint64
}

// health is what the router knows of one agent from its own attempts.
type health struct {
	incarnation model.Incarnation
	// flying counts own attempts without a report.
	flying   int
	failures int
	backoff  time.Duration
	// until is the end of the ejection, which began at ejected; zero when the agent is not ejected.
	until, ejected time.Time
	// withdrawn is set by an agent's refusal to take work; announcements up to sequence were made before it.
	withdrawn bool
	sequence  uint64
	// probe is when a probe of the ejected agent was sent; zero when none flies.
	probe time.Time
	load  model.Load
	// loadAt is when load was reported, to compare it with the announced record.
	loadAt time.Time
}

// open reports whether the agent may get an attempt at now. sequence and heard are those of its last
// announcement. An ejected agent that was not heard of since gets no probe: it is most likely gone.
func (h *health) open(now time.Time, sequence uint64, heard time.Time) bool {
	// Agents of versions that send no sequence withdraw for good, because they drain.
	if h.withdrawn && (h.sequence == 0 || sequence <= h.sequence) {
		return false
	}
	if h.until.IsZero() {
		return true
	}
	return !now.Before(h.until) && !heard.Before(h.ejected) && (h.probe.IsZero() || now.Sub(h.probe) > probeLimit)
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
		// These leave withdrawn as it is: they may belong to attempts from before.
		h.failures, h.backoff, h.until, h.probe = 0, 0, time.Time{}, time.Time{}
	case Cancelled:
		h.probe = time.Time{}
	case Withdrawn:
		h.probe = time.Time{}
		if !h.withdrawn || h.sequence < result.Sequence {
			h.withdrawn, h.sequence = true, result.Sequence
		}
	case Failed, Stalled:
		h.failures++
		probing := !h.until.IsZero() && !h.probe.IsZero()
		if probing || (h.until.IsZero() && (h.failures >= ejectAfter || result.Outcome == Stalled)) {
			h.eject(now)
		}
	}
}

func (h *health) eject(now time.Time) {
	h.backoff = min(lastBackoff, max(firstBackoff, 2*h.backoff))
	h.until, h.ejected, h.probe = now.Add(h.backoff), now, time.Time{}
}
