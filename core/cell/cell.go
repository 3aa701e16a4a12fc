package cell

import (
	"time"

	"wagtailhoist/core/model"
)

// Settings are the constants of a cell's control.
type Settings struct {
	Cell model.CellID
	Self model.NodeID
	// OwnerTTL is the ttl of the owner's lease. It is below GrantTTL by more than the time that a new owner needs
	// to adopt the gangs, so that the death of an owner stops none.
	OwnerTTL time.Duration
	// GrantTTL is the ttl of a gang's grant.
	GrantTTL time.Duration
	// Interval is the control interval.
	Interval time.Duration
	// Delay is how long the process leaves a cell without owner to processes that are nearer.
	Delay time.Duration
}

// Defaults returns the settings that the design page gives.
func Defaults(id model.CellID, self model.NodeID) Settings {
	return Settings{
		Cell: id, Self: self,
		OwnerTTL: time.Second, GrantTTL: 2 * time.Second, Interval: 250 * time.Millisecond,
	}
}

type role uint8

// Steps of a process towards the ownership of the cell, in their order.
const (
	idle role = iota
	leasing
	reading
	claiming
	owning
	fencing
	listing
	owner
)

// Cell is the control of one cell by one process. Step is its only way to change.
type Cell struct {
	Settings

	role  role
	epoch model.Epoch
	next  model.Epoch
	// lease is the store's lease; it may have ended at leaseEnd.
	lease    uint64
	leaseEnd time.Time
	renewing bool
	outage
	// held says that the owner's key was seen; retry is when to try again whatever was seen.
	held     bool
	retry    time.Time
	draining bool

	journal journal
	gangs   map[model.JobID]*gang
	// asking says that a list of tasks is outstanding.
	asking bool
	// strays says that live tasks are left that the plan doesn't know. A later placement of their job could have
	// the same task identifiers or run beside them, so nothing is placed until they have gone.
	strays bool
	out    []Effect
}

// New returns the control of a cell by a process that starts at now.
func New(s Settings, now time.Time) *Cell {
	return &Cell{
		Settings: s, journal: newJournal(s.Self, now), gangs: map[model.JobID]*gang{}, retry: now.Add(s.Delay),
	}
}

// Plan returns the plan as last known; the caller must not change it.
func (c *Cell) Plan() *Plan { return c.journal.plan }

// Owns reports whether the process owns the cell and may decide at now.
func (c *Cell) Owns(now time.Time) bool {
	return c.role == owner && (c.detached || now.Before(c.leaseEnd)) && !c.draining
}

// Drained reports whether a process that drains has given up the cell and no longer watches gangs.
func (c *Cell) Drained() bool { return c.draining && c.role == idle && len(c.gangs) == 0 }

// Epoch returns the epoch of the commands of this process; 0 if it never owned the cell.
func (c *Cell) Epoch() model.Epoch { return c.epoch }

// Step takes an event at now and returns what to do.
func (c *Cell) Step(now time.Time, e Event) []Effect {
	c.detectPause(now)
	switch e := e.(type) {
	case Tick:
		c.tick(now)
	case OwnerSeen:
		c.down = false
		if e.Owner != "" {
			c.lastOwner = e.Owner
		}
		c.ownerSeen(now, e.Held)
	case StoreMissed:
		c.storeMissed()
	case PlanSeen:
		c.journal.seen(e.Version)
	case Request:
		c.request(e)
	case Refresh:
		c.journal.renew(e)
	case Decided:
		c.decided(now, e)
	case Drain:
		c.draining = true
	case Answer:
		c.answer(now, e)
	}
	c.detach(now)
	for c.detached && c.journal.advance() {
		c.loaded(now)
	}
	c.handOver()
	c.journal.probe = c.missRenew
	c.emit(c.journal.flush(c.mayWrite(now))...)
	out := c.out
	c.out = nil
	return out
}

func (c *Cell) emit(effects ...Effect) { c.out = append(c.out, effects...) }

// mayWrite reports whether changes of the owner may be written at now.
func (c *Cell) mayWrite(now time.Time) bool {
	if c.role == owner && (c.detached || c.journal.applied > 0) {
		return true
	}
	return (c.role == owner || c.role == owning) && now.Before(c.leaseEnd)
}

func (c *Cell) command() Command { return Command{Epoch: c.epoch, Plan: c.journal.plan.Revision} }

func (c *Cell) tick(now time.Time) {
	c.journal.refresh = true
	switch {
	case c.role == idle:
		c.acquire(now)
	case now.After(c.leaseEnd) && c.role != owner:
		c.abandon(now)
	case c.role == owner && c.lease == 0:
		c.regain()
	case !c.renewing && !c.regaining && c.lease != 0 && now.After(c.leaseEnd.Add(-c.OwnerTTL*3/4)):
		c.renewing = true
		c.emit(RenewLease{Lease: c.lease})
	}
	if c.missRenew && c.role == owner {
		c.journal.stale = true
	}
	switch {
	case c.role == reading && !c.journal.busy:
		c.emit(c.journal.load())
	case c.role == fencing:
		c.fence()
	case c.role == listing || c.strays || len(c.gangs) > 0:
		c.list()
	}
	c.tickGangs(now)
	if c.Owns(now) && !c.strays && (c.detached || c.journal.idle() && !c.journal.stale) {
		c.emit(Decide{})
	}
}

func (c *Cell) fence() {
	if !c.asking {
		c.asking = true
		c.emit(Fence{Command: c.command()})
	}
}

func (c *Cell) list() {
	if !c.asking {
		c.asking = true
		c.emit(ListTasks{Epoch: c.epoch})
	}
}

// heldFor is how many ttl a process waits before it tries to take a cell whose owner was seen; the watch tells
// of the end of an owner much sooner.
const heldFor = 10

