package health

import "time"

const (
	// RetryPause is how long no direct calls are made after one has failed.
	RetryPause = 600 * time.Millisecond
	// FreshAnswer is the age up to which the store's last answer shows that it answers. It is well above the time of a call
	// and below the first second of an outage, in which most changes would otherwise be sent and not answered.
	FreshAnswer = 250 * time.Millisecond
	// demandTime is how long after a change was wanted the store is still probed: callers whose change was refused come back after a
	// second.
	demandTime = 2 * time.Second
)

// Tracker holds what the calls of a process tell about the store. In the zero value, nothing speaks against the store. It is not safe
// for concurrent use.
type Tracker struct {
	// retryAt is when direct calls may be made again after a failure.
	retryAt time.Time
	// unanswered means that the last direct call had no answer.
	unanswered bool
	// answeredAt is when the store last answered; zero means not yet.
	answeredAt time.Time
	// wantedAt is when a change was last wanted; zero means never.
	wantedAt time.Time
}

// CallAllowed reports whether a direct call may be made: none has failed within RetryPause.
func (t *Tracker) CallAllowed(now time.Time) bool { return !now.Before(t.retryAt) }

// ChangeAllowed reports whether a change may be sent at once. After a call without an answer, and after a time without any answer,
// the store has to answer a read first: a change that is sent and not answered has an unknown outcome, and one that isn't sent is known
// not to have been applied, so that it can be retried. Before the first answer nothing speaks against the store.
func (t *Tracker) ChangeAllowed(now time.Time) bool {
	return !t.unanswered && (t.answeredAt.IsZero() || now.Sub(t.answeredAt) <= FreshAnswer)
}

// Answered notes that the store has answered a call.
func (t *Tracker) Answered(now time.Time) { t.answeredAt = now }

// ProbeAnswered notes that the store has answered the read before a change.
func (t *Tracker) ProbeAnswered(now time.Time) {
	t.answeredAt = now
	t.unanswered = false
}

// Recovered notes that a direct call got its answer before it was forwarded or given up, so that earlier failures don't count any more.
func (t *Tracker) Recovered() { t.retryAt, t.unanswered = time.Time{}, false }

// Failed notes that a direct call has failed. It is unanswered if the store may have carried it out.
func (t *Tracker) Failed(now time.Time, unanswered bool) {
	t.retryAt = now.Add(RetryPause)
	t.unanswered = t.unanswered || unanswered
}

// ChangeWanted notes that a change is to be made.
func (t *Tracker) ChangeWanted(now time.Time) { t.wantedAt = now }

// ProbeDue reports whether to find out by reads whether the store answers again: direct calls aren't made, and changes wait for the
// store. Without probes they would go on to be refused for up to RetryPause after each outage.
func (t *Tracker) ProbeDue(now time.Time) bool {
	return !t.CallAllowed(now) && !t.wantedAt.IsZero() && now.Sub(t.wantedAt) <= demandTime
}

// ProbeFailed notes that a probe had no answer of the store, so that no calls are made directly until the next ones.
func (t *Tracker) ProbeFailed(now time.Time) {
	if retryAt := now.Add(RetryPause); !t.CallAllowed(now) && retryAt.After(t.retryAt) {
		t.retryAt = retryAt
	}
}
