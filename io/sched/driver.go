package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wagtailhoist/core/cell"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

// noteEvery is how often what the decisions have learned is written to the plan.
const noteEvery = 30 * time.Second

// driver makes decisions with core/plan. It keeps a plan.State beside the durable plan and brings it in line
// before each decision, so that the durable plan alone says which jobs hold workers.
type driver struct {
	state *plan.State
	// known holds the jobs as of the last decision.
	known       map[model.JobID]*cell.Job
	declaration []byte
	noted       time.Time
	note        []byte
	// batch is the last usage passed to the state, and kept the peaks that the former owner has noted.
	batch *Batch
	kept  map[model.JobID]kept
}

// placed is the note of a placement.
type placed struct {
	Anchored bool          `cbor:"1,keyasint,omitempty"`
	Expected time.Duration `cbor:"2,keyasint,omitempty"`
	Ahead    model.JobID   `cbor:"3,keyasint,omitempty"`
}

// Decide works out the next actions.
func (d *driver) Decide(now time.Time, in Input) Output {
	in.Plan = settledPlan(in.Plan)
	d.sync(now, in)
	decision := plan.Decide(now, d.state)
	var fit []plan.Action
	for _, a := range decision.Actions {
		if j := in.Plan.Jobs[a.Job]; a.Verb != plan.Start || j != nil && j.Phase == cell.Waiting {
			fit = append(fit, a)
		}
	}
	out := Output{Waiting: decision.Waiting, Shortfalls: decision.Shortfalls, Wake: decision.NextDecision}
	for _, a := range d.state.Accept(now, fit) {
		if action, ok := actionOf(a); ok {
			out.Actions = append(out.Actions, action)
		}
	}
	out.Held, out.Hosts = d.held(), maps.Clone(d.state.Workers)
	out.Uses = d.uses()
	if slices.ContainsFunc(out.Actions, func(a cell.Action) bool { return a.Cause == cell.Exceeded }) {
		// The size for the next placement is written together with the stop.
		d.noted = time.Time{}
	}
	out.Note, out.Room = d.learned(now), d.state.FreeCapacity(now)
	return out
}

func actionOf(a plan.Action) (cell.Action, bool) {
	switch a.Verb {
	case plan.Start:
		var workers []model.WorkerID
		for _, s := range a.Slots {
			for range s.Tasks {
				workers = append(workers, s.Worker)
			}
		}
		note, err := cbor.Marshal(placed{a.Anchored, a.Expected, a.ForJob})
		return cell.Action{Job: a.Job, Workers: workers, Note: note}, err == nil
	case plan.Checkpoint, plan.Move, plan.Stop:
		stop := cell.Action{Job: a.Job, Save: a.Verb != plan.Stop}
		if a.Reason.Code == plan.MemoryExceeded {
			stop.Cause = cell.Exceeded
		}
		return stop, true
	}
	return cell.Action{}, false
}

// sync passes to the state what has happened since the last decision, then corrects where it differs.
func (d *driver) sync(now time.Time, in Input) {
	if d.state == nil {
		d.state = &plan.State{Cell: in.Cell}
		var note noted
		if len(in.Plan.Note) > 0 && cbor.Unmarshal(in.Plan.Note, &note) == nil {
			d.state, d.kept = &note.State, note.Peaks
		}
		d.note, d.noted = in.Plan.Note, now
	}
	var events []plan.Event
	if text, err := cbor.Marshal(in.Declaration); err == nil && string(text) != string(d.declaration) {
		d.declaration = text
		events = append(events, plan.Event{Kind: plan.Declared, Declaration: &in.Declaration})
	}
	for _, w := range in.Workers {
		if h, known := d.state.Workers[w.ID]; !known || h.Worker != w {
			events = append(events, plan.Event{Kind: plan.WorkerSeen, Worker: &w})
		}
	}
	d.state.Apply(now, append(events, d.changes(in.Plan)...)...)
	d.correct(now, in.Plan)
	d.known = make(map[model.JobID]*cell.Job, len(in.Plan.Jobs))
	for id, j := range in.Plan.Jobs {
		d.known[id] = j
	}
	d.take(now, in)
	d.state.Apply(now)
}

// changes returns the events between the last decision and p.
func (d *driver) changes(p *cell.Plan) []plan.Event {
	var events []plan.Event
	add := func(kind plan.Kind, id model.JobID) *plan.Event {
		events = append(events, plan.Event{Kind: kind, Jobs: []model.JobID{id}})
		return &events[len(events)-1]
	}
	for id := range d.known {
		if p.Jobs[id] != nil {
			continue
		}
		if slices.ContainsFunc(p.Ended, func(e cell.Ended) bool { return e.Job == id && e.Cause == cell.Finished }) {
			add(plan.Finished, id)
		}
		add(plan.Cancelled, id)
		add(plan.Stopped, id)
	}
	for _, j := range sorted(p) {
		id, old := j.Spec.ID, d.known[j.Spec.ID]
		if old == nil {
			if d.state.Jobs[id] == nil {
				events = append(events, plan.Event{Kind: plan.Submitted, Job: &j.Spec})
			}
			continue
		}
		if j.Cancelled && !old.Cancelled {
			add(plan.Cancelled, id)
		}
		ended := j.Phase == cell.Waiting && old.Phase != cell.Waiting || j.Placement > max(old.Placement, 1) && old.Phase != cell.Waiting
		switch {
		case ended && len(j.Failed) > len(old.Failed):
			add(plan.Failed, id).Workers = j.Failed[len(j.Failed)-1:]
		case ended:
			add(plan.Stopped, id).Saved = j.Save
		case j.Phase == cell.Released && old.Phase != cell.Released:
			add(plan.Started, id)
		}
	}
	return events
}

