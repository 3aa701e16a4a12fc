package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"wagtailhoist/core/ledger"
	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/core/route"
	"wagtailhoist/io/link"
)

const (
	// acceptTimeout is how long an entry waits for the agent to accept or refuse an attempt before it queries
	// the attempt over a new link. A round trip between regions takes 40 ms.
	acceptTimeout = time.Second
	// fenceTimeout is how long an entry waits for the answer to a fence before it sends the fence over a new link.
	fenceTimeout = time.Second
	// fenceRetryDelay is the mean delay after a failed dial, before the agent is dialled again for a fence.
	fenceRetryDelay = 100 * time.Millisecond
	// otherAgentAfter is how long an idempotent request tries to fence its attempt before it goes to another agent.
	otherAgentAfter = 2 * time.Second
	// stallReportDelay is how long opening a new link may take before the router is told that the agent has
	// stalled; a link between regions needs three round trips of 40 ms.
	stallReportDelay = 250 * time.Millisecond
)

// agentAttempt is one attempt to run a request at one agent.
type agentAttempt struct {
	pool   *Pool
	record model.Record
	begin  link.Begin
	body   []byte
	// room is the memory of the answer.
	room *answerRoom
	// fenceUntilDeadline makes recovery try to fence the attempt until its deadline, not only for otherAgentAfter.
	fenceUntilDeadline bool
	// reportStall is called when the agent cannot be dialled or does not respond in time.
	reportStall func()

	agentLink *agentLink
	collector *frameCollector
	// reconnects counts the links that replaced the first one.
	reconnects int
}

// attemptResult is the result of an attempt and what it shows about the agent.
type attemptResult struct {
	result retry.Result
	reason string
	load   model.Load
	answer *answered
	// failed is set if the agent or its minion is at fault.
	failed bool
	// withdrawn is set if the agent refused because it drains or its minion is down.
	withdrawn bool
	// sequence is the sequence number of the agent's last announcement before it refused.
	sequence uint64
	// unreachable is set if no link to the agent could be opened.
	unreachable bool
	// noRoom is set if the answer was given up because the entry has no memory for it.
	noRoom bool
}

// routeResult returns the result that the router records for the agent. If the caller disconnected, or its deadline
// passed before the agent had acceptTimeout to respond, a failure is not attributed to the agent.
func (res attemptResult) routeResult(ctx context.Context, elapsed time.Duration) route.Result {
	r := route.Result{Outcome: route.Refused, Load: res.load}
	switch {
	case res.withdrawn:
		r.Outcome, r.Sequence = route.Withdrawn, res.sequence
	case res.answer != nil:
		r.Outcome, r.Bytes = route.Answered, len(res.answer.body)
	case res.failed && ctx.Err() != nil && (errors.Is(ctx.Err(), context.Canceled) || elapsed < acceptTimeout):
		r.Outcome = route.Cancelled
	case res.noRoom:
		r.Outcome = route.Cancelled
	case res.unreachable:
		r.Outcome = route.Stalled
	case res.failed:
		r.Outcome = route.Failed
	}
	return r
}

// run sends the attempt and returns its result, at the deadline of ctx at the latest.
func (t *agentAttempt) run(ctx context.Context) attemptResult {
	conn, err := t.pool.Get(ctx, t.record.Address)
	if err == nil && conn.Peer().Incarnation < t.record.Incarnation {
		// The link leads to an earlier process of the agent and has not been closed yet.
		conn, err = t.pool.Replace(ctx, t.record.Address, conn)
	}
	if err != nil {
		return attemptResult{result: retry.NotRun, reason: "agent cannot be reached: " + err.Error(), failed: true, unreachable: true}
	}
	if conn.Peer().Node != t.record.ID {
		return attemptResult{result: retry.NotRun, reason: "address belongs to another agent", failed: true}
	}
	// The record may describe an earlier process than the one that the link leads to.
	t.begin.Incarnation = conn.Peer().Incarnation
	t.listenOn(conn)
	defer t.stopListening()
	if !time.Now().Before(t.begin.Deadline) {
		return attemptResult{result: retry.NotRun, reason: "deadline passed before the request was sent"}
	}
	if conn.Send(t.begin) == nil {
		// Sending a long body may block; the agent's refusal must be read meanwhile.
		go func() { _ = conn.SendBodyFrames(t.begin.Attempt, t.body) }()
	}
	return t.awaitResult(ctx)
}

// listenOn receives the attempt's frames from conn, and no longer from an earlier link.
func (t *agentAttempt) listenOn(conn *agentLink) {
	t.stopListening()
	t.agentLink, t.collector = conn, newFrameCollector(t.begin.Attempt, t.room)
	conn.addCollector(t.collector)
}

func (t *agentAttempt) stopListening() {
	if t.agentLink != nil {
		t.agentLink.removeCollector(t.collector)
		t.agentLink = nil
	}
}

