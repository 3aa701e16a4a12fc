package sched

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
)

const (
	// otherRegionDelay is how long a process of another region waits before it contends for a cell without an owner, so
	// that processes of the cell's own region come first. Together with the owner's lease of 1 s, the delay leaves the new
	// owner time to renew the grants of 2 s.
	otherRegionDelay = 300 * time.Millisecond
	// workerListInterval is the time between lists of the workers. The bound within which a guarantee leaves a cell that has
	// lost a worker counts on it (docs/CELLS.md).
	workerListInterval = time.Second
	// workerListBytesPerSecond bounds the mean load of the answers: after a large answer the pause is longer. 30,000 workers
	// (3.9 MB) are listed every 3.7 s.
	workerListBytesPerSecond = 1 << 20
	// workerBytes is the approximate size of the JSON of one worker.
	workerBytes = 130
	// maxWorkerListPause is the longest pause while calls fail.
	maxWorkerListPause = 8 * time.Second
	// maxGangTasks is the number of tasks of the largest gang.
	maxGangTasks = 64
	// drainTimeout bounds the wait for the next owner when the process drains.
	drainTimeout = 2 * time.Second
)

type storeItem = store.Item

// Sched contends for cells and schedules the jobs of those that it owns. Its exported fields are set before Run.
type Sched struct {
	// Self identifies this process, which runs in Region.
	Self   model.NodeID
	Region model.Region
	Store  KeyValue
	Works  works.Works
	// Declaration returns the declaration in force. Without one, no decisions are made.
	Declaration func() (model.Declaration, bool)
	// ConfigReadSince reports whether the configuration was read from the store at a time or later; nil means always. A new
	// owner decides nothing before that, because it may have been paused or cut off and not know of an evacuation.
	ConfigReadSince func(time.Time) bool
	// NewDecider returns a new Decider for a cell; nil means the one that uses core/plan.
	NewDecider func() Decider
	// Layout tells how workers are grouped into cells if the store has no layout yet; empty means one cell for each data
	// centre. Run replaces it by the stored layout.
	Layout assign.Layout
	// StoreReassignment passes the cells that the guarantees of the declaration in force are assigned to now to the function, and stores
	// the assignment that it returns. If StoreReassignment is nil, guarantees stay in their cells.
	StoreReassignment func(ctx context.Context, guaranteeCells func(former map[string]model.CellID) (map[string]model.CellID, error)) error
	// Log receives the log messages; nil discards them.
	Log *slog.Logger
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	mu          sync.Mutex
	controllers map[model.CellID]*controller
	// workers holds the workers of each cell, as last listed.
	workers map[model.CellID][]model.Worker
	// goroutines counts the goroutines that Run waits for.
	goroutines sync.WaitGroup
	// cellDeclarations holds the declaration of each cell: the one in derivedFrom with only the guarantees of the cell. It is
	// nil if the workers have changed since.
	cellDeclarations map[model.CellID]model.Declaration
	derivedFrom      model.Declaration
	// guaranteeCells holds the cell of each guarantee of derivedFrom.
	guaranteeCells map[string]model.CellID
	// layoutKnown is true once Layout is the stored layout.
	layoutKnown bool
	// firstListed is when the workers were listed for the first time.
	firstListed time.Time
	// reassigning is true while guarantees are being moved to other cells.
	reassigning atomic.Bool
	// inputsVersion counts the changes of the workers and of the declaration.
	inputsVersion uint64
	usageCache    usageCache
	// unknownEvacuated holds the evacuated data centres without a listed worker that have been logged.
	unknownEvacuated map[model.Centre]bool
	// checkedEvacuate is the list of evacuated data centres that was last looked through for unknown ones.
	checkedEvacuate []model.Centre
}

func (s *Sched) clock() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func (s *Sched) logger() *slog.Logger {
	if s.Log != nil {
		return s.Log
	}
	return slog.New(slog.NewJSONHandler(io.Discard, nil))
}

func (s *Sched) newDecider() Decider {
	if s.NewDecider != nil {
		return s.NewDecider()
	}
	return &planDecider{}
}

