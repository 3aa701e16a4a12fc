package pace

import "time"

const (
	// MinPause is the shortest pause between two plans, so that the events that arrive meanwhile share a plan.
	MinPause = 5 * time.Millisecond
	// MaxInterval is the longest interval between two plans. It also bounds the pause after a long plan.
	MaxInterval = 300 * time.Millisecond
	// pauseFactor is the pause after a plan in multiples of its duration. It bounds the share of time that plans take.
	pauseFactor = 2
)

// Plans decides when a plan is made. It is for a VM that is too slow for its fleet, on which plans in a row would leave no
// time for reports. Its zero value allows a plan at once.
type Plans struct {
	// begunAt is when the last plan began, allowedAt when the next one may begin.
	begunAt, allowedAt time.Time
}

// Due reports whether a plan is to be made now; needed says whether the state has changed in a way that needs one.
func (p *Plans) Due(now time.Time, needed bool) bool {
	return needed && !now.Before(p.allowedAt) || now.Sub(p.begunAt) > MaxInterval
}

// Record records a plan that was made.
func (p *Plans) Record(begin, end time.Time) {
	p.begunAt = begin
	p.allowedAt = end.Add(max(MinPause, min(pauseFactor*end.Sub(begin), MaxInterval)))
}

// Wait returns how long to wait for the next plan.
func (p *Plans) Wait(now time.Time, needed bool) time.Duration {
	if !needed {
		return MaxInterval
	}
	return max(time.Millisecond, p.allowedAt.Sub(now))
}
