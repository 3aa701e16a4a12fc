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

// noteInterval is the shortest time between two notes with the history of the decisions in the plan.
const noteInterval = 30 * time.Second

// planDecider makes decisions with core/plan. It keeps a plan.State beside the durable plan and reconciles it with the plan
// before each decision, so that the durable plan alone determines which jobs hold workers.
type planDecider struct {
	state *plan.State
	// recorded holds the jobs of the plan as of the last decision.
	recorded map[model.JobID]*cell.Job
	// declaration is the encoding of the declaration that the state has.
	declaration []byte
	// lastNoteDue is when the last note was due, and note is the latest encoded note.
	lastNoteDue time.Time
	note        []byte
	// notedShortfalls holds the start of the shortfall of each guarantee, in microseconds, according to the note.
	notedShortfalls map[plan.Ref]int64
	// lastUsage is the last batch that was applied to the state; notedPeak holds the peaks in the note of an earlier owner.
	lastUsage *UsageBatch
	notedPeak map[model.JobID]notedPeak
}

// placementNote is the note of a placement in the plan, in CBOR.
type placementNote struct {
	Anchored bool          `cbor:"1,keyasint,omitempty"`
	Expected time.Duration `cbor:"2,keyasint,omitempty"`
	// Ahead is the job with a reservation that this job was started ahead of by backfill.
	Ahead model.JobID `cbor:"3,keyasint,omitempty"`
}

// Decide reconciles the state with the plan and returns the decision on it.
func (d *planDecider) Decide(now time.Time, in Input) Output {
	in.Plan = withoutHandovers(in.Plan)
	d.syncState(now, in)
	decision := plan.Decide(now, d.state)
	var applicable []plan.Action
	for _, a := range decision.Actions {
		if j := in.Plan.Jobs[a.Job]; a.Verb != plan.Start || j != nil && j.Phase == cell.Waiting {
			applicable = append(applicable, a)
		}
	}
	out := Output{Waiting: decision.Waiting, Shortfalls: decision.Shortfalls, Wake: decision.NextDecision}
	for _, a := range d.state.Accept(now, applicable) {
		if action, ok := toCellAction(a); ok {
			out.Actions = append(out.Actions, action)
		}
	}
	out.Holds, out.WorkerStates = d.holds(), maps.Clone(d.state.Workers)
	out.UsageByJob = d.usageByJob()
	if slices.ContainsFunc(out.Actions, func(a cell.Action) bool { return a.Cause == cell.Exceeded }) {
		// The note with the size for the next placement is due now, so that it is written together with the stop.
		d.lastNoteDue = time.Time{}
	}
	if shortfalls := shortfallStarts(d.state.Anchors); !maps.Equal(shortfalls, d.notedShortfalls) {
		// Without the note, the next owner would count the time of the shortfall anew, and a guarantee would not leave a
		// cell whose owner changes more often than every reassignAfter.
		d.notedShortfalls, d.lastNoteDue = shortfalls, time.Time{}
	}
	out.Note, out.Capacity = d.encodeNote(now), d.state.FreeCapacity(now)
	return out
}

// shortfallStarts returns the start of the shortfall of each guarantee, in microseconds.
func shortfallStarts(anchors []plan.Anchor) map[plan.Ref]int64 {
	out := map[plan.Ref]int64{}
	for _, a := range anchors {
		if a.Shortfall != nil {
			out[plan.Ref{Team: a.Team, Guarantee: a.Guarantee.Name}] = a.Shortfall.Since.UnixMicro()
		}
	}
	return out
}

