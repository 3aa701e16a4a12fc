package cell

import (
	"time"

	"wagtailhoist/core/model"
)

const (
	// maxUnwrittenBytes is the size of the unwritten changes above which a detached owner accepts no more jobs. Changes
	// to the jobs of the plan are still made.
	maxUnwrittenBytes = 256 << 10
	// maxBatchBytes limits the size of the owner's changes in one batch, since the store takes values up to 1 MB.
	maxBatchBytes = 256 << 10
	// pauseIntervals is how many control intervals without a step count as a pause of the process.
	pauseIntervals = 3
	// yieldToDetachedTTLs is how many times OwnerLeaseTTL a contender waits for an owner that may be detached. Such an owner
	// calls the store in each control interval (250 ms), gives a call up after 300 ms, and then needs one read and one
	// write.
	yieldToDetachedTTLs = 1
)

// outage is what a process knows about the availability of the store, and how it owns the cell during an outage.
type outage struct {
	// detached says that this process owns the cell and makes decisions without the store.
	detached bool
	// renewalUnanswered and readUnanswered say that the store did not answer the last renewal and the last read of the
	// plan. Calls without answer that were sent before resumedAt don't count.
	renewalUnanswered, readUnanswered bool
	// lastStep is the time of the last step, resumedAt that of the first step after a pause of the process.
	lastStep, resumedAt time.Time
	// regainingLease says that the owner is taking a new lease under its epoch. Once taken, it may end at
	// regainedLeaseEnd.
	regainingLease   bool
	regainedLeaseEnd time.Time
	// storeDown says that the store did not answer the last call or watch whose result is known.
	storeDown bool
	// ownerKeyKnown says that the owner key was seen since the store was last unavailable, or that a detached owner has
	// had the time to write its changes. Otherwise the key may be missing only because the store was down.
	ownerKeyKnown bool
	// lastOwner is the owner that the owner key named last.
	lastOwner model.NodeID
}

// clearOwnerState resets what applies only to an owner.
func (o *outage) clearOwnerState() {
	o.detached, o.renewalUnanswered, o.readUnanswered, o.regainingLease = false, false, false, false
}

// detectPause detects a pause of the process. The owner may have changed during the pause, so a detached owner calls the
// store again before it makes decisions.
func (c *Cell) detectPause(now time.Time) {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > pauseIntervals*c.ControlInterval {
		c.resumedAt = now
		c.detached, c.renewalUnanswered, c.readUnanswered = false, false, false
	}
	c.lastStep = now
}

// recordStoreDown records that the store did not answer.
func (c *Cell) recordStoreDown() {
	c.storeDown = true
	if c.role != owner {
		c.ownerKeyKnown = false
	}
}

// trackStoreAvailability records whether the store has answered a call. Calls that were sent before a pause of the
// process and got no answer are ignored.
func (c *Cell) trackStoreAvailability(a Answer) {
	unanswered := a.Code == OutcomeUnknown
	switch a.ForEffect.(type) {
	case RenewLease, GrantLease:
		if unanswered && a.Sent.Before(c.resumedAt) {
			return
		}
		c.renewalUnanswered = unanswered
	case LoadPlan:
		if unanswered && a.Sent.Before(c.resumedAt) {
			return
		}
		c.readUnanswered = unanswered
	default:
		return
	}
	if !unanswered {
		c.storeDown = false
		return
	}
	alreadyDown := c.storeDown
	c.recordStoreDown()
	if _, read := a.ForEffect.(LoadPlan); read && alreadyDown && c.role != owner {
		// One read without an answer may be a lost message; the second in a row means an outage. Callers are refused, so
		// that they can turn to the owner.
		var withoutCaller []ChangeRequest
		for _, r := range c.journal.queuedRequests {
			if r.Number == 0 {
				withoutCaller = append(withoutCaller, r)
				continue
			}
			c.refuseRequest(r)
		}
		c.journal.queuedRequests = withoutCaller
	}
}

// detachIfStoreDown makes an owner detached if its lease may have ended and the store answers neither renewals nor
// reads.
func (c *Cell) detachIfStoreDown(now time.Time) {
	if c.role == owner && !now.Before(c.leaseEnd) && c.renewalUnanswered && c.readUnanswered {
		c.detached = true
	}
}

// Detached reports whether the process owns the cell and makes decisions without the store.
func (c *Cell) Detached() bool { return c.detached }

// handleRequest queues the changes of a request. While the store is down, a process that isn't the owner refuses them,
// since a detached owner may be able to accept them.
func (c *Cell) handleRequest(r ChangeRequest) {
	if c.role != owner && c.storeDown {
		c.refuseRequest(r)
		return
	}
	c.journal.queueRequest(r)
}

