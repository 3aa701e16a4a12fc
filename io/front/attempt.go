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
	// acceptLimit is the time in which an agent has to accept or refuse before its entry
	// asks over a fresh link; it is many round trips between regions (40 ms).
	acceptLimit = time.Second
	// fenceLimit is the time in which a fence has to be answered before it is sent again.
	fenceLimit = time.Second
	// fencePause separates the tries to reach an agent for a fence.
	fencePause = 100 * time.Millisecond
	// elsewhereAfter is how long an idempotent request waits for its fence before it goes to another agent.
	elsewhereAfter = 2 * time.Second
	// suspectAfter is the time that a fresh link may take before the agent counts as stalled; a link
	// between regions needs three round trips of 40 ms.
	suspectAfter = 250 * time.Millisecond
)

// trial is one attempt of a request at one agent.
type trial struct {
	pool    *Pool
	record  model.Record
	begin   link.Begin
	body    []byte
	patient bool // waits for a fence until the deadline
	// suspect is called while the agent gives no sign of life.
	suspect func()

	wire *wire
	wait *waiter
	// fresh counts the links that replaced the first one.
	fresh int
}

// ending is how a trial ended.
type ending struct {
	end    retry.Result
	reason string
	load   model.Load
	answer *answered
	// failed says that the agent or its minion is at fault.
	failed bool
	// withdrawn says that the agent takes no work, because it drains or its minion is down.
	withdrawn bool
	// sequence is that of the last announcement before a refusal.
	sequence uint64
	// unreached says that no link to the agent could be opened.
	unreached bool
}

// result returns what the ending tells about the agent. A caller that leaves or asks for an
// answer within less than a link's time to accept tells nothing.
func (e ending) result(ctx context.Context, took time.Duration) route.Result {
	r := route.Result{Outcome: route.Refused, Load: e.load}
	switch {
	case e.withdrawn:
		r.Outcome, r.Sequence = route.Withdrawn, e.sequence
	case e.answer != nil:
		r.Outcome, r.Bytes = route.Answered, len(e.answer.body)
	case e.failed && ctx.Err() != nil && (errors.Is(ctx.Err(), context.Canceled) || took < acceptLimit):
		r.Outcome = route.Cancelled
	case e.unreached:
		r.Outcome = route.Stalled
	case e.failed:
		r.Outcome = route.Failed
	}
	return r
}

// run sends the attempt and returns its end, at the deadline of ctx at the latest.
func (t *trial) run(ctx context.Context) ending {
	w, err := t.pool.Get(ctx, t.record.Address)
	if err == nil && w.Peer().Incarnation < t.record.Incarnation {
		// The link is to a process that has ended; its end has not arrived yet.
		w, err = t.pool.Fresh(ctx, t.record.Address, w)
	}
	if err != nil {
		return ending{end: retry.NotRun, reason: "agent cannot be reached: " + err.Error(), failed: true, unreached: true}
	}
	if w.Peer().Node != t.record.ID {
		return ending{end: retry.NotRun, reason: "address belongs to another agent", failed: true}
	}
	// The record may still be of an earlier process; the attempt belongs to the one that is linked.
	t.begin.Incarnation = w.Peer().Incarnation
	t.hold(w)
	defer t.drop()
	if !time.Now().Before(t.begin.Deadline) {
		return ending{end: retry.NotRun, reason: "deadline passed before the request was sent"}
	}
	if w.Send(t.begin) == nil {
		// A long body may fill the link; the agent's refusal has to be seen meanwhile.
		go func() { _ = w.SendRest(t.begin.Attempt, t.body) }()
	}
	return t.follow(ctx)
}

// hold waits for the attempt's frames on w alone.
func (t *trial) hold(w *wire) {
	t.drop()
	t.wire, t.wait = w, newWaiter(t.begin.Attempt)
	w.expect(t.wait)
}

func (t *trial) drop() {
	if t.wire != nil {
		t.wire.forget(t.wait)
		t.wire = nil
	}
}

