package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/route"
)

// Router chooses the agent of an attempt.
type Router interface {
	// Pick returns an agent, or an error if none can take the request.
	Pick(now time.Time, r route.Request) (model.Record, error)
	// Report tells the end of an attempt at the agent id.
	Report(now time.Time, id model.NodeID, result route.Result)
}

// Claimer keeps request keys from being run twice.
type Claimer interface {
	// Claim returns a claim.DuplicateError if the key is taken; any other error means that the request must not run.
	Claim(ctx context.Context, team model.Team, key string, attempt model.Attempt) error
	// Release gives a key back; it may be called only if no attempt ran and none can.
	Release(ctx context.Context, team model.Team, key string, attempt model.Attempt) error
}

// Admission bounds the requests in progress.
type Admission interface {
	// Enter waits for the team's turn. The error means that the request has to be refused.
	Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (release func(), err error)
}

// errNoAgent reports that no agent is ready.
var errNoAgent = errors.New("no minion is ready")

// Roster is a Router that takes the agents it heard of in turn.
type Roster struct {
	mu      sync.Mutex
	records map[model.NodeID]heard
	order   []model.NodeID
	turn    int
}

type heard struct {
	record model.Record
	at     time.Time
}

// forgetAfter is the time after which an agent that was not heard of is no candidate.
const forgetAfter = 3 * time.Second

// Hear takes an announced record.
func (r *Roster) Hear(now time.Time, rec model.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.records == nil {
		r.records = map[model.NodeID]heard{}
	}
	old, ok := r.records[rec.ID]
	if ok && !rec.Newer(old.record) {
		return
	}
	if !ok {
		r.order = append(r.order, rec.ID)
	}
	r.records[rec.ID] = heard{rec, now}
}

// Pick returns the next ready agent that was not tried, or else one that was.
func (r *Roster) Pick(now time.Time, req route.Request) (model.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var second *model.Record
	for range r.order {
		r.turn++
		h := r.records[r.order[r.turn%len(r.order)]]
		if h.record.State != model.Ready || now.Sub(h.at) > forgetAfter {
			continue
		}
		if req.Service != h.record.Service {
			continue
		}
		if !contains(req.Tried, h.record.ID) {
			return h.record, nil
		}
		second = &h.record
	}
	if second != nil {
		return *second, nil
	}
	return model.Record{}, errNoAgent
}

// Report does nothing; agents are taken in turn whatever their results.
func (r *Roster) Report(time.Time, model.NodeID, route.Result) {}

func contains(ids []model.NodeID, id model.NodeID) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}
