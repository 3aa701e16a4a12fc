package cell

import (
	"time"

	"wagtailhoist/core/model"
)

// Settings configures the control of a cell by one process.
type Settings struct {
	Cell model.CellID
	// Self identifies this process.
	Self model.NodeID
	// OwnerLeaseTTL is the TTL of the owner's lease. It is shorter than GrantTTL by more than the time that a new owner
	// needs to adopt the gangs, so that no gang stops when an owner dies.
	OwnerLeaseTTL time.Duration
	// GrantTTL is the TTL of a gang's grant.
	GrantTTL time.Duration
	// ControlInterval is the control interval, the time between two Tick events.
	ControlInterval time.Duration
	// ContentionDelay is how long the process waits before it contends for a cell without an owner, so that processes that
	// are nearer to the cell get it first.
	ContentionDelay time.Duration
}

// Defaults returns the default settings of a cell.
func Defaults(id model.CellID, self model.NodeID) Settings {
	return Settings{
		Cell: id, Self: self,
		OwnerLeaseTTL: time.Second, GrantTTL: 2 * time.Second, ControlInterval: 250 * time.Millisecond,
	}
}

// role is the step that a process has reached on its way to own the cell.
type role uint8

// The roles, in the order in which a process goes through them.
const (
	// idle processes neither own the cell nor contend for it.
	idle role = iota
	awaitingLease
	readingPlan
	writingOwnerKey
	// writingEpoch processes write the OwnerChanged change with the next epoch to the plan.
	writingEpoch
	// raisingFence processes make the worker service fence the commands of earlier epochs.
	raisingFence
	listingTasks
	owner
)

// Cell is the control of one cell by one process. Its state changes only in Step.
type Cell struct {
	Settings

	role role
	// epoch is that of the commands of this process, nextEpoch the one that it is about to write.
	epoch     model.Epoch
	nextEpoch model.Epoch
	// lease is the lease of the owner key; it may have ended from leaseEnd on.
	lease         uint64
	leaseEnd      time.Time
	renewingLease bool
	outage
	// ownerKeyExists says whether the owner key existed when it was last seen. At retryAt the process contends for
	// the cell in any case.
	ownerKeyExists bool
	retryAt        time.Time
	draining       bool

	journal journal
	gangs   map[model.JobID]*gang
	// serviceCallPending says that a Fence or ListTasks call is outstanding.
	serviceCallPending bool
	// strayTasks says that live tasks are left that belong to no placement of the plan. A later placement of their job
	// could have the same task identifiers or run at the same time, so nothing is placed until they have ended.
	strayTasks bool
	// effects collects the effects that the current Step returns.
	effects []Effect
}

// New returns the control of a cell by a process that starts at the time now.
func New(s Settings, now time.Time) *Cell {
	return &Cell{
		Settings: s, journal: newJournal(s.Self, now), gangs: map[model.JobID]*gang{}, retryAt: now.Add(s.ContentionDelay),
	}
}

// Plan returns the plan as last known, including changes that a detached owner has not written yet. The caller must
// not modify it.
func (c *Cell) Plan() *Plan { return c.journal.plan }

// Owns reports whether the process owns the cell and may make decisions at the time now.
func (c *Cell) Owns(now time.Time) bool {
	return c.role == owner && (c.detached || now.Before(c.leaseEnd)) && !c.draining
}

// Drained reports whether a draining process has given up the cell and no longer renews grants of its gangs.
func (c *Cell) Drained() bool { return c.draining && c.role == idle && len(c.gangs) == 0 }

// Epoch returns the epoch of the commands of this process, or 0 if it never owned the cell.
func (c *Cell) Epoch() model.Epoch { return c.epoch }

// Step handles an event that happened at the time now, and returns the effects to carry out.
func (c *Cell) Step(now time.Time, e Event) []Effect {
	c.detectPause(now)
	switch e := e.(type) {
	case Tick:
		c.handleTick(now)
	case OwnerKeySeen:
		c.storeDown = false
		if e.Owner != "" {
			c.lastOwner = e.Owner
		}
		c.handleOwnerKey(now, e.Exists)
	case StoreUnanswered:
		c.recordStoreDown()
	case LogVersionSeen:
		c.journal.noteLogVersion(e.Version)
	case ChangeRequest:
		c.handleRequest(e)
	case PlanReadRequest:
		c.journal.queueRead(e)
	case DecisionMade:
		c.applyDecision(now, e)
	case DrainRequested:
		c.draining = true
	case Answer:
		c.handleAnswer(now, e)
	}
	c.detachIfStoreDown(now)
	for c.detached && c.journal.applyQueuedChanges() {
		c.handlePlanChange(now)
	}
	c.finishDrain()
	c.journal.probeRead = c.renewalUnanswered
	c.emit(c.journal.flush(c.mayWriteOwnerChanges(now))...)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Cell) emit(added ...Effect) { c.effects = append(c.effects, added...) }

