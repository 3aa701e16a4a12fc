package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
)

const (
	// DefaultBytesPerSecond is the byte budget of a region for other regions: a quarter of a link of 30 Mbit/s.
	DefaultBytesPerSecond = 30e6 / 8 / 4
	// byteBurstSeconds is the capacity of the byte budget in seconds of its rate.
	byteBurstSeconds = 2
	// retryShare is the number of retries that each request adds to the retry budget.
	retryShare = 0.1
	// retryBurst is the capacity of the retry budget in retries.
	retryBurst = 10
	// maxDraws is the number of random rows that are tried before a pool is searched in order.
	maxDraws = 8
	// minRetryDelay and maxRetryDelay bound the delay before a retry, up to jitter.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// Request holds the properties of a request on which the choice of an agent depends.
type Request struct {
	Service string
	Team    model.Team
	// Bytes is the size of the request, which is charged to the byte budget if the request goes to another region.
	Bytes int
	// Tried lists the agents of earlier attempts. If it isn't empty, this attempt is a retry.
	Tried []model.NodeID
}

// Router chooses agents from a table, and records the results of the attempts at them. It is not safe for concurrent use.
type Router struct {
	Table *member.Table
	// Random draws candidates; nil means a generator with a random seed.
	Random *rand.Rand
	// Bytes is the region's byte budget for other regions in bytes a second; 0 means DefaultBytesPerSecond.
	Bytes float64
	// Entries is the number of live entries among which the region's byte budget is divided; 0 means 1.
	Entries int
	// AwaitEvacuated makes Pick refuse every request until SetEvacuated has been called. Otherwise a restarted entry would
	// send requests to evacuated data centres before it has read the configuration.
	AwaitEvacuated bool

	evacuated      map[model.Centre]bool
	evacuatedKnown bool

	agents     map[model.NodeID]*health
	byteBudget bucket
	// retryTokens is the number of retries that the retry budget allows now.
	retryTokens float64
	initialized bool
}

// SetEvacuated replaces the evacuated data centres, whose agents get no attempts. Attempts in flight there go on.
func (r *Router) SetEvacuated(centres []model.Centre) {
	r.evacuated, r.evacuatedKnown = make(map[model.Centre]bool, len(centres)), true
	for _, centre := range centres {
		r.evacuated[centre] = centre != ""
	}
}

// Evacuated reports whether a data centre is evacuated.
func (r *Router) Evacuated(centre model.Centre) bool { return r.evacuated[centre] }

// Pick chooses the agent for the next attempt of a request. Each call that returns an agent must be followed by one call of
// Report for that agent. The error is a NotConfiguredError, a NoCandidateError, a ByteBudgetError or a RetryBudgetError.
func (r *Router) Pick(now time.Time, req Request) (model.Record, error) {
	r.init()
	if r.AwaitEvacuated && !r.evacuatedKnown {
		return model.Record{}, &NotConfiguredError{Service: req.Service}
	}
	if len(req.Tried) > 0 && r.retryTokens < 1 {
		return model.Record{}, &RetryBudgetError{Service: req.Service}
	}
	row, err := r.chooseRow(now, req)
	if len(req.Tried) == 0 {
		r.retryTokens = min(retryBurst, r.retryTokens+retryShare)
	}
	if err != nil {
		return model.Record{}, err
	}
	if len(req.Tried) > 0 {
		r.retryTokens--
	}
	r.health(row).beginAttempt(now)
	return row.Record, nil
}

// Report records the result of an attempt at an agent that Pick returned.
func (r *Router) Report(now time.Time, id model.NodeID, result Result) {
	r.init()
	h, ok := r.agents[id]
	if !ok {
		return
	}
	h.endAttempt(now, result)
	if row := r.Table.Row(id); row != nil && row.Record.Region != r.Table.Region {
		r.byteBudget.refill(now, r.bytesPerSecond(), byteBurstSeconds*r.bytesPerSecond())
		r.byteBudget.tokens -= float64(result.Bytes)
	}
}

// Suspect ejects an agent that doesn't respond during an attempt, before the result of the attempt is known, so that no
// further requests wait for the agent. An agent that is already ejected is ejected again only if a probe is pending.
func (r *Router) Suspect(now time.Time, id model.NodeID) {
	r.init()
	if h, ok := r.agents[id]; ok && (h.ejectedUntil.IsZero() || !h.probedAt.IsZero()) {
		h.eject(now)
	}
}

// Prune removes the results of attempts at agents that are no longer in the table and have no attempt in flight.
func (r *Router) Prune() {
	for id, h := range r.agents {
		if h.inFlight == 0 && r.Table.Row(id) == nil {
			delete(r.agents, id)
		}
	}
}

// RetryDelay returns the time to wait before a retry, with exponential backoff and jitter. The first retry has the number 1; random
// is uniformly distributed in [0, 1).
func RetryDelay(retry int, random float64) time.Duration {
	limit := minRetryDelay << min(max(retry-1, 0), 10)
	return time.Duration((0.5 + random/2) * float64(min(limit, maxRetryDelay)))
}

// init sets up the zero value of a Router.
func (r *Router) init() {
	if r.initialized {
		return
	}
	r.initialized = true
	r.agents = map[model.NodeID]*health{}
	r.retryTokens = retryBurst
	if r.Random == nil {
		r.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// chooseRow chooses an eligible row of the service from the nearest pool that has one, and charges the byte budget if that is
// in another region.
func (r *Router) chooseRow(now time.Time, req Request) (*member.Row, error) {
	known := 0
	for nearness := member.OwnCentre; nearness <= member.OtherRegion; nearness++ {
		pool := r.Table.Pool(req.Service, nearness)
		known += len(pool)
		if nearness == member.OwnCentre && r.evacuated[r.Table.Centre] {
			// No row of the pool is eligible. Searching all of them for each request would take milliseconds with thousands of agents.
			continue
		}
		row := r.pickOfTwo(now, pool, req.Tried)
		if row == nil {
			continue
		}
		if nearness == member.OtherRegion {
			capacity := byteBurstSeconds * r.bytesPerSecond()
			r.byteBudget.refill(now, r.bytesPerSecond(), capacity)
			if !r.byteBudget.spend(float64(req.Bytes), capacity) {
				wait := (min(float64(req.Bytes), capacity) - r.byteBudget.tokens) / r.bytesPerSecond()
				return nil, &ByteBudgetError{req.Service, req.Bytes, time.Duration(wait * float64(time.Second))}
			}
		}
		return row, nil
	}
	return nil, &NoCandidateError{Service: req.Service, Known: known, Evacuated: r.countEvacuated(req.Service)}
}

// countEvacuated returns the number of agents of the service in evacuated data centres.
func (r *Router) countEvacuated(service string) int {
	if len(r.evacuated) == 0 {
		return 0
	}
	n := 0
	for nearness := member.OwnCentre; nearness <= member.OtherRegion; nearness++ {
		for _, row := range r.Table.Pool(service, nearness) {
			if r.evacuated[row.Record.Centre] {
				n++
			}
		}
	}
	return n
}

// pickOfTwo draws two eligible rows at random and returns the less loaded one, or nil if no row is eligible.
func (r *Router) pickOfTwo(now time.Time, pool []*member.Row, tried []model.NodeID) *member.Row {
	if len(pool) == 0 {
		return nil
	}
	var first *member.Row
	for range maxDraws {
		row := pool[r.Random.IntN(len(pool))]
		if row == first || !r.eligible(now, row, tried) {
			continue
		}
		if first == nil {
			first = row
			continue
		}
		return r.lessLoaded(first, row)
	}
	// Few rows are eligible. The search starts at a random row, so that the choice stays evenly distributed.
	from := r.Random.IntN(len(pool))
	for i := range pool {
		row := pool[(from+i)%len(pool)]
		if row == first || !r.eligible(now, row, tried) {
			continue
		}
		if first == nil {
			first = row
			continue
		}
		return r.lessLoaded(first, row)
	}
	return first
}

// eligible reports whether the agent of the row is live, in no evacuated data centre, wasn't tried for the request and may get
// an attempt at now.
func (r *Router) eligible(now time.Time, row *member.Row, tried []model.NodeID) bool {
	return !r.evacuated[row.Record.Centre] && r.Table.Live(now, row) && !slices.Contains(tried, row.Record.ID) &&
		r.health(row).eligible(now, row.Record.Sequence, r.lastHeard(now, row))
}

// lastHeard returns when the agent last announced itself. Records of other regions arrive only when they change, so an agent
// there counts as just heard while it is live.
func (r *Router) lastHeard(now time.Time, row *member.Row) time.Time {
	if row.Record.Region != r.Table.Region {
		return now
	}
	return row.HeardAt
}

func (r *Router) lessLoaded(a, b *member.Row) *member.Row {
	if r.load(b) < r.load(a) {
		return b
	}
	return a
}

// load returns the used fraction of an agent's slots. It counts own attempts in flight that the agent has not reported yet;
// otherwise a burst of requests would all go to the agent that was idle at its last announcement.
func (r *Router) load(row *member.Row) float64 {
	h, load := r.health(row), row.Record.Load
	if h.loadAt.After(row.HeardAt) {
		load = h.load
	}
	return float64(max(load.Running, h.inFlight)) / float64(max(load.Slots, 1))
}

// health returns the health of the agent; a new incarnation of the agent starts with an empty one.
func (r *Router) health(row *member.Row) *health {
	id := row.Record.ID
	h, ok := r.agents[id]
	if !ok || h.incarnation != row.Record.Incarnation {
		h = &health{incarnation: row.Record.Incarnation}
		r.agents[id] = h
	}
	return h
}

// bytesPerSecond returns this entry's part of the region's byte budget.
func (r *Router) bytesPerSecond() float64 {
	bytesPerSecond := r.Bytes
	if bytesPerSecond == 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	return bytesPerSecond / float64(max(r.Entries, 1))
}
