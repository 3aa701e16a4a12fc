package retry

import "time"

// Result says what is known of an attempt after its end.
type Result uint8

// Results of an attempt.
const (
	// Unknown attempts may have run, or may still run.
	Unknown Result = iota
	// NotRun attempts did not run and never will.
	NotRun
	// Answered attempts ran, and their complete answer was received.
	Answered
)

// String returns the name of the result.
func (r Result) String() string {
	switch r {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Outcome is the outcome of a request as reported to the caller; its text is the value of the outcome header.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered  Outcome = "answered"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeDuplicate Outcome = "duplicate"
)

// MaxAttempts is the largest number of attempts of one request.
const MaxAttempts = 4

// Attempts records the attempts of one request. The zero value is a non-idempotent request whose deadline has passed, for
// which no attempt may be sent.
type Attempts struct {
	// Idempotent says that the request may be sent again after an attempt with an unknown result.
	Idempotent bool
	Deadline   time.Time

	count    int
	unknown  bool
	answered bool
}

// CanSend reports whether another attempt may be sent at now. An entry calls it again right before it sends, because the
// process may have been paused since the last call.
func (a *Attempts) CanSend(now time.Time) bool {
	if a.answered || a.count >= MaxAttempts || !now.Before(a.Deadline) {
		return false
	}
	return !a.unknown || a.Idempotent
}

// Record adds the result of an attempt that ended.
func (a *Attempts) Record(result Result) {
	a.count++
	switch result {
	case Unknown:
		a.unknown = true
	case Answered:
		a.answered = true
	}
}

// Count returns the number of attempts that ended.
func (a *Attempts) Count() int { return a.count }

// Outcome returns the outcome to report to the caller if no further attempt is sent.
func (a *Attempts) Outcome() Outcome {
	switch {
	case a.answered:
		return OutcomeAnswered
	case a.unknown:
		return OutcomeUnknown
	}
	return OutcomeNotRun
}
