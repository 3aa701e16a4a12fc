package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// UrgentWithin is the time within which an urgent job has to start.
	UrgentWithin = 9800 * time.Millisecond
	// urgentMargin is the part of UrgentWithin left for the decision, the commands and the start of the job.
	urgentMargin = 1800 * time.Millisecond
	// maxReservations is the number of jobs that may hold a reservation at a time.
	maxReservations = 1
	// maxTried is the number of queued jobs that one decision tries to place.
	maxTried = 2000
	// shareStrength is the exponent of the fair-share factor in the score of a job.
	shareStrength = 0.1
	// wideWeight multiplies the score of jobs that take most of a rack, at policy.compact 0. Such a job waits for a
	// whole rack each time it is preempted; with the response ratio alone, wide jobs waited longer than under plain
	// backfill.
	wideWeight = 2.0
	// wideCompact is added to wideWeight at policy.compact 1, and in proportion below.
	wideCompact = 1.5
)

// planner computes one decision.
type planner struct {
	*view
	d Decision
	// failedSearches caches the searches that found no room, so that similar jobs aren't searched for again.
	failedSearches map[searchKey][]failedSearch
	// stopping holds the jobs that this decision stops.
	stopping map[model.JobID]bool
	// started holds the jobs that this decision starts.
	started map[model.JobID]bool
	// reasons holds the reasons of the queued jobs that aren't started.
	reasons map[model.JobID]Reason
	// movedAnchors holds the anchors that this decision has moved, by their index in State.Anchors.
	movedAnchors map[int]*Anchor
	// claimedParts holds the parts of anchors that waiting claims are going to use.
	claimedParts map[claimedPartKey]Amount
	// keptFreeRack is the index of the rack that unmovable jobs avoid, or -1 if there is none. keptFreeRackGPUs counts
	// its accelerators that are free or hold movable jobs.
	keptFreeRack, keptFreeRackGPUs int
	// preemptAttempts counts the jobs that have searched for jobs to preempt.
	preemptAttempts int
	// reserved holds the jobs with a reservation.
	reserved []*Job
	// totalGPUs counts the accelerators of usable workers, slowToStop those of borrowers that can't be stopped in time
	// for urgent work, and unavailableToUrgent those that urgent work can't have in time if all guarantees are claimed.
	totalGPUs, slowToStop, unavailableToUrgent int
	// wideSize is the number of accelerators from which a job takes most of a rack.
	wideSize int
	// slowByTeam counts the accelerators of slow borrowers by team; it is nil until needed.
	slowByTeam map[model.Team]int
	// nextSlowJob is the slow job that starts before all other slow jobs, or nil.
	nextSlowJob *Job
	// freeGPUs counts the free accelerators; it is -1 until needed.
	freeGPUs int
	// noOtherWorkers caches, for jobs that have failed, whether the workers on which they haven't failed are too small
	// for them.
	noOtherWorkers map[model.JobID]bool
	// evacuatedRooms caches the results of evacuatedRoom.
	evacuatedRooms map[model.Shape]string
}

// searchKey identifies the jobs that search for the same shape on the same workers.
type searchKey struct {
	shape      model.Shape
	avoidsRack bool
	// headroomLimited is set for jobs that may not use the workers on which they would take from the headroom.
	headroomLimited bool
}

// failedSearch is a search that found no room. A job with at least its grace and run time finds none either.
type failedSearch struct {
	grace, run time.Duration
	// onlyKeptFreeRack is set if the rack that the job avoids had room.
	onlyKeptFreeRack bool
}

// findFailedSearch returns an earlier failed search that shows that a search with the grace and run time of m finds no
// room either, or nil.
func (p *planner) findFailedSearch(key searchKey, m failedSearch) *failedSearch {
	list := p.failedSearches[key]
	for i := range list {
		if list[i].grace <= m.grace && list[i].run <= m.run {
			return &list[i]
		}
	}
	return nil
}

// Decide computes what to start, stop and move at now, and why each other job waits. It leaves the State unchanged.
func Decide(now time.Time, s *State) Decision {
	p := newPlanner(now, s)
	p.stopCancelled()
	p.stopEvacuatedStarts()
	p.relieveMemory()
	p.restoreGuarantees()
	p.restoreHeadroom()
	claims, urgent, relocated, rest := p.splitQueue()
	for _, j := range claims {
		p.placeClaim(j)
	}
	for _, j := range urgent {
		p.placeUrgent(j)
	}
	for _, j := range relocated {
		p.startRelocated(j)
	}
	p.placeRest(rest)
	p.reportWaiting()
	return p.d
}

