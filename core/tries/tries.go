package tries

import "time"

// End is how an attempt ended.
type End uint8

// Ends of an attempt.
const (
	// Unknown attempts may have run, or may still run.
	Unknown End = iota
	// NotRun attempts did not run and never will.
	NotRun
	// Answered attempts ran and have a whole answer.
	Answered
)

// String names the end.
func (e End) String() string {
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

// Most is the largest number of attempts of a request.
const Most = 4

// Tries holds the attempts of one request. The zero value is a non-idempotent request
// without a deadline, which may not be tried.
type Tries struct {
	// Idempotent requests may be tried again after an unknown end.
	Idempotent bool
	Deadline   time.Time

	count    int
	unknown  bool
	answered bool
}

// May reports whether another attempt may be sent at now. An entry asks again right
// before it sends, because it may have been paused since it last asked.
func (t *Tries) May(now time.Time) bool {
	if t.answered || t.count >= Most || !now.Before(t.Deadline) {
		return false
	}
	return !t.unknown || t.Idempotent
}

// Record adds the end of an attempt.
func (t *Tries) Record(e End) {
	t.count++
	switch e {
	case Unknown:
		t.unknown = true
	case Answered:
		t.answered = true
	}
}

// Count returns the number of attempts that ended.
func (t *Tries) Count() int { return t.count }

// Outcome returns what the caller may be told if no further attempt is made.
func (t *Tries) Outcome() Outcome {
	switch {
	case t.answered:
		return OutcomeAnswered
	case t.unknown:
		return OutcomeUnknown
	}
	return OutcomeNotRun
}
