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
	// Path is the path with the query.
	Path   string
	Host   string
	Header map[string][]string
	Body   []byte
}

// Reply is the end of a call. Status, Header and Body are set if the outcome is answered.
type Reply struct {
	Outcome retry.Outcome
	Reason  string
	Attempt model.Attempt
	Status  int
	Header  map[string][]string
	Body    []byte
	// Code replaces the status that the outcome stands for, if it is not 0.
	Code int
}

// Dispatcher sends calls to agents.
type Dispatcher struct {
	Self   model.Incarnation
	Router Router
	Pool   *Pool
	// Log takes a debug line for each attempt that has ended; nil means none.
	Log *slog.Logger

	sequence atomic.Uint64
}

// Next returns a new attempt identifier.
func (d *Dispatcher) Next() model.Attempt {
	return model.Attempt{Entry: d.Self, Sequence: d.sequence.Add(1)}
}

// Do runs the call and returns its end. first is the identifier of the first attempt.
func (d *Dispatcher) Do(ctx context.Context, c Call, first model.Attempt) Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	state := retry.Attempts{Idempotent: c.Idempotent, Deadline: c.Deadline}
	reply := Reply{Reason: "deadline passed before the request was sent", Attempt: first}
	ask := route.Request{Service: c.Service, Team: c.Team, Bytes: len(c.Body)}
	sum := link.Sum(c.Body)
	for at := first; state.CanSend(time.Now()); at = d.Next() {
		if state.Count() > 0 {
			sleep(ctx, route.Delay(state.Count(), rand.Float64()))
		}
		rec, err := d.Router.Pick(time.Now(), ask)
		if err != nil {
			if state.Count() == 0 {
				reply.Reason = err.Error()
			}
			break
		}
		ask.Tried = append(ask.Tried, rec.ID)
		t := trial{pool: d.Pool, record: rec, body: c.Body, patient: !c.Idempotent, suspect: func() {
			d.Router.Suspect(time.Now(), rec.ID)
		}, begin: link.Begin{
			Attempt: at, Deadline: c.Deadline, Team: c.Team, Key: c.Key, Method: c.Method, Path: c.Path,
			Host: c.Host, Header: c.Header, Length: len(c.Body), Sum: sum, Body: link.First(c.Body),
		}}
		start := time.Now()
		end := t.run(ctx)
		state.Record(end.end)
		d.logEnd(ctx, start, &t, end)
		d.Router.Report(time.Now(), rec.ID, end.result(ctx, time.Since(start)))
		reply.Attempt, reply.Reason = at, end.reason
		if end.answer != nil {
			reply.Status, reply.Header, reply.Body = end.answer.frame.Status, end.answer.frame.Header, end.answer.body
		}
	}
	reply.Outcome = state.Outcome()
	return reply
}

// logEnd logs where an attempt went and how it ended, to trace requests that meet a failing agent.
func (d *Dispatcher) logEnd(ctx context.Context, sent time.Time, t *trial, e ending) {
	if d.Log == nil || !d.Log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	d.Log.Debug("attempt ended", "agent", t.record.ID, "attempt", t.begin.Attempt, "sent", sent, "end", e.end.String(),
		"reason", e.reason, "fresh", t.fresh)
}