// newPlanner returns a planner that works on a scratch copy of the State.
func newPlanner(now time.Time, s *State) *planner {
	p := &planner{
		view: s.scratchView(now), failedSearches: map[searchKey][]failedSearch{}, stopping: map[model.JobID]bool{},
		started: map[model.JobID]bool{}, reasons: map[model.JobID]Reason{},
		movedAnchors: map[int]*Anchor{}, claimedParts: map[claimedPartKey]Amount{}, freeGPUs: -1, noOtherWorkers: map[model.JobID]bool{},
		evacuatedRooms: map[model.Shape]string{},
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.usable {
			continue
		}
		p.totalGPUs += n.capacity.GPUs
		p.slowToStop += n.slowToStop
		p.unavailableToUrgent += n.unavailableToUrgent(0)
	}
	for _, b := range p.racks {
		p.wideSize = max(p.wideSize, p.rackSize(b)*3/4)
	}
	p.keptFreeRack, p.keptFreeRackGPUs = p.chooseKeptFreeRack()
	for _, j := range sortedJobs(p.moving) {
		p.withhold(j, p.reservedSpots(j))
	}
	return p
}

// stopCancelled stops cancelled jobs that still run.
func (p *planner) stopCancelled() {
	for _, j := range sortedJobs(p.cancelledPlaced) {
		p.stop(j, "")
	}
}

// sortedJobs returns the jobs in order of submission.
func sortedJobs(m map[model.JobID]*Job) []*Job {
	out := make([]*Job, 0, len(m))
	for _, j := range m {
		out = append(out, j)
	}
	slices.SortFunc(out, bySequence)
	return out
}

// restoreGuarantees reports the shortfalls and stops the jobs that cause them. It also schedules a decision for the end
// of each quarantine, when the worker can be used again.
func (p *planner) restoreGuarantees() {
	for _, a := range p.state.Anchors {
		if a.Shortfall == nil {
			continue
		}
		p.d.Shortfalls = append(p.d.Shortfalls, *a.Shortfall)
		for _, id := range a.Shortfall.Jobs {
			if j := p.state.Jobs[id]; j != nil && j.placed() {
				if j.MemoryExcess() > 0 {
					p.stopForMemory(j)
				}
				p.stop(j, "")
			}
		}
	}
	for i := range p.quarantined {
		p.d.scheduleNext(p.state.Workers[p.nodes[i].id].QuarantinedUntil)
	}
}

// splitQueue splits the queue into claims of guarantees, urgent jobs, jobs that were moved and have slots to start on,
// and all others in the order in which they are tried. Jobs that can never run are left out.
func (p *planner) splitQueue() (claims, urgent, relocated, rest []*Job) {
	for _, j := range p.queue {
		if r := p.permanentReason(j); r.Code != 0 {
			p.reasons[j.Spec.ID] = r
			continue
		}
		switch {
		case j.Spec.Guarantee != "":
			claims = append(claims, j)
		case j.Spec.Urgent:
			urgent = append(urgent, j)
		case len(j.ReservedSlots) > 0 && j.Preemptions > 0:
			relocated = append(relocated, j)
		default:
			rest = append(rest, j)
		}
	}
	return claims, urgent, relocated, p.orderByScore(rest)
}

// permanentReason returns a final reason if the job can't run on the known workers under the declaration, and a zero
// Reason otherwise.
func (p *planner) permanentReason(j *Job) Reason {
	shape := j.Spec.Shape
	if !validShape(shape) {
		return Reason{Code: InvalidShape}
	}
	t := p.state.Team(j.Spec.Team)
	if t == nil {
		return Reason{Code: UnknownTeam}
	}
	if t.Quota > 0 && shape.Size() > t.Quota {
		return Reason{Code: LargerThanQuota, Need: shape.Size(), Have: t.Quota}
	}
	if name := j.Spec.Guarantee; name != "" {
		a := p.state.anchor(j.Spec.Team, name)
		if a == nil {
			return Reason{Code: UnknownGuarantee, Guarantee: name}
		}
		if !shapeCovers(shape, a.Guarantee.Shape) {
			return Reason{Code: ExceedsGuarantee, Guarantee: name, Need: shape.Size(), Have: a.Guarantee.Shape.Size()}
		}
		return Reason{}
	}
	if maxTasks := p.maxTasks(shape); maxTasks < shape.Tasks {
		return Reason{Code: TooLarge, Need: shape.Size(), Have: maxTasks * shape.GPUs}
	}
	return Reason{}
}