// Run contends for the cells of the workers that the worker service lists, and schedules those it owns, until ctx ends.
func (s *Sched) Run(ctx context.Context) {
	s.goroutines.Go(func() { s.watchUsage(ctx) })
	s.loadLayout(ctx)
	failures := 0
	for ctx.Err() == nil {
		workers, err := s.Works.Workers(ctx)
		if err != nil {
			failures++
			s.logger().Warn("listing workers at the worker service failed; the former list stays in use", "error", err.Error())
		} else {
			failures = 0
			s.updateWorkers(ctx, assign.SetCells(s.Layout, workers))
			s.logUnknownEvacuated()
			s.startReassignment(ctx)
		}
		pause(ctx, workerListPause(failures, len(workers)))
	}
	s.goroutines.Wait()
}

// workerListPause returns the pause after a call for the list of the workers, from the number of calls that have failed since
// the last answer and of the workers in the answer. The duration of the call doesn't count, since it also grows with the load
// of either machine: when a pause was 50 times as long, a call that got no answer for 500 ms let 25 s pass before the loss of a
// worker was noticed.
func workerListPause(failures, workers int) time.Duration {
	if failures > 0 {
		return min(workerListInterval<<min(failures-1, 10), maxWorkerListPause)
	}
	return max(workerListInterval, time.Duration(workers*workerBytes)*time.Second/workerListBytesPerSecond)
}

// updateWorkers replaces the list of workers and starts a controller for each new cell. A worker that is no longer listed
// is kept and marked as down.
func (s *Sched) updateWorkers(ctx context.Context, workers []model.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstListed.IsZero() {
		s.firstListed = s.clock()
	}
	byCell := map[model.CellID][]model.Worker{}
	for _, w := range workers {
		id := assign.CellOf(w)
		byCell[id] = append(byCell[id], w)
	}
	for id, previous := range s.workers {
		for _, w := range previous {
			if !slices.ContainsFunc(byCell[id], func(n model.Worker) bool { return n.ID == w.ID }) {
				w.Up = false
				byCell[id] = append(byCell[id], w)
			}
		}
	}
	if !maps.EqualFunc(s.workers, byCell, slices.Equal[[]model.Worker]) {
		s.workers, s.cellDeclarations = byCell, nil
	}
	if s.controllers == nil {
		s.controllers = map[model.CellID]*controller{}
	}
	for id, list := range byCell {
		if s.controllers[id] != nil || ctx.Err() != nil {
			continue
		}
		c := s.newController(id, list[0].Region == s.Region)
		s.controllers[id] = c
		s.goroutines.Go(func() { c.run(ctx) })
	}
}

// markWorkerLost marks a worker as down until the workers are listed again. The present list may be some seconds old and
// show the worker as up, so that jobs would be placed on it again in each control interval.
func (s *Sched) markWorkerLost(id model.WorkerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cell, list := range s.workers {
		if i := slices.IndexFunc(list, func(w model.Worker) bool { return w.ID == id }); i >= 0 {
			list = slices.Clone(list)
			list[i].Up = false
			s.workers[cell], s.cellDeclarations = list, nil
		}
	}
}

// cellInputs is what the decisions of a cell depend on beside its plan and the usage.
type cellInputs struct {
	workers     []model.Worker
	declaration model.Declaration
	version     uint64
}

// cellInputs returns the workers and the declaration of a cell, and whether both are known.
func (s *Sched) cellInputs(id model.CellID) (cellInputs, bool) {
	d, ok := s.Declaration()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deriveCellDeclarations(d)
	if s.workers[id] != nil {
		s.logChangedEvacuationLocked(d)
	}
	return cellInputs{s.workers[id], s.cellDeclarations[id], s.inputsVersion}, ok && s.workers[id] != nil
}

// allControllers returns the controllers in the order of their cells' names.
func (s *Sched) allControllers() []*controller {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*controller, 0, len(s.controllers))
	for _, id := range slices.Sorted(maps.Keys(s.controllers)) {
		out = append(out, s.controllers[id])
	}
	return out
}