// toCellAction converts an action of core/plan. It returns false for an action that changes nothing in the cell's plan.
func toCellAction(a plan.Action) (cell.Action, bool) {
	switch a.Verb {
	case plan.Start:
		var workers []model.WorkerID
		for _, s := range a.Slots {
			for range s.Tasks {
				workers = append(workers, s.Worker)
			}
		}
		note, err := cbor.Marshal(placementNote{a.Anchored, a.Expected, a.ForJob})
		return cell.Action{Job: a.Job, Workers: workers, Note: note}, err == nil
	case plan.Checkpoint, plan.Move, plan.Stop:
		stop := cell.Action{Job: a.Job, WithCheckpoint: a.Verb != plan.Stop}
		switch a.Reason.Code {
		case plan.MemoryExceeded:
			stop.Cause = cell.Exceeded
		case plan.StartEvacuated:
			stop.Cause = cell.Evacuated
		}
		return stop, true
	}
	return cell.Action{}, false
}

// syncState applies to the state what has happened since the last decision, and then reconciles it with the plan.
func (d *planDecider) syncState(now time.Time, in Input) {
	if d.state == nil {
		d.state = &plan.State{Cell: in.Cell}
		var note noteContent
		if len(in.Plan.Note) > 0 && cbor.Unmarshal(in.Plan.Note, &note) == nil {
			d.state, d.notedPeak, d.notedShortfalls = &note.State, note.Peaks, shortfallStarts(note.Anchors)
		}
		d.note, d.lastNoteDue = in.Plan.Note, now
	}
	var events []plan.Event
	if encoded, err := cbor.Marshal(in.Declaration); err == nil && string(encoded) != string(d.declaration) {
		d.declaration = encoded
		events = append(events, plan.Event{Kind: plan.Declared, Declaration: &in.Declaration})
	}
	for _, w := range in.Workers {
		if worker, recorded := d.state.Workers[w.ID]; !recorded || worker.Worker != w {
			events = append(events, plan.Event{Kind: plan.WorkerSeen, Worker: &w})
		}
	}
	d.state.Apply(now, append(events, d.planEvents(in.Plan)...)...)
	d.reconcileJobs(now, in.Plan)
	d.recorded = make(map[model.JobID]*cell.Job, len(in.Plan.Jobs))
	for id, j := range in.Plan.Jobs {
		d.recorded[id] = j
	}
	d.applyUsage(now, in)
	d.state.Apply(now)
}

// planEvents returns the events that lead from the jobs of the last decision to those of p.
func (d *planDecider) planEvents(p *cell.Plan) []plan.Event {
	var events []plan.Event
	add := func(kind plan.Kind, id model.JobID) *plan.Event {
		events = append(events, plan.Event{Kind: kind, Jobs: []model.JobID{id}})
		return &events[len(events)-1]
	}
	for id := range d.recorded {
		if p.Jobs[id] != nil {
			continue
		}
		if slices.ContainsFunc(p.Ended, func(e cell.Ended) bool { return e.Job == id && e.Cause == cell.Finished }) {
			add(plan.Finished, id)
		}
		add(plan.Cancelled, id)
		add(plan.Stopped, id)
	}
	for _, j := range jobsBySequence(p) {
		id, old := j.Spec.ID, d.recorded[j.Spec.ID]
		if old == nil {
			if d.state.Jobs[id] == nil {
				events = append(events, plan.Event{Kind: plan.Submitted, Job: &j.Spec})
			}
			continue
		}
		if j.Cancelled && !old.Cancelled {
			add(plan.Cancelled, id)
		}
		// A later placement shows that the earlier one has ended and the job was placed again since the last decision.
		ended := j.Phase == cell.Waiting && old.Phase != cell.Waiting || j.Placement > max(old.Placement, 1) && old.Phase != cell.Waiting
		switch {
		case ended && len(j.Failed) > len(old.Failed):
			add(plan.Failed, id).Workers = j.Failed[len(j.Failed)-1:]
		case ended:
			add(plan.Stopped, id).Saved = j.WithCheckpoint
		case j.Phase == cell.Released && old.Phase != cell.Released:
			add(plan.Started, id)
		}
	}
	return events
}

// jobsBySequence returns the jobs of a plan in the order of submission.
func jobsBySequence(p *cell.Plan) []*cell.Job {
	jobs := make([]*cell.Job, 0, len(p.Jobs))
	for _, j := range p.Jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *cell.Job) int { return int(a.Sequence) - int(b.Sequence) })
	return jobs
}

