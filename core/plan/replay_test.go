package plan

import (
	"cmp"
	"container/heap"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

// timedEvent is an event of a replay.
type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []timedEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, k int) bool {
	return cmp.Or(a[i].at.Compare(a[k].at), cmp.Compare(a[i].order, a[k].order)) < 0
}
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(timedEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// simulatedJob is a job of a replay with its true properties and its progress.
type simulatedJob struct {
	arrival
	workDone time.Duration
	started  time.Time
	run      int
	finished time.Time
	// blocked is set while the job waits because its guarantee is in use or has a shortfall; claimable is the time of
	// the first event after that.
	blocked   bool
	claimable time.Time
}

// replay runs a job stream through a policy in simulated time, without processes or a network.
type replay struct {
	s          State
	now        time.Time
	eventQueue eventQueue
	order      int
	jobs       map[model.JobID]*simulatedJob
	decide     func(time.Time, *State) Decision
	horizon    time.Time
	// failingWorker fails every task between hours 10 and 16.
	failingWorker   model.WorkerID
	nextDecision    time.Time
	lostWork        float64
	used            float64
	frag            float64
	measuredSeconds float64
	maxClaimWait    time.Duration
	maxUrgentWait   time.Duration
	preemptions     int
	trace           bool
}

// at schedules a function for a time.
func (r *replay) at(t time.Time, do func()) {
	r.order++
	heap.Push(&r.eventQueue, timedEvent{t, r.order, do})
}

func (r *replay) apply(e ...Event) { r.s.Apply(r.now, e...) }

func newReplay(s site, seed uint64, decide func(time.Time, *State) Decision, d model.Declaration) *replay {
	return newCellReplay(s, seed, decide, d, func(model.Worker) bool { return true }, func(arrival) bool { return true })
}

// newCellReplay is newReplay limited to some of the workers and jobs.
func newCellReplay(
	s site, seed uint64, decide func(time.Time, *State) Decision, d model.Declaration,
	hasWorker func(model.Worker) bool, acceptsJob func(arrival) bool,
) *replay {
	r := &replay{now: epoch, decide: decide, jobs: map[model.JobID]*simulatedJob{}, horizon: epoch.Add(time.Duration(s.hours) * time.Hour), failingWorker: "w00005"}
	workers := newWorkers(10, 3)
	for i := range workers {
		if hasWorker(workers[i]) {
			r.apply(Event{Kind: WorkerSeen, Worker: &workers[i]})
		}
	}
	r.apply(Event{Kind: Declared, Declaration: &d})
	for _, a := range s.stream(seed, len(workers)) {
		if acceptsJob(a) {
			r.scheduleJob(&simulatedJob{arrival: a}, epoch.Add(a.at))
		}
	}
	if !hasWorker(workers[8]) {
		return r
	}
	// One worker is lost for three hours.
	r.at(epoch.Add(20*time.Hour), func() {
		for _, j := range r.s.Jobs {
			for _, sl := range j.Slots {
				if sl.Worker == "w00008" {
					r.addLostWork(j, r.now.Sub(r.jobs[j.Spec.ID].started))
				}
			}
		}
		r.apply(Event{Kind: WorkerLost, Workers: []model.WorkerID{"w00008"}})
	})
	r.at(epoch.Add(23*time.Hour), func() { r.apply(Event{Kind: WorkerSeen, Worker: &workers[8]}) })
	return r
}

// scheduleJob schedules the submission of a job, and its cancellation if it has one.
func (r *replay) scheduleJob(t *simulatedJob, at time.Time) {
	id := t.spec.ID
	r.jobs[id] = t
	r.at(at, func() { r.apply(Event{Kind: Submitted, Job: &t.spec}) })
	if t.cancelled > 0 {
		r.at(epoch.Add(t.cancelled), func() {
			if r.jobs[id] == t {
				r.apply(Event{Kind: Cancelled, Jobs: []model.JobID{id}})
			}
		})
	}
}

// addLostWork counts the work of a job that has to be repeated.
func (r *replay) addLostWork(j *Job, ran time.Duration) {
	r.lostWork += ran.Hours() * float64(j.Spec.Shape.Size())
	r.jobs[j.Spec.ID].run = 0
}

// play runs the replay until no events are left.
func (r *replay) play() {
	for len(r.eventQueue) > 0 {
		r.advanceTo(r.eventQueue[0].at)
		r.decideAndApply()
	}
}

// advanceTo runs the events up to a time.
func (r *replay) advanceTo(to time.Time) {
	r.accumulate(to)
	if to.Sub(r.horizon) > 60*24*time.Hour {
		panic(fmt.Sprintf("jobs still wait 60 days after the arrival period: %+v", r.decide(r.now, &r.s)))
	}
	r.now = to
	for len(r.eventQueue) > 0 && !r.eventQueue[0].at.After(to) {
		heap.Pop(&r.eventQueue).(timedEvent).do()
	}
}

// decideAndApply makes a decision and carries it out.
func (r *replay) decideAndApply() Decision {
	for _, t := range r.jobs {
		if t.blocked {
			t.claimable = r.now
		}
	}
	d := r.decide(r.now, &r.s)
	r.carryOut(r.s.Accept(r.now, d.Actions))
	for _, w := range d.Waiting {
		c := w.Reason.Code
		r.jobs[w.Job].blocked = c == GuaranteeInUse || c == GuaranteeShortfall
	}
	if !d.NextDecision.IsZero() && d.NextDecision.After(r.now) && len(r.s.Jobs) > 0 && (!r.nextDecision.After(r.now) || d.NextDecision.Before(r.nextDecision)) {
		r.nextDecision = d.NextDecision
		r.at(d.NextDecision, func() { r.apply() })
	}
	return d
}

func (r *replay) carryOut(actions []Action) {
	for _, a := range actions {
		if r.trace && a.Verb != Reserve {
			fmt.Println(r.now.Sub(epoch), a.Verb, a.Job, a.Slots, a.ForJob)
		}
		j := r.s.Jobs[a.Job]
		switch a.Verb {
		case Start:
			r.startRun(j)
		case Checkpoint, Stop, Move:
			r.endRun(j, a)
		}
	}
}

// startRun starts a run and schedules its end.
func (r *replay) startRun(j *Job) {
	t := r.jobs[j.Spec.ID]
	t.started, t.run = r.now, j.Run
	r.apply(Event{Kind: Started, Jobs: []model.JobID{j.Spec.ID}})
	wait := r.now.Sub(epoch.Add(t.at))
	if j.Anchored && j.Run == 1 {
		if !t.claimable.IsZero() {
			wait = r.now.Sub(t.claimable)
		}
		r.maxClaimWait = max(r.maxClaimWait, wait)
	} else if t.spec.Guarantee != "" && j.Run == 1 {
		r.maxClaimWait = max(r.maxClaimWait, wait)
	}
	if t.spec.Urgent && j.Run == 1 {
		r.maxUrgentWait = max(r.maxUrgentWait, wait)
	}
	left := t.arrival.run - t.workDone
	if j.SavedWork > 0 {
		left += restartTime
	}
	fail := model.WorkerID("")
	since := r.now.Sub(epoch)
	for _, sl := range j.Slots {
		if sl.Worker == r.failingWorker && since > 10*time.Hour && since < 16*time.Hour {
			fail, left = sl.Worker, 20*time.Second
		}
	}
	if t.alwaysFails || (t.failsAfter > 0 && j.Run == 1) {
		fail = j.Slots[j.Run%len(j.Slots)].Worker
		left = min(left, max(time.Duration(t.failsAfter*float64(left)), 20*time.Second))
	}
	run := j.Run
	r.at(r.now.Add(left), func() { r.completeRun(t, run, fail) })
}

// completeRun ends a run, unless the job has been stopped before.
func (r *replay) completeRun(t *simulatedJob, run int, fail model.WorkerID) {
	j := r.s.Jobs[t.spec.ID]
	if t.run != run || j == nil {
		return
	}
	t.run = 0
	if fail != "" {
		r.apply(Event{Kind: Failed, Jobs: []model.JobID{t.spec.ID}, Workers: []model.WorkerID{fail}})
		return
	}
	t.finished = r.now
	r.apply(Event{Kind: Finished, Jobs: []model.JobID{t.spec.ID}})
}

// endRun ends a run by an action of the policy.
func (r *replay) endRun(j *Job, a Action) {
	t := r.jobs[j.Spec.ID]
	t.run = 0
	if !j.Cancelled {
		r.preemptions++
		if a.Verb == Stop {
			r.addLostWork(j, r.now.Sub(t.started))
		} else {
			t.workDone += max(r.now.Sub(t.started)-restartTime*time.Duration(min(len(a.Slots)+j.Run-1, 1)), 0)
			r.lostWork += (j.Spec.Grace + restartTime).Hours() * float64(j.Spec.Shape.Size())
		}
	}
	r.at(a.Deadline, func() { r.apply(Event{Kind: Stopped, Jobs: []model.JobID{j.Spec.ID}, Saved: a.Verb != Stop}) })
}

// accumulate adds the time until next to the averages over the arrival period.
func (r *replay) accumulate(next time.Time) {
	if next.After(r.horizon) {
		next = r.horizon
	}
	dt := next.Sub(r.now).Seconds()
	if dt <= 0 {
		return
	}
	x := r.s.ensureIndex(r.now)
	r.measuredSeconds += dt
	for i := range x.nodes {
		r.used += dt * float64(x.nodes[i].used.GPUs)
	}
	r.frag += dt * r.s.FreeCapacity(r.now).Fragmentation()
}

// result holds the figures of one replay, or the mean of several.
type result struct {
	mean, p95, largeWait, frag, util, lost, claim, urgent float64
	class                                                 map[string]float64
}

func (r *replay) result() result {
	var all, large []float64
	by := map[string][]float64{}
	for _, t := range r.jobs {
		if t.finished.IsZero() {
			continue
		}
		c := t.finished.Sub(epoch.Add(t.at)).Minutes()
		all = append(all, c)
		by[t.kind] = append(by[t.kind], c)
		if t.spec.Shape.Size() >= 24 && t.spec.Guarantee == "" {
			large = append(large, c-t.arrival.run.Minutes())
		}
	}
	slices.Sort(all)
	out := result{
		mean: average(all), p95: all[len(all)*95/100], largeWait: average(large), frag: r.frag / r.measuredSeconds,
		util: r.used / (80 * r.measuredSeconds), lost: r.lostWork,
		claim: r.maxClaimWait.Seconds(), urgent: r.maxUrgentWait.Seconds(), class: map[string]float64{},
	}
	for k, v := range by {
		out.class[k] = average(v)
	}
	return out
}

func average(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

// comparedPolicy is a policy to be compared with the others.
type comparedPolicy struct {
	name   string
	decide func(time.Time, *State) Decision
	// guarded is set for policies that support guarantees.
	guarded bool
	compact float64
}

func comparedPolicies() []comparedPolicy {
	return []comparedPolicy{
		{name: "first fit", decide: firstFit},
		{name: "best fit, backfill", decide: bestFit},
		{name: "policy, compact 0", decide: Decide, guarded: true},
		{name: "policy, compact 1", decide: Decide, guarded: true, compact: 1},
	}
}

// replaySeeds returns the seeds 1 to 12, or those given by PLAN_SEEDS as the first seed and the number of seeds.
func replaySeeds() []uint64 {
	from, n := uint64(1), 12
	if v := os.Getenv("PLAN_SEEDS"); v != "" {
		fmt.Sscan(v, &from, &n)
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = from + uint64(i)
	}
	return out
}

// runSeeds replays a site with all seeds under one policy. It returns the mean figures, and the longest waits of claims
// and urgent jobs.
func runSeeds(s site, c comparedPolicy) result {
	out := result{class: map[string]float64{}}
	seeds := replaySeeds()
	n := float64(len(seeds))
	for _, seed := range seeds {
		d := model.Declaration{Policy: model.Policy{Compact: c.compact}, Teams: slices.Clone(s.teams)}
		if !c.guarded {
			for i := range d.Teams {
				d.Teams[i].Guarantees = nil
			}
		}
		p := newReplay(s, seed, c.decide, d)
		p.trace = os.Getenv("PLAN_TRACE") == fmt.Sprint(s.name, "/", c.compact, "/", seed) && c.guarded
		p.play()
		r := p.result()
		out.mean += r.mean / n
		out.p95 += r.p95 / n
		out.largeWait += r.largeWait / n
		out.frag += r.frag / n
		out.util += r.util / n
		out.lost += r.lost / n
		out.claim, out.urgent = max(out.claim, r.claim), max(out.urgent, r.urgent)
		for k, v := range r.class {
			out.class[k] += v / n
		}
	}
	return out
}

// Fails if the policy is worse than a baseline, on the measure that a deployment weighs or for the largest jobs, or if
// it exceeds a grace. With -v it prints the tables of docs/POLICY.md.
func TestPolicyBeatsBaselines(t *testing.T) {
	for _, s := range sites {
		var lines []string
		results := map[string]result{}
		names := make([]string, 0, len(s.mix))
		for _, c := range s.mix {
			names = append(names, c.name)
		}
		lines = append(lines, "| "+s.name+" | mean min | p95 min | largest wait min | fragmentation | utilisation | GPU h lost | claim s | urgent s | "+
			strings.Join(names, " | ")+" |", "|"+strings.Repeat(" --- |", 9+len(names)))
		for _, c := range comparedPolicies() {
			r := runSeeds(s, c)
			results[c.name] = r
			line := fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.3f | %.3f | %.1f | %.0f | %.1f |", c.name, r.mean, r.p95, r.largeWait, r.frag, r.util, r.lost, r.claim, r.urgent)
			for _, n := range names {
				line += fmt.Sprintf(" %.1f |", r.class[n])
			}
			lines = append(lines, line)
		}
		t.Log("\n" + strings.Join(lines, "\n"))
		own := results[fmt.Sprintf("policy, compact %.0f", s.compact)]
		for _, base := range []string{"first fit", "best fit, backfill"} {
			b := results[base]
			if s.compact == 0 && (own.mean >= b.mean || own.frag > 1.05*b.frag) {
				t.Errorf("%s: completion %.1f, fragmentation %.3f against %s with %.1f, %.3f", s.name, own.mean, own.frag, base, b.mean, b.frag)
			}
			if s.compact == 1 && (own.frag >= b.frag || own.mean > 1.05*b.mean) {
				t.Errorf("%s: fragmentation %.3f, completion %.1f against %s with %.3f, %.1f", s.name, own.frag, own.mean, base, b.frag, b.mean)
			}
		}
		if b := results["best fit, backfill"]; own.largeWait > b.largeWait {
			t.Errorf("%s: the largest jobs wait %.1f min, %.1f with best fit", s.name, own.largeWait, b.largeWait)
		}
		for _, c := range []string{"policy, compact 0", "policy, compact 1"} {
			if r := results[c]; r.claim > 60 || r.urgent > UrgentWithin.Seconds() {
				t.Errorf("%s, %s: a claim took %.0f s and an urgent start %.1f s", s.name, c, r.claim, r.urgent)
			}
		}
	}
}
