package replay

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/pace"
	"wagtailhoist/core/room"
)

type teamName = model.Team

const (
	// service is the service of all simulated workers.
	service = "svc"
	// tick is the step of the simulated time.
	tick = 10 * time.Millisecond
	// pollInterval and reportInterval are those of the owner and the agents.
	pollInterval   = 100 * time.Millisecond
	reportInterval = 800 * time.Millisecond
	// lossNotice is how long an agent takes to report that its worker has ended.
	lossNotice = 400 * time.Millisecond
	// recordsPerCommit is the number of records in a commit.
	recordsPerCommit = 15
	// longFactor is by how much longer than usual the long jobs of a class run.
	longFactor = 7
)

func teamOf(i int) teamName { return teamName("team-" + strconv.Itoa(i)) }

func rackOf(i int) string { return "r" + strconv.Itoa(i) }

// submitted is a job of a caller and what became of it.
type submitted struct {
	batch.Job
	class *Class
	// at is when the job was submitted, work the run time of each task, fails whether the first run of a task fails.
	at       time.Time
	work     time.Duration
	failing  map[batch.TaskID]bool
	cancelAt time.Time
	// completed is when its completion was stored, zero before.
	completed time.Time
	cancelled bool
	// acceptedAt is when the job was accepted, zero before; refusals counts its refusals.
	acceptedAt time.Time
	refusals   int
	// ran holds the tasks that have run, by index; allBegun is when the last of them began for the first time.
	ran      map[int]bool
	allBegun time.Time
}

// day is a simulated day.
type day struct {
	load      *Load
	rng       *rand.Rand
	scheduler alloc.Scheduler
	start     time.Time
	now       time.Time
	workers   []*worker
	byID      map[string]*worker
	jobs      map[model.JobID]*submitted
	order     []*submitted
	// due holds what happens at a later time: arrivals of messages, answers of the store, events.
	due    map[int64][]func()
	paused bool
	// storeDelay is the duration of a commit.
	storeDelay time.Duration
	committing map[model.JobID]bool
	commits    int
	// thrown is the work that was lost, in core seconds; stops counts the runs that were stopped, planTime the time of plans.
	thrown   float64
	stops    int
	planTime time.Duration
	// admission is that of the entry, forecast what the owner has made last.
	admission room.Admission
	forecast  room.Forecast
	forecasts pace.Forecasts
	// decisions are those of the entry on each submission, in the order of time.
	decisions []decision
}

// newDay prepares a day with its own seed.
func newDay(l *Load, seed int64) *day {
	d := &day{
		load: l, rng: rand.New(rand.NewSource(seed)), start: time.UnixMilli(1_000_000_000), jobs: map[model.JobID]*submitted{},
		byID: map[string]*worker{}, due: map[int64][]func(){}, storeDelay: seconds(l.Fleet.Store), committing: map[model.JobID]bool{},
	}
	d.now = d.start
	d.scheduler.Settings.RemoteSlowdown, d.scheduler.Settings.TeamOrder = l.Fleet.Remote, l.Order
	d.scheduler.StartTerm(d.now, d.now, &batch.Cache{})
	d.scheduler.SetPolicy(l.policy())
	for i := range l.Fleet.Workers {
		w := newWorker(&l.Fleet, i)
		w.reportAt = d.now.Add(time.Duration(d.rng.Int63n(int64(reportInterval))))
		d.workers = append(d.workers, w)
		d.byID[w.ID] = w
	}
	d.scheduleArrivals()
	for _, e := range l.Events {
		d.at(d.start.Add(seconds(e.At)), func() { d.apply(e) })
	}
	return d
}

// at calls fn at a time.
func (d *day) at(t time.Time, fn func()) {
	key := max(t.UnixNano(), d.now.UnixNano()+int64(tick)) / int64(tick)
	d.due[key] = append(d.due[key], fn)
}

func (d *day) after(delay time.Duration, fn func()) { d.at(d.now.Add(delay), fn) }

