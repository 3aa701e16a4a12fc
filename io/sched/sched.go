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
	// farDelay is how long a process leaves a cell without owner to processes of the cell's own region. With the
	// owner's lease of 1 s it still leaves time to renew the grants of 2 s.
	farDelay = 300 * time.Millisecond
	// workersEvery is how often the workers are listed. A list that takes long is asked for less often, so that
	// the calls take at most 1/listPart of the time.
	workersEvery = time.Second
	listPart     = 50
	// maxTasks is the largest gang.
	maxTasks = 64
	// handOver bounds the wait for the next owner at a planned stop.
	handOver = 2 * time.Second
)

type storeItem = store.Item

// Sched controls cells. Its exported fields are set before Run.
type Sched struct {
	Self   model.NodeID
	Region model.Region
	Store  KeyValue
	Works  works.Works
	// Declaration returns the declaration in force. While there is none, nothing is decided.
	Declaration func() (model.Declaration, bool)
	// NewDecider returns a Decider for a cell; nil means that of core/plan.
	NewDecider func() Decider
	// Layout is the layout of the cells to use if the store has none yet; zero means one cell for each data centre.
	Layout assign.Layout
	// Rehome writes other cells of the guarantees to the declaration in force; nil means that they stay.
	Rehome func(ctx context.Context, homes func(former map[string]model.CellID) (map[string]model.CellID, error)) error
	// Log takes the log; nil means none.
	Log *slog.Logger
	// Now tells the time; nil means time.Now.
	Now func() time.Time

	mu       sync.Mutex
	controls map[model.CellID]*control
	workers  map[model.CellID][]model.Worker
	wait     sync.WaitGroup
	// parts holds the parts of the declaration for each cell, as of the declaration and the workers in whole.
	parts map[model.CellID]model.Declaration
	whole model.Declaration
	// homes holds the cells of the guarantees, as of whole.
	homes map[string]model.CellID
	// agreed says that Layout is the stored one.
	agreed bool
	// met is when workers were listed first.
	met time.Time
	// rehoming says that cells of guarantees are being changed.
	rehoming atomic.Bool
	// version counts the changes of the workers and of the declaration.
	version uint64
	usage   usage
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
	return &driver{}
}

// Run controls the cells of the workers that the worker service lists, until ctx ends.
func (s *Sched) Run(ctx context.Context) {
	s.wait.Go(func() { s.watchUsage(ctx) })
	s.agree(ctx)
	for ctx.Err() == nil {
		began := time.Now()
		if workers, err := s.Works.Workers(ctx); err != nil {
			s.logger().Warn("listing workers", "error", err.Error())
		} else {
			s.meet(ctx, assign.SetCells(s.Layout, workers))
			s.rehome(ctx)
		}
		pause(ctx, max(workersEvery, listPart*time.Since(began)))
	}
	s.wait.Wait()
}

// meet takes a list of the workers and starts the control of new cells. A worker that is no longer listed
// counts as lost.
func (s *Sched) meet(ctx context.Context, workers []model.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.met.IsZero() {
		s.met = s.clock()
	}
	next := map[model.CellID][]model.Worker{}
	for _, w := range workers {
		id := assign.CellOf(w)
		next[id] = append(next[id], w)
	}
	for id, old := range s.workers {
		for _, w := range old {
			if !slices.ContainsFunc(next[id], func(n model.Worker) bool { return n.ID == w.ID }) {
				w.Up = false
				next[id] = append(next[id], w)
			}
		}
	}
	if !maps.EqualFunc(s.workers, next, slices.Equal[[]model.Worker]) {
		s.workers, s.parts = next, nil
	}
	if s.controls == nil {
		s.controls = map[model.CellID]*control{}
	}
	for id, list := range next {
		if s.controls[id] != nil || ctx.Err() != nil {
			continue
		}
		c := s.newControl(id, list[0].Region == s.Region)
		s.controls[id] = c
		s.wait.Go(func() { c.run(ctx) })
	}
}

// missing takes a worker for lost until the next list of the workers, which may be some seconds old now. Without
// this a job would be placed on it again in each control interval.
func (s *Sched) missing(id model.WorkerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cell, list := range s.workers {
		if i := slices.IndexFunc(list, func(w model.Worker) bool { return w.ID == id }); i >= 0 {
			list = slices.Clone(list)
			list[i].Up = false
			s.workers[cell], s.parts = list, nil
		}
	}
}

