package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

const (
	// maxCalls bounds the concurrent calls of one cell to the store and the worker service.
	maxCalls = 64
	// watchRetryPause is the time before a watch that failed is repeated, and between checks whether this process has become
	// the owner.
	watchRetryPause = 250 * time.Millisecond
	// configReadTimeout is how long a new owner waits for the configuration. It is the bound within which every process that
	// reaches the store has an accepted revision in force, so that waiting for longer gains nothing.
	configReadTimeout = 8 * time.Second
	// maxDecisionInterval is the longest time between decisions. Without other changes, the waiting times alone change the
	// order of the queue.
	maxDecisionInterval = 2 * time.Second
)

// view is the state of a controller that other goroutines read.
type view struct {
	plan  *cell.Plan
	owned bool
	// detached is true while the owner makes decisions during an outage of the store.
	detached bool
	epoch    model.Epoch
	// decision is the latest decision of this process as owner, if decided is true.
	decision Output
	decided  bool
}

// controller runs the state machine of one cell. Its fields without a lock belong to the goroutine of run.
type controller struct {
	sched    *Sched
	id       model.CellID
	cell     *cell.Cell
	executor executor
	log      *slog.Logger

	// inbox passes events from other goroutines to run.
	inbox chan cell.Event
	// callSlots bounds the concurrent calls to maxCalls.
	callSlots  chan struct{}
	view       atomic.Pointer[view]
	goroutines sync.WaitGroup
	// requestNumber is the number of the last request; its reply has the same number.
	requestNumber atomic.Uint64
	owned         atomic.Bool
	// drained is true once the owner's lease is revoked and the gangs have another owner.
	drained  atomic.Bool
	decider  Decider
	decision Output
	// deciderEpoch is the epoch of this owner that the decider was created for.
	deciderEpoch model.Epoch
	// ownedSince is when this process became the owner in deciderEpoch. configRead is true once the configuration has been
	// read since then.
	ownedSince time.Time
	configRead bool
	// decisionMade is true if decision was made in this epoch. decisionBasis holds the plan's revision and the version of the
	// inputs that it was made on; while these don't change, the next decision is made at decideAgainAt.
	decisionMade  bool
	decisionBasis [2]uint64
	decideAgainAt time.Time
	// handingOver holds the jobs that are being handed over to other cells; handoverEnded receives a job when the attempt
	// has ended, with or without success.
	handingOver   map[model.JobID]bool
	handoverEnded chan model.JobID
	// waitingSince holds when this owner first saw each job wait in the cell.
	waitingSince          map[model.JobID]time.Time
	evacuationLog         evacuationLog
	nextBalance           time.Time
	nextFeasibilitySearch time.Time
	balancing             atomic.Bool

	mu sync.Mutex
	// replies holds the channels of the callers that wait for replies, by request number.
	replies map[uint64]chan cell.Reply
}

func (s *Sched) newController(id model.CellID, sameRegion bool) *controller {
	settings := cell.Defaults(id, s.Self)
	if !sameRegion {
		settings.ContentionDelay = otherRegionDelay
	}
	c := &controller{
		sched: s, id: id, cell: cell.New(settings, s.clock()), decider: s.newDecider(),
		executor: executor{
			id: id, self: s.Self, ttl: settings.OwnerLeaseTTL, keys: cellKeys(id), store: s.Store, works: s.Works, now: s.clock,
			markWorkerLost: s.markWorkerLost,
		},
		log:   s.logger().With("cell", string(id)),
		inbox: make(chan cell.Event, 4*maxCalls), callSlots: make(chan struct{}, maxCalls), handoverEnded: make(chan model.JobID),
		replies: map[uint64]chan cell.Reply{},
	}
	c.view.Store(&view{plan: &cell.Plan{}})
	return c
}

// run passes events to the cell until ctx ends.
func (c *controller) run(ctx context.Context) {
	c.goroutines.Go(func() { c.watchOwner(ctx) })
	c.goroutines.Go(func() { c.watchLog(ctx) })
	ticker := time.NewTicker(c.cell.ControlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.goroutines.Wait()
			return
		case <-ticker.C:
			c.handleEvent(ctx, cell.Tick{})
			c.startHandovers(ctx)
			c.balance(ctx)
		case id := <-c.handoverEnded:
			delete(c.handingOver, id)
		case e := <-c.inbox:
			c.handleEvent(ctx, e)
		}
	}
}

