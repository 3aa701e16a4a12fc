package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

const (
	// UrgentWithin is the time within which urgent work has to start.
	UrgentWithin = 9800 * time.Millisecond
	// urgentMargin is the part of UrgentWithin kept for the decision, the commands and the start.
	urgentMargin = 1800 * time.Millisecond
	// reservations is the number of large jobs that hold a reservation at a time.
	reservations = 1
	// depth is the number of queued jobs that one decision tries to place.
	depth = 2000
	// shareStrength is the weight of the teams' shares against response ratios.
	shareStrength = 0.1
	// wideWeight is the weight of jobs that take most of a rack if only completion time counts. They
	// wait for a whole rack each time they are displaced; by response ratio alone they waited longer
	// than with plain backfill.
	wideWeight = 2.0
	// wideCompact is added to it if only fragmentation counts.
	wideCompact = 1.5
)

// pass works out one decision.
type pass struct {
	*view
	d Decision
	// misses remembers shapes that found no room, so that equal jobs aren't tried again.
	misses map[missKey][]miss
	// ending holds the jobs stopped by this decision.
	ending map[model.JobID]bool
	// started holds the jobs started by this decision.
	started map[model.JobID]bool
	// waits holds the reasons of the queued jobs.
	waits map[model.JobID]Reason
	// moved holds the anchors that this decision has moved, by index.
	moved map[int]*Anchor
	// promises holds the parts of anchors that claims wait for.
	promises map[promiseKey]Amount
	// clean is the rack that work that can't be moved keeps off, -1 if there is none; cleanSize
	// counts its free and movable accelerators.
	clean, cleanSize int
	// tries counts the jobs that looked for work to displace.
	tries int
	// booked holds the jobs with a reservation.
	booked []*Job
	// size counts the usable accelerators, slow those of borrowers that can't leave for urgent work in
	// time, and bound those that urgent work can't have in time if all guarantees are claimed.
	size, slow, bound int
	// wide is the number of accelerators from which a job takes most of a rack.
	wide int
	// slowOf counts the slow accelerators of each team; nil until it is needed.
	slowOf map[model.Team]int
	// slowFirst is the slow job that others of its kind wait for.
	slowFirst *Job
	// idle counts the free accelerators; -1 until it is needed.
	idle int
	// cornered says of jobs that failed before whether the other workers can't hold them.
	cornered map[model.JobID]bool
}

type missKey struct {
	shape model.Shape
	off   bool
	// spared is set for jobs that the headroom keeps off some workers.
	spared bool
}

// miss is a search that failed; a job that is slower to stop and runs longer fails too.
type miss struct {
	grace, run time.Duration
	// kept is set if only the rack had room that the job keeps off.
	kept bool
}

// missed returns an earlier search that failed and rules out the job, or nil.
func (p *pass) missed(key missKey, m miss) *miss {
	list := p.misses[key]
	for i := range list {
		if list[i].grace <= m.grace && list[i].run <= m.run {
			return &list[i]
		}
	}
	return nil
}

// Decide works out what to start, stop and move at now, and why each other job waits. It leaves
// the State unchanged.
func Decide(now time.Time, s *State) Decision {
	p := newPass(now, s)
	p.endCancelled()
	p.relieve()
	p.restoreGuarantees()
	p.restoreHeadroom()
	claims, urgent, promised, rest := p.sortQueue()
	for _, j := range claims {
		p.claim(j)
	}
	for _, j := range urgent {
		p.hurry(j)
	}
	for _, j := range promised {
		p.keep(j)
	}
	p.fill(rest)
	p.report()
	return p.d
}

// newPass returns a pass over a scratch copy of the State.
func newPass(now time.Time, s *State) *pass {
	p := &pass{
		view: s.scratch(now), misses: map[missKey][]miss{}, ending: map[model.JobID]bool{},
		started: map[model.JobID]bool{}, waits: map[model.JobID]Reason{},
		moved: map[int]*Anchor{}, promises: map[promiseKey]Amount{}, idle: -1, cornered: map[model.JobID]bool{},
	}
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.ok {
			continue
		}
		p.size += n.cap.GPUs
		p.slow += n.slow
		p.bound += n.bound(0)
	}
	for _, b := range p.racks {
		p.wide = max(p.wide, p.rackSize(b)*3/4)
	}
	p.clean, p.cleanSize = p.cleanest()
	for _, j := range sortedJobs(p.moving) {
		p.holdNow(j, p.targetSpots(j))
	}
	return p
}

// endCancelled stops cancelled jobs that still run.
func (p *pass) endCancelled() {
	for _, j := range sortedJobs(p.doomed) {
		p.stop(j, "")
	}
}

func sortedJobs(m map[model.JobID]*Job) []*Job {
	out := make([]*Job, 0, len(m))
	for _, j := range m {
		out = append(out, j)
	}
	slices.SortFunc(out, bySequence)
	return out
}

