package cmds

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
	"wagtailhoist/core/route"
	"wagtailhoist/io/claims"
	"wagtailhoist/io/front"
	"wagtailhoist/io/meter"
)

// figuresInterval is how often counts of the links are added to the metrics.
const figuresInterval = time.Second

// counting counts refused and unknown calls, and times those that were answered.
func counting(m *meter.Meter) front.Filter {
	return func(next front.Handler) front.Handler {
		return func(ctx context.Context, c front.Call) front.Reply {
			start := time.Now()
			r := next(ctx, c)
			// The part before a colon is one of the program's own texts.
			reason, _, _ := strings.Cut(r.Reason, ":")
			switch r.Outcome {
			case retry.OutcomeAnswered:
				m.Completion(c.Team, c.Service, time.Since(start))
			case retry.OutcomeNotRun, retry.OutcomeDuplicate:
				m.Refusal(reason)
			case retry.OutcomeUnknown:
				m.Unknown(reason)
			}
			return r
		}
	}
}

// timing times answered calls from their admission on.
func timing(m *meter.Meter) front.Filter {
	return func(next front.Handler) front.Handler {
		return func(ctx context.Context, c front.Call) front.Reply {
			start := time.Now()
			r := next(ctx, c)
			if r.Outcome == retry.OutcomeAnswered {
				m.Service(c.Team, c.Service, time.Since(start))
			}
			return r
		}
	}
}

// timedGate times the wait for admission.
type timedGate struct {
	gate  front.Admission
	meter *meter.Meter
}

// Enter waits for the team's turn.
func (g timedGate) Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (func(), error) {
	release, err := g.gate.Enter(ctx, now, team, deadline)
	if err == nil {
		g.meter.Waiting(team, "", time.Since(now))
	}
	return release, err
}

// countingRouter counts repeated dispatches and the bytes of dispatches to other regions.
type countingRouter struct {
	front.Router
	meter *meter.Meter
	own   model.Region

	mu sync.Mutex
	// far holds the agents of other regions with attempts in progress.
	far map[model.NodeID]farAgent
}

type farAgent struct {
	region model.Region
	flying int
}

// Pick returns an agent.
func (r *countingRouter) Pick(now time.Time, q route.Request) (model.Record, error) {
	rec, err := r.Router.Pick(now, q)
	if err != nil {
		return rec, err
	}
	if len(q.Tried) > 0 {
		r.meter.Retry("next agent")
	}
	if rec.Region != r.own {
		r.mu.Lock()
		if r.far == nil {
			r.far = map[model.NodeID]farAgent{}
		}
		r.far[rec.ID] = farAgent{rec.Region, r.far[rec.ID].flying + 1}
		r.mu.Unlock()
		r.meter.Remote(rec.Region, int64(q.Bytes))
	}
	return rec, nil
}

// Report tells the end of an attempt at the agent id.
func (r *countingRouter) Report(now time.Time, id model.NodeID, result route.Result) {
	r.mu.Lock()
	far, ok := r.far[id]
	if far.flying--; far.flying > 0 {
		r.far[id] = far
	} else {
		delete(r.far, id) // replaced agents have new names, so the map would grow with each
	}
	r.mu.Unlock()
	if ok {
		r.meter.Remote(far.region, int64(result.Bytes))
	}
	r.Router.Report(now, id, result)
}

// countLinks adds what the links and the writer of claims, which may be nil, have counted since
// the last call to the metrics.
func countLinks(m *meter.Meter, self *entrySelf, pool *front.Pool, w *claims.Writer) func(time.Time) {
	type source struct {
		counter            *atomic.Uint64
		name, label, value string
		last               uint64
	}
	links := self.settings.Counters
	sources := []*source{
		{counter: &links.Sent, name: "link_bytes", label: "direction", value: "sent"},
		{counter: &links.Received, name: "link_bytes", label: "direction", value: "received"},
		{counter: &links.Malformed, name: "broken_links", label: "cause", value: "malformed"},
		{counter: &links.Silent, name: "broken_links", label: "cause", value: "silent"},
		{counter: &links.Denied, name: "broken_links", label: "cause", value: "denied"},
		{counter: &links.Ungreeted, name: "broken_links", label: "cause", value: "no hello"},
		{counter: &links.Records, name: "refused_records", label: "kind", value: "record"},
		{counter: &links.Guests.Evicted, name: "refused_connections", label: "cause", value: "link evicted"},
		{counter: &links.Guests.Unfinished, name: "refused_connections", label: "cause", value: "link unfinished"},
		{counter: &self.callerGuests.Evicted, name: "refused_connections", label: "cause", value: "caller evicted"},
		{counter: &self.callerGuests.Unfinished, name: "refused_connections", label: "cause", value: "caller unfinished"},
		{counter: &self.adminGuests.Evicted, name: "refused_connections", label: "cause", value: "operator evicted"},
		{counter: &self.adminGuests.Unfinished, name: "refused_connections", label: "cause", value: "operator unfinished"},
		{counter: &pool.Dropped, name: "late_answers", label: "kind", value: "dropped"},
	}
	if w != nil {
		c := &w.Counters
		sources = append(sources,
			&source{counter: &c.Claims, name: "claims", label: "outcome", value: "granted"},
			&source{counter: &c.Reads, name: "claim_calls", label: "kind", value: "read"},
			&source{counter: &c.Writes, name: "claim_calls", label: "kind", value: "write"},
			&source{counter: &c.Conflicts, name: "claim_calls", label: "kind", value: "conflict"},
			&source{counter: &c.Unanswered, name: "claim_calls", label: "kind", value: "unanswered"},
			&source{counter: &c.Bytes, name: "claim_bytes", label: "direction", value: "written"},
		)
	}
	return func(time.Time) {
		for _, s := range sources {
			now := s.counter.Load()
			m.Count(s.name, s.label, s.value, int64(now-s.last))
			s.last = now
		}
	}
}
