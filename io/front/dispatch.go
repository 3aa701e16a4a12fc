package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/core/route"
	"wagtailhoist/io/link"
)

// Call is a caller's request.
type Call struct {
	Service    string
	Team       model.Team
	Key        string
	Idempotent bool
	Deadline   time.Time
	Method     string
	// Path includes the query.
	Path   string
	Host   string
	Header map[string][]string
	Body   []byte

	// room is the memory of the answer.
	room *answerRoom
}

// Reply is the outcome of a call. Status, Header and Body are set if the outcome is answered.
type Reply struct {
	Outcome retry.Outcome
	Reason  string
	Attempt model.Attempt
	Status  int
	Header  map[string][]string
	Body    []byte
	// Code replaces the default HTTP status of the outcome, unless it is 0.
	Code int
}

// Dispatcher sends calls to agents and retries them at other agents where that is safe.
type Dispatcher struct {
	Self   model.Incarnation
	Router Router
	Pool   *Pool
	// Log gets a debug line for each finished attempt; nil disables it.
	Log *slog.Logger

	sequence atomic.Uint64
}

// NextAttempt returns a new attempt identifier.
func (d *Dispatcher) NextAttempt() model.Attempt {
	return model.Attempt{Entry: d.Self, Sequence: d.sequence.Add(1)}
}

// Dispatch runs the call and returns its outcome. first is the identifier of the first attempt.
func (d *Dispatcher) Dispatch(ctx context.Context, c Call, first model.Attempt) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	attempts := retry.Attempts{Idempotent: c.Idempotent, Deadline: c.Deadline}
	reply := Reply{Reason: "deadline passed before the request was sent", Attempt: first}
	request := route.Request{Service: c.Service, Team: c.Team, Bytes: len(c.Body)}
	checksum := link.Sum(c.Body)
	for attempt := first; attempts.CanSend(time.Now()); attempt = d.NextAttempt() {
		if attempts.Count() > 0 {
			sleepContext(ctx, route.RetryDelay(attempts.Count(), rand.Float64()))
		}
		agent, err := d.Router.Pick(time.Now(), request)
		if err != nil {
			if attempts.Count() == 0 {
				reply.Reason = err.Error()
			}
			break
		}
		request.Tried = append(request.Tried, agent.ID)
		t := agentAttempt{pool: d.Pool, record: agent, body: c.Body, room: c.room, fenceUntilDeadline: !c.Idempotent, reportStall: func() {
			d.Router.Suspect(time.Now(), agent.ID)
		}, begin: link.Begin{
			Attempt: attempt, Deadline: c.Deadline, Team: c.Team, Key: c.Key, Method: c.Method, Path: c.Path,
			Host: c.Host, Header: c.Header, Length: len(c.Body), Sum: checksum, Body: link.FirstFramePart(c.Body),
		}}
		start := time.Now()
		result := t.run(ctx)
		attempts.Record(result.result)
		d.logEnd(ctx, start, &t, result)
		d.Router.Report(time.Now(), agent.ID, result.routeResult(ctx, time.Since(start)))
		reply.Attempt, reply.Reason = attempt, result.reason
		if result.noRoom {
			// A repeated request would need the same room.
			break
		}
		if result.answer != nil {
			reply.Status, reply.Header, reply.Body = result.answer.frame.Status, result.answer.frame.Header, result.answer.body
		}
	}
	reply.Outcome = attempts.Outcome()
	return reply
}

// logEnd logs the agent and the result of an attempt, to trace requests that were sent to a failing agent.
func (d *Dispatcher) logEnd(ctx context.Context, sent time.Time, t *agentAttempt, res attemptResult) {
	if d.Log == nil || !d.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	d.Log.Debug("attempt ended", "agent", t.record.ID, "attempt", t.begin.Attempt, "sent", sent, "end", res.result.String(),
		"reason", res.reason, "fresh", t.reconnects)
}