// restoreGuarantees reports shortfalls and stops the pinned work behind them.
func (p *pass) restoreGuarantees() {
	for _, a := range p.st.Anchors {
		if a.Shortfall == nil {
			continue
		}
		p.d.Shortfalls = append(p.d.Shortfalls, *a.Shortfall)
		for _, id := range a.Shortfall.Jobs {
			if j := p.st.Jobs[id]; j != nil && j.placed() {
				if j.Excess() > 0 {
					p.evict(j)
				}
				p.stop(j, "")
			}
		}
	}
	for i := range p.aside {
		p.d.wake(p.st.Workers[p.nodes[i].id].QuarantinedUntil)
	}
}

// sortQueue splits the queue into claims of guarantees, urgent jobs, jobs with promised slots and
// all others in the order in which they are tried.
func (p *pass) sortQueue() (claims, urgent, promised, rest []*Job) {
	for _, j := range p.queue {
		if r := p.never(j); r.Code != 0 {
			p.waits[j.Spec.ID] = r
			continue
		}
		switch {
		case j.Spec.Guarantee != "":
			claims = append(claims, j)
		case j.Spec.Urgent:
			urgent = append(urgent, j)
		case len(j.ReservedSlots) > 0 && j.Preemptions > 0:
			promised = append(promised, j)
		default:
			rest = append(rest, j)
		}
	}
	return claims, urgent, promised, p.order(rest)
}

// never returns a final reason if the job can't run on the known workers under the declaration.
func (p *pass) never(j *Job) Reason {
	shape := j.Spec.Shape
	if !valid(shape) {
		return Reason{Code: BadShape}
	}
	t := p.st.Team(j.Spec.Team)
	if t == nil {
		return Reason{Code: NoTeam}
	}
	if t.Quota > 0 && shape.Size() > t.Quota {
		return Reason{Code: OverQuota, Need: shape.Size(), Have: t.Quota}
	}
	if name := j.Spec.Guarantee; name != "" {
		a := p.st.anchor(j.Spec.Team, name)
		if a == nil {
			return Reason{Code: NoGuarantee, Guarantee: name}
		}
		if !covered(shape, a.Guarantee.Shape) {
			return Reason{Code: NotCovered, Guarantee: name, Need: shape.Size(), Have: a.Guarantee.Shape.Size()}
		}
		return Reason{}
	}
	if most := p.most(shape); most < shape.Tasks {
		return Reason{Code: TooLarge, Need: shape.Size(), Have: most * shape.GPUs}
	}
	return Reason{}
}

// covered reports whether a guaranteed shape always holds the shape of a job.
func covered(job, g model.Shape) bool {
	per := count(PerTask(g), PerTask(job), MaxTasks)
	rank := map[model.Adjacency]int{model.AnyPlace: 0, model.SameRack: 1, model.SameWorker: 2}
	return per*g.Tasks >= job.Tasks && (rank[job.Adjacent] <= rank[g.Adjacent] || per >= job.Tasks)
}

// most returns the largest number of tasks of a shape that any block of the fleet could hold.
func (v *view) most(shape model.Shape) int {
	if n, ok := v.limits[shape]; ok {
		return n
	}
	q := search{v: v, shape: shape, each: PerTask(shape), room: func(i int) Amount { return v.nodes[i].cap }}
	n := q.total()
	v.limits[shape] = n
	return n
}

// jobSearch returns the search for a place of a job on free accelerators.
func (p *pass) jobSearch(j *Job) *search {
	run := p.st.remaining(j)
	q := &search{
		v: p.view, shape: j.Spec.Shape, each: PerTask(j.Spec.Shape),
		room: func(i int) Amount { return p.room(i, j, run) },
	}
	return q
}

// placeSearch returns jobSearch with the policy's preferences.
func (p *pass) placeSearch(j *Job) *search {
	q := p.jobSearch(j)
	if q.shape.Adjacent != model.SameRack && q.shape.Tasks == 1 {
		q.shape.Adjacent = model.SameWorker
	}
	q.rank = func(i int) float64 { return p.taste(i, j) }
	q.cost = func(b span, at []spot) float64 {
		sum := 0.0
		for _, s := range at {
			sum += p.taste(s.node, j) * float64(s.tasks)
		}
		return sum
	}
	return q
}

// Weights of the placement preferences, in accelerators left over on a worker.
const (
	tasteRack   = 0.5
	tasteFixed  = 1.0
	tasteAnchor = 4.0
)

// taste ranks a node for a job; lower is better. Work fills full workers and full racks first.
// Work that can't be moved keeps together and off the anchors, where it would be stopped.
func (p *pass) taste(i int, j *Job) float64 {
	n := &p.nodes[i]
	rack := p.racks[n.rack]
	free, fixed, cap := 0, 0, 0
	for k := rack.lo; k < rack.hi; k++ {
		o := &p.nodes[k]
		free += o.cap.GPUs - o.used.GPUs
		fixed += o.fixed
		cap += o.cap.GPUs
	}
	sum := float64(n.cap.GPUs-n.used.GPUs) + tasteRack*float64(free)
	if !movable(j) {
		sum -= tasteFixed * float64(fixed)
		if len(n.ties) > 0 {
			sum += tasteAnchor
		}
	}
	return sum
}