// follow waits for the end of the attempt, over fresh links where the first one fails.
func (t *trial) follow(ctx context.Context) ending {
	limit := time.NewTimer(acceptLimit)
	defer limit.Stop()
	for {
		select {
		case <-ctx.Done():
			if e, ok := t.arrived(); ok {
				return e
			}
			return ending{end: retry.Unknown, reason: "no answer before the deadline", failed: true}
		case event := <-t.wait.events:
			if _, ok := event.(accepted); ok {
				limit.Stop()
				continue
			}
			if _, ok := event.(corrupt); !ok {
				if e, ok := t.settle(event); ok {
					return e
				}
				continue
			}
		case <-limit.C:
		case <-t.wire.Done():
		}
		limit.Stop()
		if e, ok := t.arrived(); ok {
			return e
		}
		if e, ok := t.recover(ctx); ok {
			return e
		}
	}
}

// arrived returns the end of an attempt whose last event came together with the end of its link or its deadline.
func (t *trial) arrived() (ending, bool) {
	for {
		select {
		case event := <-t.wait.events:
			if e, ok := t.settle(event); ok {
				return e, true
			}
		default:
			return ending{}, false
		}
	}
}

// settle returns the end that an event means, if any.
func (t *trial) settle(event any) (ending, bool) {
	switch e := event.(type) {
	case answered:
		_ = t.wire.Send(link.Done{Attempt: t.begin.Attempt})
		return ending{end: retry.Answered, answer: &e, load: e.frame.Load}, true
	case refused:
		return ending{
			end: retry.NotRun, reason: "agent refused: " + e.frame.Reason, load: e.frame.Load,
			sequence:  e.frame.Sequence,
			withdrawn: e.frame.Reason == string(ledger.Draining) || e.frame.Reason == string(ledger.Down),
		}, true
	case failed:
		_ = t.wire.Send(link.Done{Attempt: t.begin.Attempt})
		end := retry.NotRun
		if e.frame.Ran {
			end = retry.Unknown
		}
		return ending{end: end, reason: e.frame.Reason, load: e.frame.Load, failed: true}, true
	case fenced:
		return fencedEnd(e.state)
	}
	return ending{}, false
}

func fencedEnd(s ledger.State) (ending, bool) {
	switch s {
	case ledger.NeverBegun:
		return ending{end: retry.NotRun, reason: "request did not reach the minion", failed: true}, true
	case ledger.Unknown:
		return ending{end: retry.Unknown, reason: "agent does not know the outcome", failed: true}, true
	}
	return ending{}, false
}

// recover learns over a fresh link what became of the attempt. It returns an end, or
// attaches the trial to the fresh link.
func (t *trial) recover(ctx context.Context) (ending, bool) {
	giveUp := time.Now().Add(elsewhereAfter)
	late := time.AfterFunc(suspectAfter, t.suspect)
	defer late.Stop()
	for ctx.Err() == nil && (t.patient || time.Now().Before(giveUp)) {
		w, err := t.pool.Fresh(ctx, t.record.Address, t.wire)
		if err != nil {
			t.suspect()
			sleep(ctx, fencePause/2+rand.N(fencePause))
			continue
		}
		if w.Peer().Incarnation != t.begin.Incarnation {
			return ending{end: retry.Unknown, reason: "agent restarted", failed: true}, true
		}
		late.Stop()
		t.hold(w)
		t.fresh++
		if w.Send(link.Fence{Attempt: t.begin.Attempt, Incarnation: t.begin.Incarnation, Deadline: t.begin.Deadline}) != nil {
			continue
		}
		state, ok := t.fenced(ctx)
		if !ok {
			continue
		}
		if e, ok := fencedEnd(state); ok {
			return e, true
		}
		_ = w.Send(link.Attach{Attempt: t.begin.Attempt})
		return ending{}, false
	}
	return ending{end: retry.Unknown, reason: "agent cannot be reached", failed: true}, true
}

func (t *trial) fenced(ctx context.Context) (ledger.State, bool) {
	limit := time.NewTimer(fenceLimit)
	defer limit.Stop()
	for {
		select {
		case event := <-t.wait.events:
			if f, ok := event.(fenced); ok {
				return f.state, true
			}
		case <-limit.C:
			return 0, false
		case <-t.wire.Done():
			return 0, false
		case <-ctx.Done():
			return 0, false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