// shapeCovers reports whether a place for the guaranteed shape always has room for the shape of the job.
func shapeCovers(job, guaranteed model.Shape) bool {
	jobTasksPerTask := tasksThatFit(PerTask(guaranteed), PerTask(job), MaxTasks)
	rank := map[model.Adjacency]int{model.SameCentre: 0, model.SameRack: 1, model.SameWorker: 2}
	return jobTasksPerTask*guaranteed.Tasks >= job.Tasks && (rank[job.Adjacent] <= rank[guaranteed.Adjacent] || jobTasksPerTask >= job.Tasks)
}

// maxTasks returns the largest number of tasks of a shape that any block of the fleet could hold if it were empty.
func (v *view) maxTasks(shape model.Shape) int {
	if n, ok := v.maxTasksByShape[shape]; ok {
		return n
	}
	q := search{v: v, shape: shape, perTask: PerTask(shape), room: func(i int) Amount { return v.nodes[i].capacity }}
	n := q.maxTasksInBlock()
	v.maxTasksByShape[shape] = n
	return n
}

// jobSearch returns a search for room for a job on free accelerators.
func (p *planner) jobSearch(j *Job) *search {
	run := p.state.remaining(j)
	q := &search{
		v: p.view, shape: j.Spec.Shape, perTask: PerTask(j.Spec.Shape),
		room: func(i int) Amount { return p.room(i, j, run) },
	}
	return q
}

// placeSearch returns jobSearch with the placement preferences of the policy.
func (p *planner) placeSearch(j *Job) *search {
	q := p.jobSearch(j)
	if q.shape.Adjacent != model.SameRack && q.shape.Tasks == 1 {
		q.shape.Adjacent = model.SameWorker
	}
	q.rank = func(i int) float64 { return p.placementCost(i, j) }
	q.cost = func(b nodeRange, spots []spot) float64 {
		sum := 0.0
		for _, s := range spots {
			sum += p.placementCost(s.node, j) * float64(s.tasks)
		}
		return sum
	}
	return q
}

// Weights of the placement preferences. The unit is one accelerator left free on a worker.
const (
	rackFreeWeight  = 0.5
	unmovableWeight = 1.0
	anchorPenalty   = 4.0
)

// placementCost ranks a node for a job; lower is better. Jobs fill the fullest workers and racks first. Jobs that can't
// be moved are kept together, and off the anchors, where they would be stopped by a claim.
func (p *planner) placementCost(i int, j *Job) float64 {
	n := &p.nodes[i]
	rack := p.racks[n.rack]
	free, unmovable, capacity := 0, 0, 0
	for k := rack.lo; k < rack.hi; k++ {
		o := &p.nodes[k]
		free += o.capacity.GPUs - o.used.GPUs
		unmovable += o.unmovable
		capacity += o.capacity.GPUs
	}
	sum := float64(n.capacity.GPUs-n.used.GPUs) + rackFreeWeight*float64(free)
	if !movable(j) {
		sum -= unmovableWeight * float64(unmovable)
		if len(n.anchorParts) > 0 {
			sum += anchorPenalty
		}
	}
	return sum
}

// room returns the resources on a node that a job of run time run may use now.
func (p *planner) room(i int, j *Job, run time.Duration) Amount {
	n := &p.nodes[i]
	if !n.usable || p.avoidsWorker(j, n.id) {
		return Amount{}
	}
	if n.rack == p.keptFreeRack && p.avoidsKeptFreeRack(j) {
		return Amount{}
	}
	r := n.free()
	if r.Memory < 0 {
		// A job without declared memory would otherwise fit on a worker that has no memory left.
		return Amount{}
	}
	if len(n.lendLimits) > 0 {
		r = n.limitToLendable(r, j.Spec.Grace)
	}
	for _, h := range n.reservations {
		if h.job != j && p.now.Add(run).After(h.from) {
			r = r.smaller(h.leftover)
		}
	}
	return r
}

// start starts a job on the spots and adds the action.
func (p *planner) start(j *Job, spots []spot, anchored bool) {
	c := *j
	c.Phase, c.Slots, c.Anchored, c.Started = Starting, slotsOf(p.view, j.Spec.Shape, spots), anchored, p.now
	c.Run++
	c.Expected = p.state.remaining(j)
	if !anchored {
		p.unavailableToUrgent += p.headroomCost(j, spots)
		if !stopsForUrgent(j) {
			p.slowToStop += j.Spec.Shape.Size()
			if p.slowByTeam != nil {
				p.slowByTeam[j.Spec.Team] += j.Spec.Shape.Size()
			}
		}
	}
	for _, s := range spots {
		for k := range p.nodes[s.node].reservations {
			h := &p.nodes[s.node].reservations[k]
			if h.job == j {
				continue
			}
			if p.now.Add(c.Expected).After(h.from) {
				h.leftover = h.leftover.Minus(PerTask(c.Spec.Shape).Times(s.tasks))
			} else {
				c.BackfillAheadOf = h.job.Spec.ID
			}
		}
	}
	p.addSlots(&c)
	p.started[c.Spec.ID] = true
	p.d.Actions = append(p.d.Actions, Action{
		Verb: Start, Job: c.Spec.ID, Run: c.Run, Slots: c.Slots, Anchored: anchored, Expected: c.Expected, ForJob: c.BackfillAheadOf,
	})
}