// room returns what a job that runs for run may take on a node now.
func (p *pass) room(i int, j *Job, run time.Duration) Amount {
	n := &p.nodes[i]
	if !n.ok || p.avoids(j, n.id) {
		return Amount{}
	}
	if n.rack == p.clean && p.keptOff(j) {
		return Amount{}
	}
	r := n.free()
	if r.Memory < 0 {
		// Work without declared memory would fit a worker that has none left.
		return Amount{}
	}
	if len(n.levels) > 0 {
		r = n.lend(r, j.Spec.Grace)
	}
	for _, h := range n.holds {
		if h.job != j && p.now.Add(run).After(h.from) {
			r = r.smaller(h.spare)
		}
	}
	return r
}

// start starts a job on the spots.
func (p *pass) start(j *Job, at []spot, anchored bool) {
	c := *j
	c.Phase, c.Slots, c.Anchored, c.Started = Starting, slotsOf(p.view, j.Spec.Shape, at), anchored, p.now
	c.Run++
	c.Expected = p.st.remaining(j)
	if !anchored {
		p.bound += p.binds(j, at)
		if !brisk(j) {
			p.slow += j.Spec.Shape.Size()
			if p.slowOf != nil {
				p.slowOf[j.Spec.Team] += j.Spec.Shape.Size()
			}
		}
	}
	for _, s := range at {
		for k := range p.nodes[s.node].holds {
			h := &p.nodes[s.node].holds[k]
			if h.job == j {
				continue
			}
			if p.now.Add(c.Expected).After(h.from) {
				h.spare = h.spare.Minus(PerTask(c.Spec.Shape).Times(s.tasks))
			} else {
				c.BackfillAheadOf = h.job.Spec.ID
			}
		}
	}
	p.put(&c)
	p.started[c.Spec.ID] = true
	p.d.Actions = append(p.d.Actions, Action{
		Verb: Start, Job: c.Spec.ID, Run: c.Run, Slots: c.Slots, Anchored: anchored, Expected: c.Expected, ForJob: c.BackfillAheadOf,
	})
}

// stop ends a placed job, by checkpoint if it can be.
func (p *pass) stop(j *Job, by model.JobID) {
	if j.Phase == Stopping || p.ending[j.Spec.ID] {
		return
	}
	p.ending[j.Spec.ID] = true
	verb := Stop
	if j.Spec.Checkpoint && !j.Cancelled {
		verb = Checkpoint
	}
	p.d.Actions = append(p.d.Actions, Action{
		Verb: verb, Job: j.Spec.ID, Run: j.Run, ForJob: by, Deadline: p.now.Add(j.Spec.Grace),
	})
}

// leaving reports whether a placed job is on its way out.
func (p *pass) leaving(j *Job) bool { return j.Phase == Stopping || p.ending[j.Spec.ID] }

// holdNow keeps room on the spots from other jobs of this decision.
func (p *pass) holdNow(j *Job, at []spot) {
	for _, s := range at {
		n := &p.nodes[s.node]
		n.held = n.held.Plus(PerTask(j.Spec.Shape).Times(s.tasks))
	}
}

// freeAt reports whether the spots are free of other work.
func (p *pass) freeAt(j *Job, at []spot) bool {
	for _, s := range at {
		if !PerTask(j.Spec.Shape).Times(s.tasks).FitsIn(p.nodes[s.node].free()) {
			return false
		}
	}
	return true
}

// report lists the reasons of the jobs that wait.
func (p *pass) report() {
	for _, j := range p.queue {
		if !p.started[j.Spec.ID] {
			p.d.Waiting = append(p.d.Waiting, Waiting{j.Spec.ID, p.waits[j.Spec.ID]})
		}
	}
	for _, j := range sortedJobs(p.refused) {
		p.d.Waiting = append(p.d.Waiting, Waiting{j.Spec.ID, j.Refusal})
	}
}

// order sorts jobs by the response ratio that they would have if started now, weighted by team.
func (p *pass) order(jobs []*Job) []*Job {
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

// score returns the rank of a job among spare work; higher is served first. It is the response
// ratio that the job would have if started now, weighted by the share of its team and by its size.
func (p *pass) score(j *Job) float64 {
	run := p.st.remaining(j).Seconds()
	wait := p.now.Sub(j.Submitted).Seconds()
	ratio := (wait + run) / run * p.share(j)
	if j.Spec.Shape.Size() >= p.wide {
		ratio *= wideWeight + wideCompact*p.st.Policy.Compact
	}
	return ratio
}

// rackSize counts the usable accelerators of a rack.
func (v *view) rackSize(b span) int {
	sum := 0
	for i := b.lo; i < b.hi; i++ {
		if n := &v.nodes[i]; n.ok {
			sum += n.cap.GPUs
		}
	}
	return sum
}

// share returns the preference of a job's team: its weight against its use.
func (p *pass) share(j *Job) float64 {
	weight, total := 1.0, 0.0
	for _, t := range p.st.Teams {
		w := float64(max(t.Weight, 1))
		total += w
		if t.Name == j.Spec.Team {
			weight = w
		}
	}
	fair := weight / max(total, 1) * float64(p.size)
	return math.Pow((fair+8)/(float64(p.used[j.Spec.Team])+8), shareStrength)
}
