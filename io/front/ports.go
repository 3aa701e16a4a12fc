package front

import (
	"context"
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
	// Suspect tells that the agent of an attempt that goes on gives no sign of life.
	Suspect(now time.Time, id model.NodeID)
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