// stop stops a placed job, by a checkpoint if the job supports it, and adds the action. forJob names the job that needs
// the room.
func (p *planner) stop(j *Job, forJob model.JobID) {
	if j.Phase == Stopping || p.stopping[j.Spec.ID] {
		return
	}
	p.stopping[j.Spec.ID] = true
	verb := Stop
	if j.Spec.Checkpoint && !j.Cancelled {
		verb = Checkpoint
	}
	p.d.Actions = append(p.d.Actions, Action{
		Verb: verb, Job: j.Spec.ID, Run: j.Run, ForJob: forJob, Deadline: p.now.Add(j.Spec.Grace),
	})
}

// beingStopped reports whether a placed job is stopping or is stopped by this decision.
func (p *planner) beingStopped(j *Job) bool { return j.Phase == Stopping || p.stopping[j.Spec.ID] }

// withhold blocks room on the spots for other jobs of this decision.
func (p *planner) withhold(j *Job, spots []spot) {
	for _, s := range spots {
		n := &p.nodes[s.node]
		n.withheld = n.withheld.Plus(PerTask(j.Spec.Shape).Times(s.tasks))
	}
}

// spotsFree reports whether the job fits on the spots without stopping other jobs.
func (p *planner) spotsFree(j *Job, spots []spot) bool {
	for _, s := range spots {
		if !PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(p.nodes[s.node].free()) {
			return false
		}
	}
	return true
}

// reportWaiting adds the jobs that wait and their reasons to the decision.
func (p *planner) reportWaiting() {
	for _, j := range p.queue {
		if !p.started[j.Spec.ID] {
			p.d.Waiting = append(p.d.Waiting, Waiting{j.Spec.ID, p.reasons[j.Spec.ID]})
		}
	}
	for _, j := range sortedJobs(p.refused) {
		p.d.Waiting = append(p.d.Waiting, Waiting{j.Spec.ID, j.Refusal})
	}
}

// orderByScore sorts jobs by descending score.
func (p *planner) orderByScore(jobs []*Job) []*Job {
	type ranked struct {
		job   *Job
		score float64
	}
	list := make([]ranked, len(jobs))
	for i, j := range jobs {
		list[i] = ranked{j, p.score(j)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), bySequence(a.job, b.job))
	})
	out := make([]*Job, len(list))
	for i, r := range list {
		out[i] = r.job
	}
	return out
}

// score returns the rank of a job that neither claims a guarantee nor is urgent; the highest starts first. It is the
// response ratio that the job would have if it started now, weighted by the fair share of its team and by its size.
func (p *planner) score(j *Job) float64 {
	run := p.state.remaining(j).Seconds()
	wait := p.now.Sub(j.Submitted).Seconds()
	ratio := (wait + run) / run * p.shareFactor(j)
	if j.Spec.Shape.Size() >= p.wideSize {
		ratio *= wideWeight + wideCompact*p.state.Policy.Compact
	}
	return ratio
}

// rackSize counts the accelerators of the usable workers of a rack.
func (v *view) rackSize(b nodeRange) int {
	sum := 0
	for i := b.lo; i < b.hi; i++ {
		if n := &v.nodes[i]; n.usable {
			sum += n.capacity.GPUs
		}
	}
	return sum
}

// shareFactor returns the fair-share factor of a job's team: the ratio of the accelerators that its weight entitles it
// to and those that it uses, to the power shareStrength. The constant 8 damps the factor for small numbers.
func (p *planner) shareFactor(j *Job) float64 {
	weight, total := 1.0, 0.0
	for _, t := range p.state.Teams {
		w := float64(max(t.Weight, 1))
		total += w
		if t.Name == j.Spec.Team {
			weight = w
		}
	}
	fair := weight / max(total, 1) * float64(p.totalGPUs)
	return math.Pow((fair+8)/(float64(p.used[j.Spec.Team])+8), shareStrength)
}
