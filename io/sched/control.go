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
	// calls bounds the calls of one cell that are outstanding at a time.
	calls = 64
	// watchPause is the time between watches after one that failed.
	watchPause = 250 * time.Millisecond
	// decideEvery is the longest time between decisions; waiting alone changes the order of the queue.
	decideEvery = 2 * time.Second
)

// view is what a control shows to others.
type view struct {
	plan  *cell.Plan
	owned bool
	// detached says that the owner decides without the store.
	detached bool
	epoch    model.Epoch
	// decision is the latest one of the owner.
	decision Output
	// decided says that the owner has made a decision.
	decided bool
}

// control runs the Cell of one cell.
type control struct {
	sched *Sched
	id    model.CellID
	cell  *cell.Cell
	hands hands
	log   *slog.Logger

	inbox  chan cell.Event
	slots  chan struct{}
	view   atomic.Pointer[view]
	wait   sync.WaitGroup
	number atomic.Uint64
	owned  atomic.Bool
	// drained says that the lease is revoked and the gangs have another owner.
	drained  atomic.Bool
	decider  Decider
	decision Output
	// decides is the epoch that the decider was made for.
	decides model.Epoch
	// settled says that there is a decision by this owner, on the revision and inputs in based. Without a change
	// it stands until again.
	settled bool
	based   [2]uint64
	again   time.Time
	// leaving holds the jobs that are being sent to other cells, left takes those whose try has ended.
	leaving map[model.JobID]bool
	left    chan model.JobID
	// waits holds since when jobs wait here, as seen by this owner.
	waits       map[model.JobID]time.Time
	nextBalance time.Time
	nextFit     time.Time
	balancing   atomic.Bool

	mu      sync.Mutex
	replies map[uint64]chan cell.Reply
}

func (s *Sched) newControl(id model.CellID, near bool) *control {
	settings := cell.Defaults(id, s.Self)
	if !near {
		settings.Delay = farDelay
	}
	c := &control{
		sched: s, id: id, cell: cell.New(settings, s.clock()), decider: s.newDecider(),
		hands: hands{
			id: id, self: s.Self, ttl: settings.OwnerTTL, keys: keysOf(id), store: s.Store, works: s.Works, now: s.clock,
			missing: s.missing,
		},
		log:   s.logger().With("cell", string(id)),
		inbox: make(chan cell.Event, 4*calls), slots: make(chan struct{}, calls), left: make(chan model.JobID),
		replies: map[uint64]chan cell.Reply{},
	}
	c.view.Store(&view{plan: &cell.Plan{}})
	return c
}

// run steps the cell until ctx ends.
func (c *control) run(ctx context.Context) {
	c.wait.Go(func() { c.watchOwner(ctx) })
	c.wait.Go(func() { c.watchLog(ctx) })
	ticker := time.NewTicker(c.cell.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.wait.Wait()
			return
		case <-ticker.C:
			c.step(ctx, cell.Tick{})
			c.forward(ctx)
			c.balance(ctx)
		case id := <-c.left:
			delete(c.leaving, id)
		case e := <-c.inbox:
			c.step(ctx, e)
		}
	}
}

func (c *control) step(ctx context.Context, e cell.Event) {
	// Replies follow the new view, so that whoever gets one finds its change there.
	var replies []cell.Reply
	for _, effect := range c.cell.Step(c.sched.clock(), e) {
		switch effect := effect.(type) {
		case cell.Reply:
			replies = append(replies, effect)
		case cell.Decide:
			c.decide(ctx)
		default:
			c.wait.Go(func() { c.call(ctx, effect) })
		}
	}
	c.publish()
	c.drained.Store(c.cell.Drained())
	for _, r := range replies {
		c.reply(r)
	}
}

// call carries out one effect and hands the answer to the loop.
func (c *control) call(ctx context.Context, e cell.Effect) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	a := c.hands.do(ctx, e)
	<-c.slots
	if a.Code == cell.Fenced {
		c.log.Info("command fenced by a later owner", "command", fmt.Sprintf("%T", e))
	}
	c.send(ctx, a)
}

func (c *control) send(ctx context.Context, e cell.Event) {
	select {
	case c.inbox <- e:
	case <-ctx.Done():
	}
}

func (c *control) decide(ctx context.Context) {
	in, ok := c.sched.inputs(c.id)
	now, p := c.sched.clock(), c.cell.Plan()
	if !ok || c.settled && c.based == [2]uint64{p.Revision, in.version} && now.Before(c.again) {
		return
	}
	out := c.decider.Decide(now, Input{Cell: c.id, Plan: p, Workers: in.workers, Declaration: in.declaration, Usage: c.sched.usage.of(c.id)})
	c.decision, c.settled, c.based = out, true, [2]uint64{p.Revision, in.version}
	c.again = now.Add(decideEvery)
	if !out.Wake.IsZero() && out.Wake.Before(c.again) {
		c.again = out.Wake
	}
	actions := append(out.Actions, c.sched.strays(c.id, p)...)
	if len(actions) > 0 || out.Note != nil {
		c.step(ctx, cell.Decided{Actions: actions, Note: out.Note})
	}
}

