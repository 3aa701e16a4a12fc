package retry

import "time"

// Result is how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	// Unknown attempts may have run, or may still run.
	Unknown Result = iota
	// NotRun attempts did not run and never will.
	NotRun
	// Answered attempts ran and have a whole answer.
	Answered
)

// String names the result.
func (e Result) String() string {
	switch e {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Outcome is what the caller is told; its text is the value of the outcome header.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered  Outcome = "answered"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeDuplicate Outcome = "duplicate"
)

// MaxAttempts is the largest number of attempts of a request.
const MaxAttempts = 4

// Attempts holds the attempts of one request. The zero value is a non-idempotent request
// without a deadline, which may not be tried.
type Attempts struct {
	// Idempotent requests may be tried again after an unknown end.
	Idempotent bool
	Deadline   time.Time

	count    int
	unknown  bool
	answered bool
}

// CanSend reports whether another attempt may be sent at now. An entry asks again right
// before it sends, because it may have been paused since it last asked.
func (a *Attempts) CanSend(now time.Time) bool {
	if a.answered || a.count >= MaxAttempts || !now.Before(a.Deadline) {
		return false
	}
	return !a.unknown || a.Idempotent
}

// Record adds the end of an attempt.
func (a *Attempts) Record(e Result) {
	a.count++
	switch e {
	case Unknown:
		a.unknown = true
	case Answered:
		a.answered = true
	}
}

// Count returns the number of attempts that ended.
func (a *Attempts) Count() int { return a.count }

// Outcome returns what the caller may be told if no further attempt is made.
func (a *Attempts) Outcome() Outcome {
	switch {
	case a.answered:
		return OutcomeAnswered
	case a.unknown:
		return OutcomeUnknown
	}
	return OutcomeNotRun
}