// mayWriteOwnerChanges reports whether the changes that only an owner may make can be written at the time now. Changes
// that a detached owner has applied in memory are written even after its lease has ended: if there is a later owner,
// their compare-and-swap fails.
func (c *Cell) mayWriteOwnerChanges(now time.Time) bool {
	if c.role == owner && (c.detached || c.journal.appliedUnwritten > 0) {
		return true
	}
	return (c.role == owner || c.role == writingEpoch) && now.Before(c.leaseEnd)
}

// currentCommand returns the epoch and plan revision for a command to the worker service.
func (c *Cell) currentCommand() Command {
	return Command{Epoch: c.epoch, Plan: c.journal.plan.Revision}
}

// handleTick contends for the cell or renews the lease, repeats calls without an answer, and asks for a decision if the
// process owns the cell.
func (c *Cell) handleTick(now time.Time) {
	c.journal.mayRead = true
	switch {
	case c.role == idle:
		c.requestOwnerLease(now)
	case now.After(c.leaseEnd) && c.role != owner:
		c.stepDown(now)
	case c.role == owner && c.lease == 0:
		c.regainLease()
	case !c.renewingLease && !c.regainingLease && c.lease != 0 && now.After(c.leaseEnd.Add(-c.OwnerLeaseTTL*3/4)):
		c.renewingLease = true
		c.emit(RenewLease{Lease: c.lease})
	}
	if c.renewalUnanswered && c.role == owner {
		c.journal.stale = true
	}
	switch {
	case c.role == readingPlan && !c.journal.storeCallPending:
		c.emit(c.journal.readPlan())
	case c.role == raisingFence:
		c.sendFence()
	case c.role == listingTasks || c.strayTasks || len(c.gangs) > 0:
		c.requestTaskList()
	}
	c.tickGangs(now)
	if c.Owns(now) && !c.strayTasks && (c.detached || c.journal.idle() && !c.journal.stale) {
		c.emit(Decide{})
	}
}

func (c *Cell) sendFence() {
	if !c.serviceCallPending {
		c.serviceCallPending = true
		c.emit(Fence{Command: c.currentCommand()})
	}
}

func (c *Cell) requestTaskList() {
	if !c.serviceCallPending {
		c.serviceCallPending = true
		c.emit(ListTasks{Epoch: c.epoch})
	}
}

// ownerKeyRetryTTLs is how many times OwnerLeaseTTL a process waits before it contends for a cell although the owner key
// was seen. Normally the watch reports the deletion of the key much sooner.
const ownerKeyRetryTTLs = 10

// handleOwnerKey records whether the owner key exists, and contends for the cell when the key has been deleted.
func (c *Cell) handleOwnerKey(now time.Time, ownerKeyExists bool) {
	existedBefore := c.ownerKeyExists
	c.ownerKeyExists = ownerKeyExists
	c.ownerKeyKnown = c.ownerKeyKnown || ownerKeyExists
	switch {
	case c.role != idle:
	case ownerKeyExists:
		c.retryAt = now.Add(ownerKeyRetryTTLs * c.OwnerLeaseTTL)
	case existedBefore:
		c.retryAt = now.Add(c.ContentionDelay)
		c.requestOwnerLease(now)
	}
}

// requestOwnerLease takes the first step towards ownership, unless the process drains or has to wait until retryAt.
func (c *Cell) requestOwnerLease(now time.Time) {
	if c.draining || now.Before(c.retryAt) {
		return
	}
	c.role = awaitingLease
	c.leaseEnd = now.Add(c.OwnerLeaseTTL)
	c.emit(GrantLease{TTL: c.OwnerLeaseTTL})
}

// stepDown gives up the ownership of the cell, or the attempt to get it. The process continues to renew the
// grants of its gangs.
func (c *Cell) stepDown(now time.Time) {
	if c.lease != 0 {
		c.emit(RevokeLease{Lease: c.lease})
	}
	c.role, c.lease, c.renewingLease, c.strayTasks = idle, 0, false, false
	c.outage.clearOwnerState()
	c.retryAt = now.Add(c.OwnerLeaseTTL)
	if c.ownerKeyExists {
		c.retryAt = now.Add(ownerKeyRetryTTLs * c.OwnerLeaseTTL)
	}
	c.journal.dropOwnerChanges()
}

// stepDownForSuccessor steps down because a later owner has the cell, and leaves all gangs to that owner.
func (c *Cell) stepDownForSuccessor(now time.Time) {
	c.stepDown(now)
	clear(c.gangs)
}

// finishDrain ends the ownership of a draining process once its last changes are written. The process continues to
// renew grants until the epoch of the next owner fences it.
func (c *Cell) finishDrain() {
	if c.draining && c.role == owner && c.journal.idle() {
		c.emit(RevokeLease{Lease: c.lease})
		c.role, c.lease, c.renewingLease, c.strayTasks = idle, 0, false, false
		c.outage.clearOwnerState()
	}
}