// inputs are what decisions on a cell depend on beside its plan.
type inputs struct {
	workers     []model.Worker
	declaration model.Declaration
	version     uint64
}

// inputs returns the workers of a cell and the part of the declaration that concerns it, if both are known.
func (s *Sched) inputs(id model.CellID) (inputs, bool) {
	d, ok := s.Declaration()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divide(d)
	return inputs{s.workers[id], s.parts[id], s.version}, ok && s.workers[id] != nil
}

func (s *Sched) all() []*control {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*control, 0, len(s.controls))
	for _, id := range slices.Sorted(maps.Keys(s.controls)) {
		out = append(out, s.controls[id])
	}
	return out
}

// Submit writes a job to the plan of a cell and returns when it is durable, or, with stored false, when an owner has
// accepted it during an outage of the store. A job that the cell knows already is not added again, so a Submit with a
// PendingError may be repeated.
func (s *Sched) Submit(ctx context.Context, spec model.JobSpec) (stored bool, err error) {
	if err := valid(spec); err != nil {
		return false, err
	}
	id, err := s.home(spec)
	if err != nil {
		return false, err
	}
	if known, stored := s.knows(ctx, spec.ID); known {
		return stored, nil
	}
	s.mu.Lock()
	c := s.controls[id]
	s.mu.Unlock()
	return c.request(ctx, cell.Change{Kind: cell.Submitted, Spec: &spec, At: s.clock().UnixMilli()})
}

func valid(spec model.JobSpec) error {
	switch {
	case spec.ID == "":
		return &InvalidError{Job: spec.ID, Reason: "no identifier"}
	case spec.Team == "":
		return &InvalidError{Job: spec.ID, Reason: "no team"}
	case spec.Shape.Tasks < 1 || spec.Shape.Tasks > maxTasks:
		return &InvalidError{Job: spec.ID, Reason: "number of tasks not between 1 and 64"}
	case spec.Shape.GPUs < 0 || spec.Shape.Cores < 0 || spec.Shape.Memory < 0 || reflect.ValueOf(spec.Shape).IsZero():
		return &InvalidError{Job: spec.ID, Reason: "bad shape"}
	}
	return nil
}

// Cancel cancels jobs and returns when that is durable, or, with stored false, when an owner has accepted it during an
// outage of the store. All cells are told, each with one change, since the plans of other owners may be known here with
// a delay. Cells that refuse because of an outage don't matter if the others know all the jobs.
func (s *Sched) Cancel(ctx context.Context, jobs []model.JobID) (stored bool, err error) {
	missing, stored := slices.Clone(jobs), true
	var outage *OutageError
	for _, c := range s.all() {
		durable, err := c.request(ctx, cell.Change{Kind: cell.Cancelling, Jobs: jobs, At: s.clock().UnixMilli()})
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

// Aside takes a worker out of use for new work, or returns it, and returns when that is durable, or, with
// stored false, when an owner has accepted it during an outage of the store.
func (s *Sched) Aside(ctx context.Context, worker model.WorkerID, aside bool) (stored bool, err error) {
	s.mu.Lock()
	var c *control
	for id, list := range s.workers {
		if slices.ContainsFunc(list, func(w model.Worker) bool { return w.ID == worker }) {
			c = s.controls[id]
		}
	}
	s.mu.Unlock()
	if c == nil {
		return false, &UnknownWorkerError{Worker: worker}
	}
	return c.request(ctx, cell.Change{Kind: cell.Siding, Worker: worker, Aside: aside, At: s.clock().UnixMilli()})
}

// Drain hands the cells over to other processes. It returns when the leases are revoked and, where gangs run,
// another owner has taken them or the wait for one is over; until ctx of Run ends, grants go on being renewed.
func (s *Sched) Drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	for _, c := range s.all() {
		c.send(ctx, cell.Drain{})
	}
	for _, c := range s.all() {
		for ctx.Err() == nil && !c.drained.Load() {
			pause(ctx, 10*time.Millisecond)
		}
	}
}