// Submit writes a job to the plan of a cell. It returns when the job is durable, or, with stored false, when the owner of the
// cell has accepted it during an outage of the store. A job that is in a plan already is not added again, so a Submit that
// returned a PendingError may be repeated.
func (s *Sched) Submit(ctx context.Context, spec model.JobSpec) (stored bool, err error) {
	if err := validateSpec(spec); err != nil {
		return false, err
	}
	id, err := s.cellForJob(spec)
	if err != nil {
		return false, err
	}
	if known, stored := s.findJob(ctx, spec.ID); known {
		return stored, nil
	}
	s.mu.Lock()
	target := s.controllers[id]
	s.mu.Unlock()
	return target.writeChanges(ctx, cell.Change{Kind: cell.JobSubmitted, Spec: &spec, At: s.clock().UnixMilli()})
}

func validateSpec(spec model.JobSpec) error {
	switch {
	case spec.ID == "":
		return &InvalidError{Job: spec.ID, Reason: "no identifier"}
	case spec.Team == "":
		return &InvalidError{Job: spec.ID, Reason: "no team"}
	case spec.Shape.Tasks < 1 || spec.Shape.Tasks > maxGangTasks:
		return &InvalidError{Job: spec.ID, Reason: "number of tasks not between 1 and 64"}
	case spec.Shape.GPUs < 0 || spec.Shape.Cores < 0 || spec.Shape.Memory < 0 || reflect.ValueOf(spec.Shape).IsZero():
		return &InvalidError{Job: spec.ID, Reason: "bad shape"}
	}
	return nil
}

// Cancel cancels jobs. It returns when that is durable, or, with stored false, when an owner has accepted it during an outage
// of the store. The cancellation is written to the plan of every cell, since the plans of other owners are known here with a
// delay. Cells that refuse it because of an outage are ignored if the other cells have all the jobs.
func (s *Sched) Cancel(ctx context.Context, jobs []model.JobID) (stored bool, err error) {
	missing, stored := slices.Clone(jobs), true
	var outage *OutageError
	for _, c := range s.allControllers() {
		durable, err := c.writeChanges(ctx, cell.Change{Kind: cell.JobsCancelled, Jobs: jobs, At: s.clock().UnixMilli()})
		if errors.As(err, &outage) {
			continue
		}
		if err != nil {
			return false, err
		}
		p := c.view.Load().plan
		if slices.ContainsFunc(jobs, p.Has) {
			stored = stored && durable
		}
		missing = slices.DeleteFunc(missing, p.Has)
	}
	switch {
	case len(missing) > 0 && outage != nil:
		return false, outage
	case len(missing) > 0:
		return false, &UnknownJobsError{Jobs: missing}
	}
	return stored, nil
}

// SetQuarantined excludes a worker from new placements, or, with quarantined false, ends the exclusion. It returns when that is durable, or,
// with stored false, when the owner of the cell has accepted it during an outage of the store.
func (s *Sched) SetQuarantined(ctx context.Context, worker model.WorkerID, quarantined bool) (stored bool, err error) {
	s.mu.Lock()
	var c *controller
	for id, list := range s.workers {
		if slices.ContainsFunc(list, func(w model.Worker) bool { return w.ID == worker }) {
			c = s.controllers[id]
		}
	}
	s.mu.Unlock()
	if c == nil {
		return false, &UnknownWorkerError{Worker: worker}
	}
	return c.writeChanges(ctx, cell.Change{Kind: cell.WorkerQuarantineSet, Worker: worker, Quarantined: quarantined, At: s.clock().UnixMilli()})
}

// Drain gives up the ownership of all cells. It returns when the owner's leases are revoked and the cells with running gangs
// have another owner, or after drainTimeout. The grants of the gangs are renewed until the context of Run ends.
func (s *Sched) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for _, c := range s.allControllers() {
		c.sendEvent(ctx, cell.DrainRequested{})
	}
	for _, c := range s.allControllers() {
		for ctx.Err() == nil && !c.drained.Load() {
			pause(ctx, 10*time.Millisecond)
		}
	}
}
