package route

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// ejectAfterFailures is the number of consecutive failures that ejects an agent.
	ejectAfterFailures = 5
	// minBackoff and maxBackoff bound the time until an ejected agent is probed; it doubles with each failed probe.
	minBackoff = time.Second
	maxBackoff = time.Minute
	// probeTimeout is the time after which another probe may be sent although the last one has no report, so that a caller
	// that never reports can't keep an agent ejected for ever.
	probeTimeout = 15 * time.Second
)

// Outcome is how an attempt ended, as far as it says something about its agent.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the agent delivered the minion's answer.
	Answered Outcome = iota
	// Refused means that the agent refused the attempt, for example because all slots were in use or the deadline had passed.
	Refused
	// Failed means that the link broke, the dial failed or the minion failed.
	Failed
	// Stalled means that the agent did not respond and no link to it could be opened.
	Stalled
	// Cancelled means that the caller gave up; it says nothing about the agent.
	Cancelled
	// Withdrawn means that the agent refuses all work because it drains or its minion is down. It counts neither as a
	// failure nor as a stall. No request is sent as a probe, because the agent announces when it accepts work again.
	Withdrawn
)

// Result describes the end of an attempt.
type Result struct {
	Outcome Outcome
	// Load is the load in the last frame from the agent; its Slots are 0 if there was none.
	Load model.Load
	// Bytes is the size of the answer, which is charged to the byte budget if it came from another region.
	Bytes int
	// Sequence is the sequence of the agent's last announcement before a withdrawn outcome; 0 if the agent didn't send it.
	Sequence uint64
}

// health holds the results of the router's own attempts at one agent.
type health struct {
	incarnation model.Incarnation
	// inFlight is the number of attempts without a report.
	inFlight int
	// failures is the number of consecutive failures.
	failures int
	// backoff is the length of the last ejection.
	backoff time.Duration
	// ejectedUntil is when the agent may be probed, and is zero while the agent is not ejected. ejectedAt is when the ejection
	// began.
	ejectedUntil, ejectedAt time.Time
	// withdrawn is set by a withdrawn outcome. It holds until an announcement arrives whose sequence is above
	// that in the field sequence; earlier ones were sent before the agent withdrew.
	withdrawn bool
	sequence  uint64
	// probedAt is when the pending probe of the ejected agent was sent; zero if there is none.
	probedAt time.Time
	load     model.Load
	// loadAt is when load was reported; it decides whether load or the announced load is newer.
	loadAt time.Time
}

// eligible reports whether the agent may get an attempt at now. sequence and heardAt are those of its last announcement. An
// ejected agent that hasn't announced itself since gets no probe, because it has most likely stopped.
func (h *health) eligible(now time.Time, sequence uint64, heardAt time.Time) bool {
	// Agents of older versions send no sequence. They withdraw only to drain, and so never return.
	if h.withdrawn && (h.sequence == 0 || sequence <= h.sequence) {
		return false
	}
	if h.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(h.ejectedUntil) && !heardAt.Before(h.ejectedAt) && (h.probedAt.IsZero() || now.Sub(h.probedAt) > probeTimeout)
}

// beginAttempt counts an attempt; an attempt at an ejected agent is its probe.
func (h *health) beginAttempt(now time.Time) {
	h.inFlight++
	if !h.ejectedUntil.IsZero() {
		h.probedAt = now
	}
}

// endAttempt records the result of an attempt, and ejects or restores the agent.
func (h *health) endAttempt(now time.Time, result Result) {
	h.inFlight = max(0, h.inFlight-1)
	if result.Load.Slots > 0 {
		h.load, h.loadAt = result.Load, now
	}
	switch result.Outcome {
	case Answered, Refused:
		// withdrawn stays as it is, because the attempt may have begun before the agent withdrew.
		h.failures, h.backoff, h.ejectedUntil, h.probedAt = 0, 0, time.Time{}, time.Time{}
	case Cancelled:
		h.probedAt = time.Time{}
	case Withdrawn:
		h.probedAt = time.Time{}
		if !h.withdrawn || h.sequence < result.Sequence {
			h.withdrawn, h.sequence = true, result.Sequence
		}
	case Failed, Stalled:
		h.failures++
		probing := !h.ejectedUntil.IsZero() && !h.probedAt.IsZero()
		if probing || (h.ejectedUntil.IsZero() && (h.failures >= ejectAfterFailures || result.Outcome == Stalled)) {
			h.eject(now)
		}
	}
}

// eject ejects the agent for the next backoff.
func (h *health) eject(now time.Time) {
	h.backoff = min(maxBackoff, max(minBackoff, 2*h.backoff))
	h.ejectedUntil, h.ejectedAt, h.probedAt = now.Add(h.backoff), now, time.Time{}
}
