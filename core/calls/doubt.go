package calls

import "time"

// Doubt is what a process knows about the attempts at a call that it has ordered another process to make. The zero value is a call that
// was ordered at an unknown time, with no attempt that may still be carried out.
type Doubt struct {
	// OrderedAt is when the call was first ordered, zero if that isn't known.
	OrderedAt time.Time
	// until is when no attempt can be carried out any more.
	until time.Time
}

// Report is what the caller reports about its attempts at a call.
type Report struct {
	// Recorded is for how long the caller has recorded its attempts. An earlier process may have made others before.
	Recorded time.Duration
	// Unanswered means that an attempt may still be carried out, and Age how long ago the last of these ended.
	Unanswered bool
	Age        time.Duration
	// Finished means that the caller makes no attempts after those of the report.
	Finished bool
}

// Order notes that an order to make the call is sent, so that an attempt may follow.
func (d *Doubt) Order(now time.Time) { d.extend(now) }

// Apply applies a report of the caller.
func (d *Doubt) Apply(now time.Time, r Report) {
	if r.Finished {
		d.until = time.Time{}
	}
	if r.Unanswered {
		d.extend(now.Add(-r.Age))
	}
	recordedSince := now.Add(-r.Recorded)
	if r.Recorded < MaxDelay && !d.OrderedAt.After(recordedSince) {
		// An earlier process may have made attempts until this one began to record its own.
		d.extend(recordedSince)
	}
}

// extend notes that an attempt may have been made as late as at a time.
func (d *Doubt) extend(at time.Time) {
	if until := at.Add(MaxDelay); until.After(d.until) {
		d.until = until
	}
}

// Until returns until when an attempt may still be carried out, a time in the past if none can.
func (d *Doubt) Until() time.Time { return d.until }