// handleAnswer handles the result of an effect.
func (c *Cell) handleAnswer(now time.Time, a Answer) {
	c.trackStoreAvailability(a)
	switch effect := a.ForEffect.(type) {
	case GrantLease:
		c.handleGrantLease(now, a)
	case RenewLease:
		c.handleRenewLease(now, effect, a)
	case WriteOwner:
		c.handleWriteOwner(now, effect, a)
	case LoadPlan:
		if c.journal.handleLoadPlan(a) {
			c.handlePlanChange(now)
		}
	case WriteLog:
		if c.journal.handleWriteLog(a) {
			c.handlePlanChange(now)
		}
	case WriteBase:
		c.journal.handleWriteBase(a)
	case Fence:
		c.serviceCallPending = false
		if !c.handleStaleEpoch(now, effect.Command.Epoch, a.Code) && a.Code == OK && c.role == raisingFence {
			c.role = listingTasks
			c.requestTaskList()
		}
	case ListTasks:
		c.serviceCallPending = false
		if a.Code == OK && effect.Epoch == c.epoch {
			c.handleTaskList(now, a)
		}
	default:
		c.handleGangAnswer(now, a)
	}
}

// handleStaleEpoch reports whether the answer to a command of the given epoch must be ignored, because the command was
// fenced or belongs to an earlier epoch of this process. It steps down if the current epoch was fenced.
func (c *Cell) handleStaleEpoch(now time.Time, epoch model.Epoch, code Code) bool {
	if code == Fenced && epoch == c.epoch {
		c.stepDownForSuccessor(now)
	}
	return code == Fenced || epoch != c.epoch
}

func (c *Cell) handleGrantLease(now time.Time, a Answer) {
	if c.role == owner && c.regainingLease && c.lease == 0 {
		c.handleRegainedLease(a)
		return
	}
	if c.role != awaitingLease {
		if a.Code == OK {
			c.emit(RevokeLease{Lease: a.ID})
		}
		return
	}
	if a.Code != OK {
		c.role, c.retryAt = idle, now.Add(c.OwnerLeaseTTL)
		return
	}
	c.role, c.lease, c.leaseEnd = readingPlan, a.ID, a.Sent.Add(c.OwnerLeaseTTL)
	if !c.journal.storeCallPending {
		c.emit(c.journal.readPlan())
	}
}

func (c *Cell) handleRenewLease(now time.Time, call RenewLease, a Answer) {
	if call.Lease != c.lease {
		return
	}
	c.renewingLease = false
	switch a.Code {
	case OK:
		c.leaseEnd = a.Sent.Add(c.OwnerLeaseTTL)
		c.detached = c.detached && !now.Before(c.leaseEnd)
	case LeaseEnded:
		c.lease = 0
		if c.role == owner && (c.detached || c.journal.appliedUnwritten > 0) {
			c.journal.mayRead = true
			c.regainLease()
			return
		}
		c.stepDown(now)
		// The owner key was deleted with its lease, so the process contends for the cell at the next tick.
		c.retryAt = time.Time{}
	}
}

func (c *Cell) handleWriteOwner(now time.Time, call WriteOwner, a Answer) {
	if c.role == owner && c.regainingLease && call.Lease == c.lease {
		c.handleRegainedOwnerKey(a)
		return
	}
	if c.role != writingOwnerKey || call.Lease != c.lease {
		return
	}
	if a.Code != OK {
		c.ownerKeyExists = a.Code == Conflict
		c.stepDown(now)
		return
	}
	c.role = writingEpoch
	c.journal.addOwnerChanges(Change{Kind: OwnerChanged, Epoch: c.nextEpoch, Owner: c.Self, At: now.UnixMilli()})
}

// handlePlanChange continues with the step of the current role after the plan has changed.
func (c *Cell) handlePlanChange(now time.Time) {
	plan := c.journal.plan
	switch c.role {
	case readingPlan:
		if !c.ownerKeyKnown && plan.Epoch > 0 {
			c.yieldToDetachedOwner(now)
			return
		}
		c.nextEpoch, c.role = plan.Epoch+1, writingOwnerKey
		c.emit(WriteOwner{Lease: c.lease, Epoch: c.nextEpoch})
	case writingOwnerKey:
	case writingEpoch:
		switch {
		case plan.Epoch == c.nextEpoch && plan.Owner == c.Self:
			c.epoch, c.role = c.nextEpoch, raisingFence
			c.sendFence()
		case plan.Epoch >= c.nextEpoch:
			c.stepDown(now)
		}
	case raisingFence, listingTasks:
		if plan.Epoch != c.epoch {
			c.stepDownForSuccessor(now)
		}
	case owner:
		if plan.Epoch != c.epoch {
			c.stepDownForSuccessor(now)
			return
		}
		c.reconcileGangs(now)
	}
}

func (c *Cell) handleTaskList(now time.Time, a Answer) {
	if c.role == listingTasks {
		c.adoptGangs(now, a)
		return
	}
	c.checkGangs(now, a)
}