// awaitResult waits for the result of the attempt. If the link fails or the agent does not accept in time, it recovers the
// attempt over a new link.
func (t *agentAttempt) awaitResult(ctx context.Context) attemptResult {
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			if res, ok := t.queuedResult(); ok {
				return res
			}
			return attemptResult{result: retry.Unknown, reason: "no answer before the deadline", failed: true}
		case event := <-t.collector.events:
			if _, ok := event.(accepted); ok {
				timer.Stop()
				continue
			}
			if _, ok := event.(corrupt); !ok {
				if res, ok := t.handleEvent(event); ok {
					return res
				}
				continue
			}
		case <-timer.C:
		case <-t.agentLink.Done():
		case <-t.room.lostRoom():
			_ = t.agentLink.Send(link.Done{Attempt: t.begin.Attempt})
			return attemptResult{result: retry.Unknown, reason: reasonAnswerRoom, noRoom: true}
		}
		timer.Stop()
		if res, ok := t.queuedResult(); ok {
			return res
		}
		if res, ok := t.recoverResult(ctx); ok {
			return res
		}
	}
}

// queuedResult returns the result from events that arrived before the link closed or the deadline passed, if there is one.
func (t *agentAttempt) queuedResult() (attemptResult, bool) {
	for {
		select {
		case event := <-t.collector.events:
			if res, ok := t.handleEvent(event); ok {
				return res, true
			}
		default:
			return attemptResult{}, false
		}
	}
}

// handleEvent returns the result of the attempt if the event determines it, and acknowledges answers and failures.
func (t *agentAttempt) handleEvent(event any) (attemptResult, bool) {
	switch e := event.(type) {
	case answered:
		_ = t.agentLink.Send(link.Done{Attempt: t.begin.Attempt})
		return attemptResult{result: retry.Answered, answer: &e, load: e.frame.Load}, true
	case refused:
		return attemptResult{
			result: retry.NotRun, reason: "agent refused: " + e.frame.Reason, load: e.frame.Load,
			sequence:  e.frame.Sequence,
			withdrawn: e.frame.Reason == string(ledger.Draining) || e.frame.Reason == string(ledger.Down),
		}, true
	case failed:
		_ = t.agentLink.Send(link.Done{Attempt: t.begin.Attempt})
		result := retry.NotRun
		if e.frame.Ran {
			result = retry.Unknown
		}
		return attemptResult{result: result, reason: e.frame.Reason, load: e.frame.Load, failed: true}, true
	case fenceAnswer:
		return fenceResult(e.state)
	}
	return attemptResult{}, false
}

// fenceResult returns the result of an attempt that the agent reports as s, unless the attempt is running or finished there.
func fenceResult(s ledger.State) (attemptResult, bool) {
	switch s {
	case ledger.NeverBegun:
		return attemptResult{result: retry.NotRun, reason: "request did not reach the minion", failed: true}, true
	case ledger.Unknown:
		return attemptResult{result: retry.Unknown, reason: "agent does not know the outcome", failed: true}, true
	}
	return attemptResult{}, false
}

// recoverResult fences the attempt over a new link, so that the agent will not start it any more if it has not yet. It
// returns the result, or false after it has attached to the attempt, which is running or finished at the agent.
func (t *agentAttempt) recoverResult(ctx context.Context) (attemptResult, bool) {
	giveUpAt := time.Now().Add(otherAgentAfter)
	stallTimer := time.AfterFunc(stallReportDelay, t.reportStall)
	defer stallTimer.Stop()
	for ctx.Err() == nil && (t.fenceUntilDeadline || time.Now().Before(giveUpAt)) {
		conn, err := t.pool.Replace(ctx, t.record.Address, t.agentLink)
		if err != nil {
			t.reportStall()
			sleepContext(ctx, fenceRetryDelay/2+rand.N(fenceRetryDelay))
			continue
		}
		if conn.Peer().Incarnation != t.begin.Incarnation {
			return attemptResult{result: retry.Unknown, reason: "agent restarted", failed: true}, true
		}
		stallTimer.Stop()
		t.listenOn(conn)
		t.reconnects++
		if conn.Send(link.Fence{Attempt: t.begin.Attempt, Incarnation: t.begin.Incarnation, Deadline: t.begin.Deadline}) != nil {
			continue
		}
		state, ok := t.fenceAnswer(ctx)
		if !ok {
			continue
		}
		if res, ok := fenceResult(state); ok {
			return res, true
		}
		_ = conn.Send(link.Attach{Attempt: t.begin.Attempt})
		return attemptResult{}, false
	}
	return attemptResult{result: retry.Unknown, reason: "agent cannot be reached", failed: true}, true
}

// fenceAnswer waits for the answer to a fence. It returns false after fenceTimeout, or if the link or ctx ends.
func (t *agentAttempt) fenceAnswer(ctx context.Context) (ledger.State, bool) {
	timer := time.NewTimer(fenceTimeout)
	defer timer.Stop()
	for {
		select {
		case event := <-t.collector.events:
			if f, ok := event.(fenceAnswer); ok {
				return f.state, true
			}
		case <-timer.C:
			return 0, false
		case <-t.agentLink.Done():
			return 0, false
		case <-ctx.Done():
			return 0, false
		}
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