// scheduleArrivals draws the jobs of the day.
func (d *day) scheduleArrivals() {
	for i := range d.load.Classes {
		c := &d.load.Classes[i]
		for t := 0.0; ; {
			rate := c.Rate
			for _, e := range d.load.Events {
				if e.Kind == "burst" && (e.Class == "" || e.Class == c.Name) && t >= e.At && t < e.At+e.For {
					rate *= e.X
				}
			}
			if rate <= 0 {
				t += 0.1
			} else {
				t += d.rng.ExpFloat64() / rate
			}
			if t >= d.load.Length {
				break
			}
			if rate > 0 {
				d.order = append(d.order, d.newJob(c, d.start.Add(seconds(t))))
			}
		}
	}
	slices.SortStableFunc(d.order, func(a, b *submitted) int { return a.at.Compare(b.at) })
	for i, j := range d.order {
		j.ID = model.JobID(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15))
		d.jobs[j.ID] = j
		d.at(j.at, func() { d.submit(j) })
		if !j.cancelAt.IsZero() {
			d.at(j.cancelAt, func() { d.cancel(j) })
		}
	}
}

// newJob draws a job of a class.
func (d *day) newJob(c *Class, at time.Time) *submitted {
	j := &submitted{class: c, at: at, work: seconds(max(0.1, c.Work.draw(d.rng))), failing: map[batch.TaskID]bool{}, ran: map[int]bool{}}
	step := batch.Step{
		Count: max(1, int(math.Round(c.Width.draw(d.rng)))),
		Need:  batch.Amount{CPU: c.Cores * 1000, Memory: c.Memory, GPU: c.GPUs[d.rng.Intn(len(c.GPUs))]},
		Gang:  d.rng.Float64() < c.Gang, Checkpoints: d.rng.Float64() < c.Saves,
		Estimate: time.Duration(float64(j.work) * math.Exp(c.Bias+c.Error*d.rng.NormFloat64())),
	}
	if d.rng.Float64() < c.Near {
		step.DataRack = rackOf(d.rng.Intn((d.load.Fleet.Workers + d.load.Fleet.Rack - 1) / d.load.Fleet.Rack))
	}
	if d.rng.Float64() < c.Cancel {
		j.cancelAt = at.Add(time.Duration(d.rng.Int63n(int64(2 * time.Second))))
	}
	team := d.drawTeam(c)
	if team < c.Lying {
		step.Estimate = time.Duration(float64(step.Estimate) * math.Exp(c.Lie))
	}
	if c.Long > 0 && d.rng.Float64() < c.Long {
		j.work *= longFactor
	}
	j.Job = batch.Job{Queue: c.Name, Team: teamOf(team), Steps: []batch.Step{step}, Accepted: at.UnixMilli()}
	return j
}

// drawTeam returns the number of a random team that submits jobs of a class.
func (d *day) drawTeam(c *Class) int {
	if len(c.Teams) > 0 {
		return c.Teams[d.rng.Intn(len(c.Teams))]
	}
	return d.rng.Intn(d.load.Teams)
}

func (d *day) cancel(j *submitted) {
	if j.completed.IsZero() {
		j.cancelled = true
		if j.acceptedAt.IsZero() {
			return
		}
		d.scheduler.UpdateJob(d.now, d.now, j.ID, &batch.JobRecord{Job: &j.Job, Cancelled: true})
	}
}

// apply begins an event and schedules its end.
func (d *day) apply(e Event) {
	until := d.now.Add(seconds(e.For))
	switch e.Kind {
	case "pause":
		d.paused = true
		d.at(until, func() { d.paused = false })
	case "store":
		d.storeDelay = time.Duration(float64(d.storeDelay) * e.X)
		d.at(until, func() { d.storeDelay = seconds(d.load.Fleet.Store) })
	case "lose":
		for _, w := range d.pick(e.Share) {
			d.lose(w, seconds(e.For))
		}
	case "drain":
		for _, w := range d.pick(e.Share) {
			w.Readiness, w.MinTimeLeft = batch.WorkerDraining, seconds(e.X)
			w.leavesAt, w.leavesFor = d.now.Add(seconds(e.X)), seconds(e.For)
			w.reportAt = d.now
		}
	case "grey":
		chosen := d.pick(e.Share)
		for _, w := range chosen {
			w.failing = true
		}
		d.at(until, func() {
			for _, w := range chosen {
				w.failing = false
			}
		})
	}
}

