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
	// Report records the result of an attempt at the agent id.
	Report(now time.Time, id model.NodeID, result route.Result)
	// Suspect reports that the agent of an unfinished attempt does not respond.
	Suspect(now time.Time, id model.NodeID)
}

// Claimer prevents requests with the same idempotency key from running twice.
type Claimer interface {
	// Claim returns a claim.DuplicateError if the key is claimed already; after any error the request must not run.
	Claim(ctx context.Context, team model.Team, key string, attempt model.Attempt) error
	// Release removes the claim; it may be called only if no attempt ran and none can run later.
	Release(ctx context.Context, team model.Team, key string, attempt model.Attempt) error
}

// Admission limits the number of requests in progress.
type Admission interface {
	// Enter waits in the team's queue until the request may run. After an error the request must be refused.
	Enter(ctx context.Context, now time.Time, team model.Team, deadline time.Time) (release func(), err error)
}