// handleEvent passes an event to the cell and carries out the effects that follow.
func (c *controller) handleEvent(ctx context.Context, e cell.Event) {
	// The view is published before the replies, so that a caller finds its change there.
	var replies []cell.Reply
	for _, effect := range c.cell.Step(c.sched.clock(), e) {
		switch effect := effect.(type) {
		case cell.Reply:
			replies = append(replies, effect)
		case cell.Decide:
			c.decide(ctx)
		default:
			c.goroutines.Go(func() { c.runEffect(ctx, effect) })
		}
	}
	c.publishView()
	c.drained.Store(c.cell.Drained())
	for _, r := range replies {
		c.deliverReply(r)
	}
}

// runEffect carries out an effect and sends the answer to the inbox.
func (c *controller) runEffect(ctx context.Context, e cell.Effect) {
	select {
	case c.callSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	a := c.executor.execute(ctx, e)
	<-c.callSlots
	if a.Code == cell.Fenced {
		c.log.Info("worker service refused a command: a later owner has fenced it", "command", fmt.Sprintf("%T", e))
	}
	c.sendEvent(ctx, a)
}

// sendEvent puts an event into the inbox, unless ctx ends before there is room.
func (c *controller) sendEvent(ctx context.Context, e cell.Event) {
	select {
	case c.inbox <- e:
	case <-ctx.Done():
	}
}

// decide makes a decision and passes its actions to the cell, unless the latest decision still holds.
func (c *controller) decide(ctx context.Context) {
	in, ok := c.sched.cellInputs(c.id)
	now, p := c.sched.clock(), c.cell.Plan()
	if !ok || !c.hasReadConfig() || c.decisionMade && c.decisionBasis == [2]uint64{p.Revision, in.version} && now.Before(c.decideAgainAt) {
		return
	}
	input := Input{Cell: c.id, Plan: p, Workers: in.workers, Declaration: in.declaration, Usage: c.sched.usageCache.latest(c.id)}
	out := c.decider.Decide(now, input)
	c.evacuationLog.update(c.log, now, input, out.Shortfalls)
	c.decision, c.decisionMade, c.decisionBasis = out, true, [2]uint64{p.Revision, in.version}
	c.decideAgainAt = now.Add(maxDecisionInterval)
	if !out.Wake.IsZero() && out.Wake.Before(c.decideAgainAt) {
		c.decideAgainAt = out.Wake
	}
	actions := append(out.Actions, c.sched.guaranteeHandovers(c.id, p)...)
	if len(actions) > 0 || out.Note != nil {
		c.handleEvent(ctx, cell.DecisionMade{Actions: actions, Note: out.Note})
	}
}

// hasReadConfig reports whether this owner may decide on the configuration that it knows: it has been read from the store in
// this term, the store is down, or configReadTimeout has passed.
func (c *controller) hasReadConfig() bool {
	read := c.sched.ConfigReadSince
	c.configRead = c.configRead || read == nil || read(c.ownedSince)
	return c.configRead || c.cell.Detached() || c.sched.clock().Sub(c.ownedSince) >= configReadTimeout
}

// publishView replaces the view. If this process has become the owner, it also creates a new decider. It logs
// when the ownership or the detachment from the store changes.
func (c *controller) publishView() {
	p, old := c.cell.Plan(), c.view.Load()
	owned := c.cell.Owns(c.sched.clock())
	if owned != old.owned {
		c.log.Info("ownership of the cell changed", "owned", owned, "epoch", uint64(c.cell.Epoch()))
		c.owned.Store(owned)
		if epoch := c.cell.Epoch(); owned && epoch != c.deciderEpoch {
			// Another owner may have decided in between, so the new decider starts from the plan.
			c.decider, c.deciderEpoch, c.ownedSince, c.configRead = c.sched.newDecider(), epoch, c.sched.clock(), false
			c.decision, c.decisionMade, c.evacuationLog = Output{}, false, evacuationLog{}
		}
	}
	detached := c.cell.Detached()
	if detached != old.detached {
		c.log.Warn("decisions during an outage of the store", "detached", detached, "epoch", uint64(c.cell.Epoch()))
	}
	next := &view{
		plan: old.plan, owned: owned, detached: detached, epoch: c.cell.Epoch(), decision: c.decision, decided: c.decisionMade,
	}
	if p.Revision != old.plan.Revision || p.Epoch != old.plan.Epoch {
		next.plan = p.Clone()
	}
	c.view.Store(next)
}

// deliverReply passes a reply to the caller that waits for it, if it still waits.
func (c *controller) deliverReply(r cell.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.replies[r.Number]; ch != nil {
		ch <- r
		delete(c.replies, r.Number)
	}
}

// writeChanges writes changes to the plan. It returns when they are durable, or, with stored false, when an owner has accepted
// them during an outage of the store.
func (c *controller) writeChanges(ctx context.Context, changes ...cell.Change) (stored bool, err error) {
	requestNumber := c.requestNumber.Add(1)
	return c.sendAndWait(ctx, requestNumber, cell.ChangeRequest{Number: requestNumber, Changes: changes})
}

// refreshView reads the plan from the store and returns when the view shows it.
func (c *controller) refreshView(ctx context.Context) error {
	requestNumber := c.requestNumber.Add(1)
	_, err := c.sendAndWait(ctx, requestNumber, cell.PlanReadRequest{Number: requestNumber})
	return err
}

// sendAndWait sends an event to the cell and waits for the reply with the request number of the event.
func (c *controller) sendAndWait(ctx context.Context, requestNumber uint64, e cell.Event) (stored bool, err error) {
	ch := make(chan cell.Reply, 1)
	c.mu.Lock()
	c.replies[requestNumber] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.replies, requestNumber)
		c.mu.Unlock()
	}()
	select {
	case c.inbox <- e:
	case <-ctx.Done():
		return false, &PendingError{Cell: c.id, Cause: ctx.Err()}
	}
	select {
	case r := <-ch:
		switch {
		case r.PlanFull:
			return false, &FullError{Cell: c.id}
		case r.Refused:
			return false, &OutageError{Cell: c.id, Owner: r.Owner}
		}
		return !r.Unstored, nil
	case <-ctx.Done():
		return false, &PendingError{Cell: c.id, Cause: ctx.Err()}
	}
}