// refuseRequest answers a request whose changes were never sent to the store, and names the likely owner.
func (c *Cell) refuseRequest(r ChangeRequest) {
	likelyOwner := c.lastOwner
	if likelyOwner == "" {
		likelyOwner = c.journal.plan.Owner
	}
	if likelyOwner == c.Self {
		likelyOwner = ""
	}
	c.emit(Reply{Number: r.Number, Refused: true, Owner: likelyOwner})
}

// yieldToDetachedOwner stops contending for as long as a detached owner, if there is one, needs to write its changes.
func (c *Cell) yieldToDetachedOwner(now time.Time) {
	c.stepDown(now)
	c.ownerKeyKnown, c.retryAt = true, now.Add(yieldToDetachedTTLs*c.OwnerLeaseTTL+c.ContentionDelay)
}

// regainLease takes a new lease for an owner whose lease has ended during an outage. The owner keeps its epoch: if there
// was another owner meanwhile, the change log shows a later one.
func (c *Cell) regainLease() {
	if !c.regainingLease && !c.draining {
		c.regainingLease = true
		c.emit(GrantLease{TTL: c.OwnerLeaseTTL})
	}
}

func (c *Cell) handleRegainedLease(a Answer) {
	if a.Code != OK {
		c.regainingLease = false
		return
	}
	c.lease, c.regainedLeaseEnd = a.ID, a.Sent.Add(c.OwnerLeaseTTL)
	c.emit(WriteOwner{Lease: c.lease, Epoch: c.epoch})
}

func (c *Cell) handleRegainedOwnerKey(a Answer) {
	c.regainingLease = false
	if a.Code != OK {
		c.emit(RevokeLease{Lease: c.lease})
		c.lease = 0
		return
	}
	c.leaseEnd, c.detached, c.ownerKeyExists = c.regainedLeaseEnd, false, true
}

// applyQueuedChanges applies all unwritten changes to the plan in memory, in order, and answers their requests as
// accepted but not stored. It reports whether there were any.
func (j *journal) applyQueuedChanges() bool {
	for _, r := range j.queuedRequests {
		j.ownerChanges = append(j.ownerChanges, r.Changes...)
	}
	for _, r := range append(j.requestsInFlight, j.queuedRequests...) {
		if r.Number != 0 {
			j.replies = append(j.replies, Reply{Number: r.Number, Unstored: true})
		}
	}
	j.requestsInFlight, j.queuedRequests = nil, nil
	var changes []Change
	if j.inFlight != nil {
		changes = append(changes, j.inFlight.Changes...)
	}
	changes = append(changes, j.ownerChanges...)
	if j.appliedUnwritten == len(changes) {
		return false
	}
	if j.appliedUnwritten == 0 {
		j.plan = j.storedPlan.Clone()
	}
	for _, change := range changes[j.appliedUnwritten:] {
		j.applyInMemory(change)
		j.unwrittenBytes += len(encode(change))
	}
	j.appliedUnwritten = len(changes)
	return true
}

// applyInMemory applies a change to plan before it is written.
func (j *journal) applyInMemory(change Change) {
	j.plan.apply(change)
	j.plan.Revision++
}

// requeueAccepted queues the submissions, cancellations and WorkerQuarantineSet changes that a detached owner has accepted as requests,
// so that they are written although the cell has another owner. A job that has ended meanwhile is not submitted again, so
// that it doesn't run twice.
func (j *journal) requeueAccepted() {
	if j.appliedUnwritten == 0 {
		return
	}
	var changes []Change
	if j.inFlight != nil && !j.dropInFlight {
		changes = append(changes, j.inFlight.Changes...)
	}
	for _, change := range append(changes, j.ownerChanges...) {
		switch {
		case change.Kind == JobSubmitted && j.plan.Jobs[change.Spec.ID] != nil, change.Kind == JobsCancelled, change.Kind == WorkerQuarantineSet:
			j.queuedRequests = append(j.queuedRequests, ChangeRequest{Changes: []Change{change}})
		}
	}
}

// recordWritten records that the first n unwritten changes were written.
func (j *journal) recordWritten(n int) {
	j.appliedUnwritten = max(j.appliedUnwritten-n, 0)
	if j.appliedUnwritten == 0 {
		j.plan, j.unwrittenBytes = j.storedPlan, 0
	}
}

// reapplyUnwritten applies the changes that were applied before their write again, to the plan that was read.
func (j *journal) reapplyUnwritten() {
	if j.appliedUnwritten == 0 {
		return
	}
	j.plan = j.storedPlan.Clone()
	for _, change := range j.ownerChanges[:j.appliedUnwritten] {
		j.applyInMemory(change)
	}
}

// nextOwnerChanges returns the owner's changes for the next batch, at least one if there are any.
func (j *journal) nextOwnerChanges() []Change {
	size := 0
	for i, change := range j.ownerChanges {
		if size += len(encode(change)); size > maxBatchBytes && i > 0 {
			return j.ownerChanges[:i:i]
		}
	}
	return j.ownerChanges[:len(j.ownerChanges):len(j.ownerChanges)]
}
