package cell

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// maxUnwritten is the size of the changes that wait for the store, in bytes, above which a detached owner takes
	// no more jobs. Changes of the jobs that it has are still made.
	maxUnwritten = 256 << 10
	// maxBatch is the size of the changes, in bytes, that one write takes; the store takes values up to 1 MB.
	maxBatch = 256 << 10
	// pauseAfter is how many control intervals without a step count as a pause of the process.
	pauseAfter = 3
	// yieldTTLs is how many ttl of the owner's lease a contender leaves the cell to an owner that may be detached.
	// Such an owner asks the store in each interval (250 ms), gives a call up after 300 ms, and then needs one read
	// and one write.
	yieldTTLs = 1
)

// outage is what a process knows about the store being unavailable.
type outage struct {
	// detached owners decide without the store.
	detached bool
	// missRenew and missRead say that the last renewal and the last read of the plan since awake found the store
	// unavailable.
	missRenew, missRead bool
	// last is the time of the last step, awake that of the first one after a pause.
	last, awake time.Time
	// regaining says that the owner takes a new lease under its epoch, which would last until regainEnd.
	regaining bool
	regainEnd time.Time
	// down says that the last that was heard of the store is that it did not answer.
	down bool
	// ownerKnown says that the owner's key was seen since the store was last unavailable, or that a detached owner had
	// the time to write. Otherwise the key may be missing only because the store was down.
	ownerKnown bool
	// lastOwner is the owner that the key named last.
	lastOwner model.NodeID
}

// end forgets what concerns an owner.
func (o *outage) end() {
	o.detached, o.missRenew, o.missRead, o.regaining = false, false, false, false
}

// detectPause detects a pause of the process. What was known of the store before it says nothing, so that an owner asks
// the store again before it decides.
func (c *Cell) detectPause(now time.Time) {
	if !c.last.IsZero() && now.Sub(c.last) > pauseAfter*c.Interval {
		c.awake = now
		c.detached, c.missRenew, c.missRead = false, false, false
	}
	c.last = now
}

// storeMissed notes that the store did not answer.
func (c *Cell) storeMissed() {
	c.down = true
	if c.role != owner {
		c.ownerKnown = false
	}
}

// storeAnswered notes what an answer tells about the store.
func (c *Cell) storeAnswered(a Answer) {
	miss := a.Code == Unknown
	switch a.To.(type) {
	case RenewLease, GrantLease:
		if miss && a.Sent.Before(c.awake) {
			return
		}
		c.missRenew = miss
	case LoadPlan:
		if miss && a.Sent.Before(c.awake) {
			return
		}
		c.missRead = miss
	default:
		return
	}
	if !miss {
		c.down = false
		return
	}
	again := c.down
	c.storeMissed()
	if _, read := a.To.(LoadPlan); read && again && c.role != owner {
		// Two reads in a row tell an outage from a lost answer.
		var kept []Request
		for _, r := range c.journal.requests {
			if r.Number == 0 {
				kept = append(kept, r)
				continue
			}
			c.refuse(r)
		}
		c.journal.requests = kept
	}
}

// detach lets an owner whose lease may have ended decide without the store, if the store answers neither renewals
// nor reads.
func (c *Cell) detach(now time.Time) {
	if c.role == owner && !now.Before(c.leaseEnd) && c.missRenew && c.missRead {
		c.detached = true
	}
}

// Detached reports whether the process owns the cell without the store.
func (c *Cell) Detached() bool { return c.detached }

// request takes changes, or refuses them while the store is down and another process may be able to accept them.
func (c *Cell) request(r Request) {
	if c.role != owner && c.down {
		c.refuse(r)
		return
	}
	c.journal.ask(r)
}

// refuse answers a request that was not sent to the store, and will not be.
func (c *Cell) refuse(r Request) {
	to := c.lastOwner
	if to == "" {
		to = c.journal.plan.Owner
	}
	if to == c.Self {
		to = ""
	}
	c.emit(Reply{Number: r.Number, Refused: true, Owner: to})
}