// pick returns a random share of the workers that are present.
func (d *day) pick(share float64) []*worker {
	var present []*worker
	for _, w := range d.workers {
		if w.absentUntil.IsZero() && w.leavesAt.IsZero() {
			present = append(present, w)
		}
	}
	d.rng.Shuffle(len(present), func(i, j int) { present[i], present[j] = present[j], present[i] })
	return present[:int(math.Round(share*float64(len(present))))]
}

// lose ends a worker's process and all its runs.
func (d *day) lose(w *worker, back time.Duration) {
	for _, r := range w.runs {
		d.throwAway(r, r.progress(d.now)-r.worked)
	}
	gone := w.Worker
	gone.Readiness = batch.WorkerDeparted
	delete(d.byID, w.ID)
	w.absentUntil, w.leavesAt = d.now.Add(back), time.Time{}
	clear(w.runs)
	d.after(lossNotice, func() { d.scheduler.ApplyReport(d.now, d.now, &batch.Report{Worker: gone}, 1) })
}

// throwAway counts work that is lost.
func (d *day) throwAway(r *run, lost time.Duration) {
	d.thrown += lost.Seconds() * r.job.Steps[0].Need.Cores()
}

// play plays the day to its end.
func (d *day) play() {
	end := d.start.Add(seconds(d.load.Length + d.load.Drain))
	for d.now.Before(end) {
		d.now = d.now.Add(tick)
		key := d.now.UnixNano() / int64(tick)
		for _, fn := range d.due[key] {
			fn()
		}
		delete(d.due, key)
		d.advanceWorkers()
		if !d.paused {
			d.decide()
		}
	}
}

// advanceWorkers ends the runs that end now, brings workers back and sends reports.
func (d *day) advanceWorkers() {
	for _, w := range d.workers {
		if !w.absentUntil.IsZero() {
			if d.now.Before(w.absentUntil) {
				continue
			}
			w.absentUntil = time.Time{}
			w.renew()
			d.byID[w.ID] = w
			w.reportAt = d.now
		}
		if !w.leavesAt.IsZero() && !d.now.Before(w.leavesAt) {
			d.lose(w, w.leavesFor)
			continue
		}
		for _, id := range sortedRuns(w.runs) {
			r := w.runs[id]
			if r == nil {
				continue
			}
			switch {
			case !r.stopAt.IsZero() && !d.now.Before(r.stopAt):
				d.endStopped(w, r)
				w.reportAt = d.now
			case !d.now.Before(r.endsAt):
				d.endRun(w, r)
				w.reportAt = d.now
			}
		}
		if !d.now.Before(w.reportAt) {
			w.reportAt = d.now.Add(reportInterval)
			d.sendReport(w)
		}
	}
}

func sortedRuns(runs map[batch.TaskID]*run) []batch.TaskID {
	ids := make([]batch.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, batch.TaskID.Compare)
	return ids
}

// sendReport sends a worker's report to the owner.
func (d *day) sendReport(w *worker) {
	report := w.report(d.now)
	var deliver func()
	deliver = func() {
		if d.paused {
			d.after(tick, deliver)
			return
		}
		d.scheduler.ApplyReport(d.now, d.now, report, 1)
	}
	d.after(seconds(d.load.Fleet.Link), deliver)
}

// endStopped ends a run that was ordered to stop. A run with checkpoints has saved its work.
func (d *day) endStopped(w *worker, r *run) {
	checkpoint := ""
	if r.job.Steps[0].Checkpoints {
		checkpoint = strconv.FormatInt(int64(r.progress(d.now)), 10)
	} else {
		d.throwAway(r, r.progress(d.now)-r.worked)
	}
	d.stops++
	w.end(r, batch.EndStopped, checkpoint)
}

// endRun ends a run by itself, and with it the other members of its gang.
func (d *day) endRun(w *worker, r *run) {
	w.end(r, r.cause, "")
	if r.cause != batch.EndDone {
		d.throwAway(r, r.progress(d.now)-r.worked)
	}
	if !r.job.Steps[0].Gang {
		return
	}
	cause := batch.EndGangMemberEnded
	if r.cause == batch.EndDone {
		cause = batch.EndDone
	}
	for _, other := range d.workers {
		for _, id := range sortedRuns(other.runs) {
			if m := other.runs[id]; m.job == r.job && m.Run == r.Run {
				if cause != batch.EndDone {
					d.throwAway(m, m.progress(d.now)-m.worked)
				}
				other.end(m, cause, "")
				other.reportAt = d.now
			}
		}
	}
}

