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

// Handler runs a call.
type Handler func(ctx context.Context, c Call) Reply

// Filter wraps a Handler with a step before or after it.
type Filter func(next Handler) Handler

// Chain returns last wrapped with the filters, the first one outermost.
func Chain(last Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		last = filters[i](last)
	}
	return last
}

func notRun(reason string) Reply { return Reply{Outcome: retry.OutcomeNotRun, Reason: reason} }

// Stopping refuses calls while stop returns true.
func Stopping(stop func() bool) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, c Call) Reply {
			if stop() {
				return notRun("entry is stopping")
			}
			return next(ctx, c)
		}
	}
}

// Admitting holds a place of the team's queue while the call runs.
func Admitting(a Admission) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, c Call) Reply {
			release, err := a.Enter(ctx, time.Now(), c.Team, c.Deadline)
			if err != nil {
				r := notRun(err.Error())
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

// releaseLimit bounds the release of a key after its call.
const releaseLimit = 5 * time.Second

// Claiming claims the key of keyed calls. It runs next with the attempt that holds the claim.
func Claiming(claims Claimer, next func(context.Context, Call, model.Attempt) Reply, attempt func() model.Attempt) Handler {
	return func(ctx context.Context, c Call) Reply {
		at := attempt()
		if c.Key == "" {
			return next(ctx, c, at)
		}
		if err := claims.Claim(ctx, c.Team, c.Key, at); err != nil {
			var duplicate *claim.DuplicateError
			if errors.As(err, &duplicate) {
				return Reply{Outcome: retry.OutcomeDuplicate, Reason: err.Error(), Attempt: at}
			}
			r := notRun("key cannot be claimed: " + err.Error())
			r.Attempt = at
			return r
		}
		r := next(ctx, c, at)
		if r.Outcome == retry.OutcomeNotRun {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
			defer cancel()
			// A claim that cannot be released ends with its retention.
			_ = claims.Release(ctx, c.Team, c.Key, at)
		}
		return r
	}
}

// NoClaims is a Claimer for an entry without a store; it refuses all keys.
type NoClaims struct{}

// Claim returns an error.
func (NoClaims) Claim(context.Context, model.Team, string, model.Attempt) error {
	return errors.New("no store is configured")
}

// Release does nothing.
func (NoClaims) Release(context.Context, model.Team, string, model.Attempt) error { return nil }