// publish replaces the view if the plan or the ownership has changed.
func (c *control) publish() {
	p, old := c.cell.Plan(), c.view.Load()
	owned := c.cell.Owns(c.sched.clock())
	if owned != old.owned {
		c.log.Info("ownership changed", "owned", owned, "epoch", uint64(c.cell.Epoch()))
		c.owned.Store(owned)
		if epoch := c.cell.Epoch(); owned && epoch != c.decides {
			// What another owner did in between is known from the plan alone.
			c.decider, c.decides = c.sched.newDecider(), epoch
			c.decision, c.settled = Output{}, false
		}
	}
	detached := c.cell.Detached()
	if detached != old.detached {
		c.log.Warn("decisions during an outage of the store", "detached", detached, "epoch", uint64(c.cell.Epoch()))
	}
	next := &view{
		plan: old.plan, owned: owned, detached: detached, epoch: c.cell.Epoch(), decision: c.decision, decided: c.settled,
	}
	if p.Revision != old.plan.Revision || p.Epoch != old.plan.Epoch {
		next.plan = p.Clone()
	}
	c.view.Store(next)
}

func (c *control) reply(r cell.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.replies[r.Number]; ch != nil {
		ch <- r
		delete(c.replies, r.Number)
	}
}

// request writes changes to the plan and returns when they are durable, or when a detached owner has accepted them;
// stored tells which.
func (c *control) request(ctx context.Context, changes ...cell.Change) (stored bool, err error) {
	number := c.number.Add(1)
	return c.ask(ctx, number, cell.Request{Number: number, Changes: changes})
}

// refresh reads the plan and returns when the view shows it.
func (c *control) refresh(ctx context.Context) error {
	number := c.number.Add(1)
	_, err := c.ask(ctx, number, cell.Refresh{Number: number})
	return err
}

// ask sends an event and waits for the reply with a number.
func (c *control) ask(ctx context.Context, number uint64, e cell.Event) (stored bool, err error) {
	ch := make(chan cell.Reply, 1)
	c.mu.Lock()
	c.replies[number] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.replies, number)
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
		case r.Full:
			return false, &FullError{Cell: c.id}
		case r.Refused:
			return false, &OutageError{Cell: c.id, Owner: r.Owner}
		}
		return !r.Unstored, nil
	case <-ctx.Done():
		return false, &PendingError{Cell: c.id, Cause: ctx.Err()}
	}
}

// watchOwner reports the state of the owner's key.
func (c *control) watchOwner(ctx context.Context) {
	for ctx.Err() == nil {
		items, revision, err := c.sched.Store.List(ctx, c.hands.keys.owner)
		for err == nil {
			c.send(ctx, ownerSeen(items))
			var changes []storeItem
			changes, revision, err = c.sched.Store.Watch(ctx, c.hands.keys.owner, revision)
			if len(changes) > 0 {
				items = changes
			}
		}
		c.send(ctx, cell.StoreMissed{})
		pause(ctx, watchPause)
	}
}

// ownerSeen returns what the last item says about the owner's key.
func ownerSeen(items []storeItem) cell.OwnerSeen {
	if len(items) == 0 || items[len(items)-1].Version == 0 {
		return cell.OwnerSeen{}
	}
	var v ownerValue
	if json.Unmarshal(items[len(items)-1].Value, &v) != nil {
		return cell.OwnerSeen{Held: true}
	}
	return cell.OwnerSeen{Held: true, Owner: v.Owner}
}

// watchLog reports changes that others append to the plan, while the process owns the cell.
func (c *control) watchLog(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		if !c.owned.Load() {
			revision = 0
			pause(ctx, watchPause)
			continue
		}
		items, next, err := c.sched.Store.Watch(ctx, c.hands.keys.log, revision)
		if err != nil {
			pause(ctx, watchPause)
			continue
		}
		revision = next
		for _, item := range items {
			c.send(ctx, cell.PlanSeen{Version: item.Version})
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Input is what a decision depends on.
type Input struct {
	Cell        model.CellID
	Plan        *cell.Plan
	Workers     []model.Worker
	Declaration model.Declaration
	// Usage is the last usage that was read; nil if none was.
	Usage *Batch
}

// Output is the result of a decision.
type Output struct {
	Actions []cell.Action
	// Note is to be kept with the plan; nil leaves the present one.
	Note       []byte
	Waiting    []plan.Waiting
	Shortfalls []plan.Shortfall
	Held       []Hold
	// Wake is the time at which to decide again without a change; zero means that there is none.
	Wake time.Time
	// Hosts holds the workers with the failures attributed to them.
	Hosts map[model.WorkerID]plan.WorkerState
	// Room holds the free and reclaimable accelerators after the actions.
	Room plan.FreeCapacity
	// Uses holds the sizes of the jobs of which usage is known.
	Uses map[model.JobID]JobUse
}

// Decider decides what a cell starts and stops.
type Decider interface {
	Decide(now time.Time, in Input) Output
}