func sorted(p *cell.Plan) []*cell.Job {
	jobs := make([]*cell.Job, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *cell.Job) int { return int(a.Sequence) - int(b.Sequence) })
	return jobs
}

// Phases maps the phases of the durable plan to those of the decision.
var Phases = map[cell.Phase]plan.Phase{
	cell.Waiting: plan.Queued, cell.Placed: plan.Starting, cell.Released: plan.Running, cell.Stopping: plan.Stopping,
}

// correct makes the jobs of the state hold the workers that the durable plan says. They differ after a change of
// owner, after a decision that was not written, and while the rest of a gang is stopped after the loss of a worker.
func (d *driver) correct(now time.Time, p *cell.Plan) {
	differs := false
	for _, j := range p.Jobs {
		id := j.Spec.ID
		want, got := Phases[j.Phase], d.state.Jobs[id]
		if got == nil {
			got = &plan.Job{Spec: j.Spec, Sequence: j.Sequence, Submitted: time.UnixMilli(j.Submitted)}
		} else if got.Phase == want || got.Phase == plan.Refused && want == plan.Queued {
			continue
		}
		differs = true
		next := *got
		next.Phase, next.Cancelled = want, j.Cancelled
		next.Slots, next.Anchored, next.BackfillAheadOf = nil, false, ""
		if want != plan.Queued {
			var note placed
			if cbor.Unmarshal(j.Note, &note) == nil {
				next.Anchored, next.Expected, next.BackfillAheadOf = note.Anchored, note.Expected, note.Ahead
			}
			next.Slots = slots(j)
			next.Run = max(next.Run, j.Placement)
			if next.Started.IsZero() {
				next.Started = time.UnixMilli(j.Since)
			}
		}
		if want == plan.Stopping && next.StopBy.IsZero() {
			next.StopBy = now.Add(j.Spec.Grace)
		}
		d.resume(now, j, &next)
		d.state.Jobs[id] = &next
	}
	for id := range d.state.Jobs {
		if p.Jobs[id] == nil {
			delete(d.state.Jobs, id)
			differs = true
		}
	}
	if d.side(now, p) || differs {
		// A clone works out its index anew.
		d.state = d.state.Clone()
	}
}

// asideFor is how long a worker stays out of use that an operator has taken out; the plan lists it until it is
// returned.
const asideFor = 10 * 365 * 24 * time.Hour

// side brings the workers out of use in line with the plan and reports whether any has changed.
func (d *driver) side(now time.Time, p *cell.Plan) bool {
	changed := false
	for id, h := range d.state.Workers {
		out := h.QuarantinedUntil.Sub(now) > asideFor/2
		if want := slices.Contains(p.Aside, id); want != out {
			h.QuarantinedUntil = time.Time{}
			if want {
				h.QuarantinedUntil = now.Add(asideFor)
			}
			d.state.Workers[id] = h
			changed = true
		}
	}
	return changed
}

func slots(j *cell.Job) []plan.Slot {
	var out []plan.Slot
	for _, w := range j.Workers {
		if n := len(out); n > 0 && out[n-1].Worker == w {
			out[n-1].Tasks++
			out[n-1].GPUs += j.Spec.Shape.GPUs
			continue
		}
		out = append(out, plan.Slot{Worker: w, Tasks: 1, GPUs: j.Spec.Shape.GPUs})
	}
	return out
}

// learned returns what the next owner can't work out from the plan, if it has changed and is due: histories,
// failures by worker, anchors, and the jobs with saved work.
func (d *driver) learned(now time.Time) []byte {
	if now.Sub(d.noted) < noteEvery {
		return nil
	}
	d.noted = now
	keep := d.state.Clone()
	keep.Jobs = map[model.JobID]*plan.Job{}
	for id, j := range d.state.Jobs {
		if j.SavedWork > 0 || j.Preemptions > 0 || j.Phase == plan.Refused {
			keep.Jobs[id] = j
		}
	}
	keep.Jobs = portable(keep.Jobs)
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		return nil
	}
	note, err := mode.Marshal(noted{*keep, d.peaks()})
	if err != nil || string(note) == string(d.note) {
		return nil
	}
	d.note = note
	return note
}

// held lists what is kept for guarantees and for jobs with a reservation.
func (d *driver) held() []Hold {
	var out []Hold
	for _, a := range d.state.Anchors {
		for _, s := range a.Slots {
			out = append(out, Hold{
				Worker: s.Worker, GPUs: s.GPUs, Team: a.Team, Guarantee: a.Guarantee.Name,
			})
		}
	}
	for _, j := range d.state.Jobs {
		for _, s := range j.ReservedSlots {
			out = append(out, Hold{
				Worker: s.Worker, GPUs: s.GPUs, Team: j.Spec.Team, Job: j.Spec.ID, Due: j.ReservedStart,
			})
		}
	}
	slices.SortFunc(out, func(a, b Hold) int {
		if a.Worker != b.Worker {
			return compare(a.Worker, b.Worker)
		}
		return compare(string(a.Team)+"/"+a.Guarantee+"/"+string(a.Job), string(b.Team)+"/"+b.Guarantee+"/"+string(b.Job))
	})
	return out
}