// yieldToOwner leaves the cell to an owner that may be detached, for the time that it needs to write.
func (c *Cell) yieldToOwner(now time.Time) {
	c.abandon(now)
	c.ownerKnown, c.retry = true, now.Add(yieldTTLs*c.OwnerTTL+c.Delay)
}

// regain takes a new lease for an owner whose lease has ended during an outage. Its epoch stays: the change log
// tells whether there was another owner.
func (c *Cell) regain() {
	if !c.regaining && !c.draining {
		c.regaining = true
		c.emit(GrantLease{TTL: c.OwnerTTL})
	}
}

func (c *Cell) regranted(a Answer) {
	if a.Code != OK {
		c.regaining = false
		return
	}
	c.lease, c.regainEnd = a.ID, a.Sent.Add(c.OwnerTTL)
	c.emit(WriteOwner{Lease: c.lease, Epoch: c.epoch})
}

func (c *Cell) regained(a Answer) {
	c.regaining = false
	if a.Code != OK {
		c.emit(RevokeLease{Lease: c.lease})
		c.lease = 0
		return
	}
	c.leaseEnd, c.detached, c.held = c.regainEnd, false, true
}

// advance applies what waits to be written to the plan in memory, in order, and accepts the requests among it. It
// reports whether there was anything.
func (l *journal) advance() bool {
	for _, r := range l.requests {
		l.own = append(l.own, r.Changes...)
	}
	for _, r := range append(l.asked, l.requests...) {
		if r.Number != 0 {
			l.replies = append(l.replies, Reply{Number: r.Number, Unstored: true})
		}
	}
	l.asked, l.requests = nil, nil
	var changes []Change
	if l.flight != nil {
		changes = append(changes, l.flight.Changes...)
	}
	changes = append(changes, l.own...)
	if l.applied == len(changes) {
		return false
	}
	if l.applied == 0 {
		l.plan = l.stored.Clone()
	}
	for _, ch := range changes[l.applied:] {
		l.applyUnwritten(ch)
		l.bytes += len(encode(ch))
	}
	l.applied = len(changes)
	return true
}

func (l *journal) applyUnwritten(ch Change) {
	l.plan.apply(ch)
	l.plan.Revision++
}

// requeueAccepted keeps the submissions and cancellations that a detached owner has accepted as requests to the later owner. A
// job that has ended meanwhile is not submitted again, so that it doesn't run twice.
func (l *journal) requeueAccepted() {
	if l.applied == 0 {
		return
	}
	var changes []Change
	if l.flight != nil && !l.cut {
		changes = append(changes, l.flight.Changes...)
	}
	for _, ch := range append(changes, l.own...) {
		switch {
		case ch.Kind == Submitted && l.plan.Jobs[ch.Spec.ID] != nil, ch.Kind == Cancelling, ch.Kind == Siding:
			l.requests = append(l.requests, Request{Changes: []Change{ch}})
		}
	}
}

// settle takes note that the first n changes were written.
func (l *journal) settle(n int) {
	l.applied = max(l.applied-n, 0)
	if l.applied == 0 {
		l.plan, l.bytes = l.stored, 0
	}
}

// reapply applies the changes that are ahead of their write to a plan that was read.
func (l *journal) reapply() {
	if l.applied == 0 {
		return
	}
	l.plan = l.stored.Clone()
	for _, ch := range l.own[:l.applied] {
		l.applyUnwritten(ch)
	}
}

// chunk returns the owner's changes that the next write takes.
func (l *journal) chunk() []Change {
	size := 0
	for i, ch := range l.own {
		if size += len(encode(ch)); size > maxBatch && i > 0 {
			return l.own[:i:i]
		}
	}
	return l.own[:len(l.own):len(l.own)]
}