// PlanPhases maps the phases of a job in the durable plan to those in the state of core/plan.
var PlanPhases = map[cell.Phase]plan.Phase{
	cell.Waiting: plan.Queued, cell.Placed: plan.Starting, cell.Released: plan.Running, cell.Stopping: plan.Stopping,
}

// reconcileJobs gives the jobs of the state the phases and workers that they have in the durable plan. These differ after a
// change of owner, after a decision that was not written, and while the rest of a gang is stopped after the loss of a worker.
func (d *planDecider) reconcileJobs(now time.Time, p *cell.Plan) {
	differs := false
	for _, j := range p.Jobs {
		id := j.Spec.ID
		want, got := PlanPhases[j.Phase], d.state.Jobs[id]
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
			var note placementNote
			if cbor.Unmarshal(j.Note, &note) == nil {
				next.Anchored, next.Expected, next.BackfillAheadOf = note.Anchored, note.Expected, note.Ahead
			}
			next.Slots = slotsOf(j)
			next.Run = max(next.Run, j.Placement)
			if next.Started.IsZero() {
				next.Started = time.UnixMilli(j.PhaseSince)
			}
		}
		if want == plan.Stopping && next.StopBy.IsZero() {
			next.StopBy = now.Add(j.Spec.Grace)
		}
		d.restorePeak(now, j, &next)
		d.state.Jobs[id] = &next
	}
	for id := range d.state.Jobs {
		if p.Jobs[id] == nil {
			delete(d.state.Jobs, id)
			differs = true
		}
	}
	if d.reconcileQuarantine(now, p) || differs {
		// The clone builds a new index of its jobs and workers.
		d.state = d.state.Clone()
	}
}

// operatorQuarantine is the quarantine in the state for a worker that an operator has taken out of use. It never expires in
// practice: the plan lists the worker until the operator returns it.
const operatorQuarantine = 10 * 365 * 24 * time.Hour

// reconcileQuarantine quarantines the workers that the plan lists as taken out of use, ends the quarantine of those returned,
// and reports whether any worker has changed.
func (d *planDecider) reconcileQuarantine(now time.Time, p *cell.Plan) bool {
	changed := false
	for id, worker := range d.state.Workers {
		quarantined := worker.QuarantinedUntil.Sub(now) > operatorQuarantine/2
		if want := slices.Contains(p.Quarantined, id); want != quarantined {
			worker.QuarantinedUntil = time.Time{}
			if want {
				worker.QuarantinedUntil = now.Add(operatorQuarantine)
			}
			d.state.Workers[id] = worker
			changed = true
		}
	}
	return changed
}

// slotsOf returns the slots of a placed job, with the tasks that follow each other on the same worker in one slot.
func slotsOf(j *cell.Job) []plan.Slot {
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

// encodeNote returns the note for the next owner if it is due and has changed, otherwise nil. The note holds what can't be
// derived from the jobs of the plan: histories, failures by worker, anchors, observed peaks, and jobs that were refused or have
// saved work or preemptions.
func (d *planDecider) encodeNote(now time.Time) []byte {
	if now.Sub(d.lastNoteDue) < noteInterval {
		return nil
	}
	d.lastNoteDue = now
	noteState := d.state.Clone()
	noteState.Jobs = map[model.JobID]*plan.Job{}
	for id, j := range d.state.Jobs {
		if j.SavedWork > 0 || j.Preemptions > 0 || j.Phase == plan.Refused {
			noteState.Jobs[id] = j
		}
	}
	noteState.Jobs = jobsForNote(noteState.Jobs)
	// The start of a shortfall needs more than the seconds that are the default.
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil
	}
	note, err := mode.Marshal(noteContent{*noteState, d.peaks()})
	if err != nil || string(note) == string(d.note) {
		return nil
	}
	d.note = note
	return note
}

// holds returns what is kept free for guarantees and for jobs with a reservation, sorted by worker.
func (d *planDecider) holds() []Hold {
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