func (c *Cell) ownerSeen(now time.Time, held bool) {
	was := c.held
	c.held = held
	c.ownerKnown = c.ownerKnown || held
	switch {
	case c.role != idle:
	case held:
		c.retry = now.Add(heldFor * c.OwnerTTL)
	case was:
		c.retry = now.Add(c.Delay)
		c.acquire(now)
	}
}

// acquire takes the first step towards ownership.
func (c *Cell) acquire(now time.Time) {
	if c.draining || now.Before(c.retry) {
		return
	}
	c.role = leasing
	c.leaseEnd = now.Add(c.OwnerTTL)
	c.emit(GrantLease{TTL: c.OwnerTTL})
}

// abandon gives up the steps towards ownership.
func (c *Cell) abandon(now time.Time) {
	if c.lease != 0 {
		c.emit(RevokeLease{Lease: c.lease})
	}
	c.role, c.lease, c.renewing, c.strays = idle, 0, false, false
	c.outage.end()
	c.retry = now.Add(c.OwnerTTL)
	if c.held {
		c.retry = now.Add(heldFor * c.OwnerTTL)
	}
	c.journal.drop()
}

// lose gives up the cell to a later owner, with all gangs.
func (c *Cell) lose(now time.Time) {
	c.abandon(now)
	clear(c.gangs)
}

// handOver ends the ownership of a process that drains, once its last changes are written. It goes on renewing
// grants until the next owner's epoch fences it.
func (c *Cell) handOver() {
	if c.draining && c.role == owner && c.journal.idle() {
		c.emit(RevokeLease{Lease: c.lease})
		c.role, c.lease, c.renewing, c.strays = idle, 0, false, false
		c.outage.end()
	}
}

func (c *Cell) answer(now time.Time, a Answer) {
	c.storeAnswered(a)
	switch to := a.To.(type) {
	case GrantLease:
		c.granted(now, a)
	case RenewLease:
		c.renewed(now, to, a)
	case WriteOwner:
		c.claimed(now, to, a)
	case LoadPlan:
		if c.journal.read(a) {
			c.loaded(now)
		}
	case WriteLog:
		if c.journal.wroteLog(a) {
			c.loaded(now)
		}
	case WriteBase:
		c.journal.wroteBase(a)
	case Fence:
		c.asking = false
		if !c.outdated(now, to.Command.Epoch, a.Code) && a.Code == OK && c.role == fencing {
			c.role = listing
			c.list()
		}
	case ListTasks:
		c.asking = false
		if a.Code == OK && to.Epoch == c.epoch {
			c.listed(now, a)
		}
	default:
		c.answerGang(now, a)
	}
}

// outdated handles a fenced command; commands of an earlier epoch of this process say nothing new.
func (c *Cell) outdated(now time.Time, epoch model.Epoch, code Code) bool {
	if code == Fenced && epoch == c.epoch {
		c.lose(now)
	}
	return code == Fenced || epoch != c.epoch
}

func (c *Cell) granted(now time.Time, a Answer) {
	if c.role == owner && c.regaining && c.lease == 0 {
		c.regranted(a)
		return
	}
	if c.role != leasing {
		if a.Code == OK {
			c.emit(RevokeLease{Lease: a.ID})
		}
		return
	}
	if a.Code != OK {
		c.role, c.retry = idle, now.Add(c.OwnerTTL)
		return
	}
	c.role, c.lease, c.leaseEnd = reading, a.ID, a.Sent.Add(c.OwnerTTL)
	if !c.journal.busy {
		c.emit(c.journal.load())
	}
}

func (c *Cell) renewed(now time.Time, to RenewLease, a Answer) {
	if to.Lease != c.lease {
		return
	}
	c.renewing = false
	switch a.Code {
	case OK:
		c.leaseEnd = a.Sent.Add(c.OwnerTTL)
		c.detached = c.detached && !now.Before(c.leaseEnd)
	case LeaseEnded:
		c.lease = 0
		if c.role == owner && (c.detached || c.journal.applied > 0) {
			c.journal.refresh = true
			c.regain()
			return
		}
		c.abandon(now)
		c.retry = time.Time{}
	}
}

func (c *Cell) claimed(now time.Time, to WriteOwner, a Answer) {
	if c.role == owner && c.regaining && to.Lease == c.lease {
		c.regained(a)
		return
	}
	if c.role != claiming || to.Lease != c.lease {
		return
	}
	if a.Code != OK {
		c.held = a.Code == Conflict
		c.abandon(now)
		return
	}
	c.role = owning
	c.journal.add(Change{Kind: Owned, Epoch: c.next, Owner: c.Self, At: now.UnixMilli()})
}

// loaded takes a new plan.
func (c *Cell) loaded(now time.Time) {
	plan := c.journal.plan
	switch c.role {
	case reading:
		if !c.ownerKnown && plan.Epoch > 0 {
			c.yieldToOwner(now)
			return
		}
		c.next, c.role = plan.Epoch+1, claiming
		c.emit(WriteOwner{Lease: c.lease, Epoch: c.next})
	case claiming:
	case owning:
		switch {
		case plan.Epoch == c.next && plan.Owner == c.Self:
			c.epoch, c.role = c.next, fencing
			c.fence()
		case plan.Epoch >= c.next:
			c.abandon(now)
		}
	case fencing, listing:
		if plan.Epoch != c.epoch {
			c.lose(now)
		}
	case owner:
		if plan.Epoch != c.epoch {
			c.lose(now)
			return
		}
		c.reconcile(now)
	}
}

func (c *Cell) listed(now time.Time, a Answer) {
	if c.role == listing {
		c.adopt(now, a)
		return
	}
	c.observe(now, a)
}