// watchOwner sends the state of the owner's key to the cell after each change, until ctx ends.
func (c *controller) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		items, revision, err := c.sched.Store.List(ctx, c.executor.keys.owner)
		for err == nil {
			c.sendEvent(ctx, parseOwner(items))
			var changes []storeItem
			changes, revision, err = c.sched.Store.Watch(ctx, c.executor.keys.owner, revision)
			if len(changes) > 0 {
				items = changes
			}
		}
		c.sendEvent(ctx, cell.StoreUnanswered{})
		pause(ctx, watchRetryPause)
	}
}

// parseOwner returns the state of the owner's key according to the last item.
func parseOwner(items []storeItem) cell.OwnerKeySeen {
	if len(items) == 0 || items[len(items)-1].Version == 0 {
		return cell.OwnerKeySeen{}
	}
	var v ownerValue
	if json.Unmarshal(items[len(items)-1].Value, &v) != nil {
		return cell.OwnerKeySeen{Exists: true}
	}
	return cell.OwnerKeySeen{Exists: true, Owner: v.Owner}
}

// watchLog sends the versions of the plan's log to the cell while this process owns it, so that changes that other processes
// append are read.
func (c *controller) watchLog(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		if !c.owned.Load() {
			revision = 0
			pause(ctx, watchRetryPause)
			continue
		}
		items, next, err := c.sched.Store.Watch(ctx, c.executor.keys.log, revision)
		if err != nil {
			pause(ctx, watchRetryPause)
			continue
		}
		revision = next
		for _, item := range items {
			c.sendEvent(ctx, cell.LogVersionSeen{Version: item.Version})
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Input is the state of a cell that a decision is based on.
type Input struct {
	Cell        model.CellID
	Plan        *cell.Plan
	Workers     []model.Worker
	Declaration model.Declaration
	// Usage is the latest usage of the cell's tasks; nil if none was read yet.
	Usage *UsageBatch
}

// Output is the result of a decision.
type Output struct {
	Actions []cell.Action
	// Note is stored with the plan for the decider of the next owner; nil leaves the present note.
	Note       []byte
	Waiting    []plan.Waiting
	Shortfalls []plan.Shortfall
	Holds      []Hold
	// Wake is when to decide again if nothing changes before; zero means that no time is set.
	Wake time.Time
	// WorkerStates holds the state of each worker, with the failures attributed to it.
	WorkerStates map[model.WorkerID]plan.WorkerState
	// Capacity holds the free and reclaimable accelerators once the actions are carried out.
	Capacity plan.FreeCapacity
	// UsageByJob holds the sizes of the jobs whose usage is known.
	UsageByJob map[model.JobID]JobUsage
}

// Decider decides which jobs a cell starts and stops.
type Decider interface {
	// Decide returns the decision for a cell at a time.
	Decide(now time.Time, in Input) Output
}
