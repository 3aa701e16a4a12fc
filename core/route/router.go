package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"wagtailhoist/core/member"
	"wagtailhoist/core/model"
)

const (
	// DefaultBytes is the byte budget of a region towards other regions: a quarter of 30 Mbit/s, in bytes a second.
	DefaultBytes = 30e6 / 8 / 4
	// byteBurst is how many seconds of the byte budget may be spent at once.
	byteBurst = 2
	// retryShare is the part of requests that may be retried.
	retryShare = 0.1
	// retryBurst is how many retries may follow each other after a quiet time.
	retryBurst = 10
	// draws is how many random rows are looked at before a pool is searched in order.
	draws = 8
	// firstDelay and lastDelay bound the delay before a retry.
	firstDelay = 10 * time.Millisecond
	lastDelay  = 250 * time.Millisecond
)

// Request is what the choice of an agent depends on.
type Request struct {
	Service string
	Team    model.Team
	// Bytes is the size of the request, charged to the byte budget if it crosses regions.
	Bytes int
	// Tried lists the agents that earlier attempts went to; any entry makes this attempt a retry.
	Tried []model.NodeID
}

// Router chooses agents from a table; it is not safe for concurrent use.
type Router struct {
	Table *member.Table
	// Random draws candidates; nil means a generator with a random seed.
	Random *rand.Rand
	// Bytes is the region's byte budget towards other regions in bytes a second; 0 means DefaultBytes.
	Bytes float64
	// Entries is the number of live entries that share the region's byte budget; 0 means 1.
	Entries int

	agents  map[model.NodeID]*health
	bytes   bucket
	retries float64
	begun   bool
}

// Pick chooses the agent for the next attempt of a request. Each success must be followed by
// one call of Report for that agent. The errors are NoCandidateError, BytesError and RetryError.
func (r *Router) Pick(now time.Time, req Request) (model.Record, error) {
	r.init()
	if len(req.Tried) > 0 && r.retries < 1 {
		return model.Record{}, &RetryError{Service: req.Service}
	}
	row, err := r.choose(now, req)
	if len(req.Tried) == 0 {
		r.retries = min(retryBurst, r.retries+retryShare)
	}
	if err != nil {
		return model.Record{}, err
	}
	if len(req.Tried) > 0 {
		r.retries--
	}
	r.health(row).begin(now)
	return row.Record, nil
}

// Report takes the end of an attempt at an agent that Pick returned.
func (r *Router) Report(now time.Time, id model.NodeID, result Result) {
	r.init()
	h, ok := r.agents[id]
	if !ok {
		return
	}
	h.end(now, result)
	if row := r.Table.Row(id); row != nil && row.Record.Region != r.Table.Region {
		r.bytes.fill(now, r.rate(), byteBurst*r.rate())
		r.bytes.level -= float64(result.Bytes)
	}
}

// Suspect ejects an agent that gives no sign of life while an attempt there still waits for its
// end, so that no more requests wait there with it.
func (r *Router) Suspect(now time.Time, id model.NodeID) {
	r.init()
	if h, ok := r.agents[id]; ok && (h.until.IsZero() || !h.probe.IsZero()) {
		h.eject(now)
	}
}

// Forget drops what is known of agents that have left the table.
func (r *Router) Forget() {
	for id, h := range r.agents {
		if h.flying == 0 && r.Table.Row(id) == nil {
			delete(r.agents, id)
		}
	}
}

// Delay returns the jittered time to wait before the retry with the given number, from 1;
// random is uniform in [0, 1).
func Delay(retry int, random float64) time.Duration {
	limit := firstDelay << min(max(retry-1, 0), 10)
	return time.Duration((0.5 + random/2) * float64(min(limit, lastDelay)))
}

func (r *Router) init() {
	if r.begun {
		return
	}
	r.begun = true
	r.agents = map[model.NodeID]*health{}
	r.retries = retryBurst
	if r.Random == nil {
		r.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// choose walks the pools from near to far.
func (r *Router) choose(now time.Time, req Request) (*member.Row, error) {
	known := 0
	for near := member.OwnCentre; near <= member.OtherRegion; near++ {
		pool := r.Table.Pool(req.Service, near)
		known += len(pool)
		row := r.pair(now, pool, req.Tried)
		if row == nil {
			continue
		}
		if near == member.OtherRegion {
			size := byteBurst * r.rate()
			r.bytes.fill(now, r.rate(), size)
			if !r.bytes.take(float64(req.Bytes), size) {
				wait := (min(float64(req.Bytes), size) - r.bytes.level) / r.rate()
				return nil, &BytesError{req.Service, req.Bytes, time.Duration(wait * float64(time.Second))}
			}
		}
		return row, nil
	}
	return nil, &NoCandidateError{Service: req.Service, Known: known}
}

// pair draws two open rows at random and returns the less loaded one, or nil if no row is open.
func (r *Router) pair(now time.Time, pool []*member.Row, tried []model.NodeID) *member.Row {
	if len(pool) == 0 {
		return nil
	}
	var first *member.Row
	for range draws {
		row := pool[r.Random.IntN(len(pool))]
		if row == first || !r.open(now, row, tried) {
			continue
		}
		if first == nil {
			first = row
			continue
		}
		return r.lighter(first, row)
	}
	// Few rows are open: search from a random place, so that the choice stays spread.
	from := r.Random.IntN(len(pool))
	for i := range pool {
		row := pool[(from+i)%len(pool)]
		if row == first || !r.open(now, row, tried) {
			continue
		}
		if first == nil {
			first = row
			continue
		}
		return r.lighter(first, row)
	}
	return first
}

func (r *Router) open(now time.Time, row *member.Row, tried []model.NodeID) bool {
	return r.Table.Live(now, row) && !slices.Contains(tried, row.Record.ID) && r.health(row).open(now, row.Record.Sequence, r.heard(now, row))
}

// heard returns when the agent was last heard of. Records of other regions arrive on change
// only, so these agents count as heard of as long as they are live.
func (r *Router) heard(now time.Time, row *member.Row) time.Time {
	if row.Record.Region != r.Table.Region {
		return now
	}
	return row.Heard
}

func (r *Router) lighter(a, b *member.Row) *member.Row {
	if r.load(b) < r.load(a) {
		return b
	}
	return a
}

// load returns the part of the slots in use. Own attempts that the agent has not reported
// yet count too; otherwise a burst would go to the agent that was idle a second ago.
func (r *Router) load(row *member.Row) float64 {
	h, load := r.health(row), row.Record.Load
	if h.loadAt.After(row.Heard) {
		load = h.load
	}
	return float64(max(load.Running, h.flying)) / float64(max(load.Slots, 1))
}

// health returns what is known of the agent; a new incarnation starts anew.
func (r *Router) health(row *member.Row) *health {
	id := row.Record.ID
	h, ok := r.agents[id]
	if !ok || h.incarnation != row.Record.Incarnation {
		h = &health{incarnation: row.Record.Incarnation}
		r.agents[id] = h
	}
	return h
}

func (r *Router) rate() float64 {
	rate := r.Bytes
	if rate == 0 {
		rate = DefaultBytes
	}
	return rate / float64(max(r.Entries, 1))
}