// decide does what the owner's loop does.
func (d *day) decide() {
	if d.now.UnixNano()%int64(pollInterval) == 0 {
		d.scheduler.ExpireLeases(d.now, d.now)
		d.scheduler.PreemptStalled(d.now)
		d.scheduler.Evacuate(d.now)
	}
	if d.scheduler.NeedsPlan() || d.now.UnixNano()%int64(3*pollInterval) == 0 {
		begun := time.Now()
		d.scheduler.Plan(d.now, d.now)
		d.planTime += time.Since(begun)
	}
	d.updateForecast()
	d.commit()
	for _, id := range d.scheduler.TakeTouched() {
		if orders, due := d.scheduler.Orders(d.now, id, 1<<20); due {
			d.after(seconds(d.load.Fleet.Link), func() { d.carryOut(id, &orders) })
		}
	}
}

// commit stores changed progress, several commits at a time.
func (d *day) commit() {
	for {
		records := d.scheduler.PendingUpdates(recordsPerCommit, func(id model.JobID) bool { return d.committing[id] })
		if len(records) == 0 {
			return
		}
		for i := range records {
			d.committing[records[i].Job] = true
		}
		d.commits++
		d.after(d.storeDelay, func() {
			for _, r := range records {
				delete(d.committing, r.Job)
				d.scheduler.ConfirmStored(r)
				if j := d.jobs[r.Job]; r.Progress.Outcome == batch.JobCompleted && j.completed.IsZero() {
					j.completed = d.now
				}
			}
		})
	}
}

// carryOut carries out orders at a worker.
func (d *day) carryOut(id string, o *batch.Orders) {
	w := d.byID[id]
	if w == nil {
		return
	}
	w.acknowledge(o.AcknowledgedEnds)
	for _, s := range o.Starts {
		d.startRun(w, &s)
	}
	for _, stop := range o.Stops {
		if r := w.runs[stop.Task]; r != nil && r.Run == stop.Run {
			if r.stopAt.IsZero() {
				r.stopAt = d.now.Add(seconds(d.load.Fleet.Stop))
			}
			continue
		}
		// Like an agent, the worker confirms the stop of a run that it doesn't have.
		d.scheduler.ApplyReport(d.now, d.now, d.refusal(w, stop), 1)
	}
	w.reportAt = d.now
}

// refusal returns a report that a run was refused.
func (d *day) refusal(w *worker, id batch.RunID) *batch.Report {
	r := w.report(d.now)
	r.Refused = []batch.Refusal{{RunID: id, Reason: batch.RefusedStopped}}
	return r
}

// startRun starts a run.
func (d *day) startRun(w *worker, s *batch.StartOrder) {
	if w.runs[s.Task] != nil {
		return
	}
	j := d.jobs[s.Task.Job]
	r := &run{RunStatus: batch.RunStatus{RunID: s.RunID, Checkpoint: s.Checkpoint}, job: j, begun: d.now, cause: batch.EndDone, slowdown: 1}
	step := &j.Steps[0]
	if step.DataRack != "" && step.DataRack != w.Labels[1] {
		r.slowdown = max(1, d.load.Fleet.Remote)
		if d.load.Fleet.Remote == 0 {
			r.slowdown = 3
		}
	}
	r.slowdown /= w.speed
	if s.Checkpoint != "" {
		saved, err := strconv.ParseInt(s.Checkpoint, 10, 64)
		if err == nil {
			r.worked = time.Duration(saved)
			r.begun = d.now.Add(seconds(d.load.Fleet.Restore))
		}
	}
	r.endsAt = r.begun.Add(time.Duration(float64(j.work-r.worked) * r.slowdown))
	if w.failing || s.Run == 1 && d.rng.Float64() < j.class.Fails/float64(step.Count) {
		r.cause = batch.EndFailed
		r.endsAt = r.begun.Add(time.Duration(d.rng.Int63n(int64(j.work)/2 + 1)))
	}
	w.runs[s.Task] = r
	if !j.ran[s.Task.Index] {
		j.ran[s.Task.Index] = true
		if len(j.ran) == step.Count {
			j.allBegun = d.now
		}
	}
}
