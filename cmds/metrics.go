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
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
)

// metricsInterval is how often counters and gauges that are kept outside the meter are copied to it.
const metricsInterval = time.Second

// countOutcomes returns a filter that records the completion time of answered calls and counts refused calls and
// calls with unknown outcome by reason.
func countOutcomes(m *meter.Meter) front.Filter {
	return func(next front.Handler) front.Handler {
		return func(ctx context.Context, c front.Call) front.Reply {
			start := time.Now()
			r := next(ctx, c)
			// The text before the colon is constant; what follows contains values of the request, which
			// would make a series each.
			reason, _, _ := strings.Cut(r.Reason, ":")
			switch r.Outcome {
			case retry.OutcomeAnswered:
				m.Completion(c.Team, c.Service, time.Since(start))
			case retry.OutcomeNotRun, retry.OutcomeDuplicate:
				m.Refusal(reason)
			case retry.OutcomeUnknown:
				m.UnknownOutcome(reason)
			}
			return r
		}
	}
}

// timeService returns a filter that records the service time of answered calls. It is placed behind the admission
// filter, so that the wait for admission is excluded.
func timeService(m *meter.Meter) front.Filter {
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

// timedAdmission records how long calls wait for admission.
type timedAdmission struct {
	admission front.Admission
	meter     *meter.Meter
}

// Enter waits until the call is admitted and returns the function that releases its place.
func (g timedAdmission) Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (func(), error) {
	release, err := g.admission.Enter(ctx, now, team, deadline)
	if err == nil {
		g.meter.Waiting(team, "", time.Since(now))
	}
	return release, err
}

// countingRouter counts retries, and the bytes sent to and received from agents of other regions.
type countingRouter struct {
	front.Router
	meter     *meter.Meter
	ownRegion model.Region

	mu sync.Mutex
	// remote holds the agents of other regions that have attempts in progress.
	remote map[model.NodeID]remoteAgent
}

// remoteAgent is an agent of another region and its number of attempts in progress.
type remoteAgent struct {
	region   model.Region
	inFlight int
}

// Pick returns an agent for the request and counts the retry and the bytes sent to another region.
func (r *countingRouter) Pick(now time.Time, q route.Request) (model.Record, error) {
	rec, err := r.Router.Pick(now, q)
	if err != nil {
		return rec, err
	}
	if len(q.Tried) > 0 {
		r.meter.Retry("next agent")
	}
	if rec.Region != r.ownRegion {
		r.mu.Lock()
		if r.remote == nil {
			r.remote = map[model.NodeID]remoteAgent{}
		}
		r.remote[rec.ID] = remoteAgent{rec.Region, r.remote[rec.ID].inFlight + 1}
		r.mu.Unlock()
		r.meter.RemoteBytes(rec.Region, int64(q.Bytes))
	}
	return rec, nil
}

// Report reports the result of an attempt at the agent id and counts the bytes received from another region.
func (r *countingRouter) Report(now time.Time, id model.NodeID, result route.Result) {
	r.mu.Lock()
	remote, ok := r.remote[id]
	if remote.inFlight--; remote.inFlight > 0 {
		r.remote[id] = remote
	} else {
		delete(r.remote, id) // replacements of agents have new ids, so the map would grow without bound
	}
	r.mu.Unlock()
	if ok {
		r.meter.RemoteBytes(remote.region, int64(result.Bytes))
	}
	r.Router.Report(now, id, result)
}

// countSource is a counter that is kept outside the meter, and the metric that it is copied to.
type countSource struct {
	counter            *atomic.Uint64
	name, label, value string
	last               uint64
}

// brokenLinkSources returns the counters of links that were closed or refused.
func brokenLinkSources(links *link.Counters) []*countSource {
	return []*countSource{
		{counter: &links.Malformed, name: "broken_links", label: "cause", value: "malformed"},
		{counter: &links.Silent, name: "broken_links", label: "cause", value: "silent"},
		{counter: &links.NoRoom, name: "broken_links", label: "cause", value: "no room"},
		{counter: &links.Late, name: "broken_links", label: "cause", value: "late frame"},
		{counter: &links.Denied, name: "broken_links", label: "cause", value: "denied"},
		{counter: &links.WithoutHello, name: "broken_links", label: "cause", value: "no hello"},
	}
}

// addCounts returns a function that adds to the metrics by how much the counters have grown since its last call.
func addCounts(m *meter.Meter, sources []*countSource) func(time.Time) {
	return func(time.Time) {
		for _, s := range sources {
			now := s.counter.Load()
			m.Count(s.name, s.label, s.value, int64(now-s.last))
			s.last = now
		}
	}
}

// addLinkCounts returns a function that adds to the metrics by how much the counters of the links and of the claims
// writer w, which may be nil, have grown since its last call.
func addLinkCounts(m *meter.Meter, self *entrySelf, pool *front.Pool, w *claims.Writer) func(time.Time) {
	links := self.settings.Counters
	sources := append(brokenLinkSources(links), []*countSource{
		{counter: &links.Sent, name: "link_bytes", label: "direction", value: "sent"},
		{counter: &links.Received, name: "link_bytes", label: "direction", value: "received"},
		{counter: &links.RefusedRecords, name: "refused_records", label: "kind", value: "record"},
		{counter: &links.UnauthenticatedConns.Evicted, name: "refused_connections", label: "cause", value: "link evicted"},
		{counter: &links.UnauthenticatedConns.Unfinished, name: "refused_connections", label: "cause", value: "link unfinished"},
		{counter: &self.callerConns.Evicted, name: "refused_connections", label: "cause", value: "caller evicted"},
		{counter: &self.callerConns.Unfinished, name: "refused_connections", label: "cause", value: "caller unfinished"},
		{counter: &self.adminConns.Evicted, name: "refused_connections", label: "cause", value: "operator evicted"},
		{counter: &self.adminConns.Unfinished, name: "refused_connections", label: "cause", value: "operator unfinished"},
		{counter: &pool.UnmatchedFrames, name: "late_answers", label: "kind", value: "dropped"},
	}...)
	if w != nil {
		c := &w.Counters
		sources = append(sources,
			&countSource{counter: &c.Claims, name: "claims", label: "outcome", value: "granted"},
			&countSource{counter: &c.Reads, name: "claim_calls", label: "kind", value: "read"},
			&countSource{counter: &c.Writes, name: "claim_calls", label: "kind", value: "write"},
			&countSource{counter: &c.Conflicts, name: "claim_calls", label: "kind", value: "conflict"},
			&countSource{counter: &c.Unanswered, name: "claim_calls", label: "kind", value: "unanswered"},
			&countSource{counter: &c.Bytes, name: "claim_bytes", label: "direction", value: "written"},
		)
	}
	return addCounts(m, sources)
}
