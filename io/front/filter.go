package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wagtailhoist/core/claim"
	"wagtailhoist/core/model"
	"wagtailhoist/core/retry"
)

// Handler runs a call and returns its outcome.
type Handler func(ctx context.Context, c Call) Reply

// Filter wraps a Handler with a step before or after it.
type Filter func(next Handler) Handler

// Chain wraps last with the filters; the first filter is the outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

func notRunReply(reason string) Reply { return Reply{Outcome: retry.OutcomeNotRun, Reason: reason} }

// RefuseWhileStopping refuses calls while stop returns true.
func RefuseWhileStopping(stop func() bool) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, c Call) Reply {
			if stop() {
				return notRunReply("entry is stopping")
			}
			return next(ctx, c)
		}
	}
}

// WithAdmission runs a call only after admission to the team's queue, and releases its place in the queue afterwards.
func WithAdmission(a Admission) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, c Call) Reply {
			release, err := a.Enter(ctx, time.Now(), c.Team, c.Deadline)
			if err != nil {
				r := notRunReply(err.Error())
				var full interface{ Full() bool }
				if errors.As(err, &full) && full.Full() {
					r.Code = http.StatusTooManyRequests
				}
				return r
			}
			defer release()
			return next(ctx, c)
		}
	}
}

// releaseTimeout limits the release of a key's claim after its call.
const releaseTimeout = 5 * time.Second

// WithClaims claims the idempotency key of a call, if it has one, before it runs next with the attempt that holds the claim.
// It releases the claim if the call was not run.
func WithClaims(claims Claimer, next func(context.Context, Call, model.Attempt) Reply, newAttempt func() model.Attempt) Handler {
	return func(ctx context.Context, c Call) Reply {
		attempt := newAttempt()
		if c.Key == "" {
			return next(ctx, c, attempt)
		}
		if err := claims.Claim(ctx, c.Team, c.Key, attempt); err != nil {
			var duplicate *claim.DuplicateError
			if errors.As(err, &duplicate) {
				return Reply{Outcome: retry.OutcomeDuplicate, Reason: err.Error(), Attempt: attempt}
			}
			r := notRunReply("key cannot be claimed: " + err.Error())
			r.Attempt = attempt
			return r
		}
		r := next(ctx, c, attempt)
		if r.Outcome == retry.OutcomeNotRun {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			// A claim that cannot be released expires after its retention time.
			_ = claims.Release(ctx, c.Team, c.Key, attempt)
		}
		return r
	}
}

// NoClaims is the Claimer of an entry without a store; it refuses all keys.
type NoClaims struct{}

// Claim returns an error.
func (NoClaims) Claim(context.Context, model.Team, string, model.Attempt) error {
	return errors.New("no store is configured")
}

// Release does nothing.
func (NoClaims) Release(context.Context, model.Team, string, model.Attempt) error { return nil }
