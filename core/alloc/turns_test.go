package alloc

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/core/share"
)

// shareFixture returns a fixture in which teams take turns, with a number of workers of 8 accelerators.
func shareFixture(t testing.TB, workers int, teams ...batch.Team) *fixture {
	f := newFixture(t, teams...)
	f.scheduler.Settings.TeamOrder = ByShare
	for i := range workers {
		f.addWorker(fmt.Sprintf("n%02d", i), "r1")
	}
	return f
}

// longStep returns a step of tasks with gpu accelerators each that are estimated to run for a minute, so that its objective is two
// minutes.
func longStep(count int, gpu int64) batch.Step {
	s := gpuStep(count, gpu)
	s.Estimate = time.Minute
	return s
}

// rounds lets time pass in rounds.
func (f *fixture) rounds(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(500 * time.Millisecond)
		f.runRound()
	}
}

// A burst of one team that was submitted first held up the jobs of all others.
func TestTeamWithLessUsageGoesFirst(t *testing.T) {
	for _, tc := range []struct {
		order TeamOrder
		want  string
	}{{ByDeadline, "large"}, {ByShare, "small"}} {
		f := shareFixture(t, 1)
		f.scheduler.Settings.TeamOrder = tc.order
		first := f.submit("p1", "large", longStep(1, 8))
		f.rounds(time.Second)
		next := map[string]model.JobID{"large": f.submit("p1", "large", longStep(1, 8))}
		f.rounds(time.Second)
		next["small"] = f.submit("p1", "small", longStep(1, 8))
		f.rounds(time.Second)
		f.endRuns(first, batch.EndDone)
		f.runRound()
		for team, id := range next {
			if got, want := f.countRuns(id), map[bool]int{true: 1}[team == tc.want]; got != want {
				t.Errorf("order %s: runs of team %s: got %d, want %d", tc.order, team, got, want)
			}
		}
	}
}

// A step that is past half of its objective must not be overtaken by newer ones of teams that have their share, nor, past half of
// the time in which it is of use, by any, or a team with much usage would wait until its work is of no use. Its objective is 121 s.
func TestStepKeepsItsPlaceAsItGetsOld(t *testing.T) {
	for _, tc := range []struct {
		waited time.Duration
		// usage is that of the team with the newer step. The common usage is 44 or 40.
		usage float64
		want  string
	}{
		{50 * time.Second, 40, "newer"},
		{70 * time.Second, 40, "old"},
		{70 * time.Second, 0, "newer"},
		{170 * time.Second, 0, "newer"},
		{190 * time.Second, 0, "old"},
	} {
		f := shareFixture(t, 10, batch.Team{Name: "a", Guarantee: 1})
		f.submit("p0", "fill", longStep(9, 8))
		f.runRound()
		// Both teams are beyond the common usage, since others that wait have none.
		blocker := f.submit("p2", "old", longStep(1, 8))
		f.runRound()
		jobs := map[string]model.JobID{"old": f.submit("p1", "old", longStep(1, 8))}
		f.rounds(tc.waited)
		jobs["newer"] = f.submit("p1", "newer", longStep(1, 8))
		f.scheduler.usage = share.Usage{}
		f.scheduler.usage.Use(f.now, "newer", tc.usage)
		f.scheduler.usage.Use(f.now, "old", 400)
		for i := range 8 {
			// None of them fits, so that they are only waited with.
			step := longStep(1, 8)
			step.RequiredLabel = "missing"
			f.submit("p1", model.Team(fmt.Sprintf("idle%d", i)), step)
		}
		f.endRuns(blocker, batch.EndDone)
		f.runRound()
		for team, id := range jobs {
			if got, want := f.countRuns(id), map[bool]int{true: 1}[team == tc.want]; got != want {
				t.Errorf("after %v, newer with usage %v: runs of team %s: got %d, want %d", tc.waited, tc.usage, team, got, want)
			}
		}
	}
}

// Usage must be what runs hold, from their placement to their end, also of gangs and of work without accelerators; a new owner
// begins with none.
func TestUsageIsWhatRunsHold(t *testing.T) {
	f := shareFixture(t, 2)
	cores := gpuStep(1, 0)
	cores.Need.CPU = 16000
	single := f.submit("p1", "single", gpuStep(1, 4))
	gang := f.submit("p1", "gang", gangStep(2, 3))
	f.submit("p1", "cores", cores)
	f.runRound()
	held := map[model.Team]float64{}
	for second := range 6 {
		f.now = f.now.Add(time.Second)
		for team, gpus := range map[model.Team]float64{"single": 4, "gang": 6, "cores": 2} {
			held[team] *= math.Exp2(-1 / share.HalfLife.Seconds())
			if team == "cores" || second < 4 {
				held[team] += gpus
			}
		}
		if second == 3 {
			f.endRuns(single, batch.EndDone)
			f.endRuns(gang, batch.EndDone)
		}
		got := f.scheduler.TeamUsage(f.now)
		for team, want := range held {
			if math.Abs(got[team]-want) > 1e-6 {
				t.Errorf("usage of team %s after %d s: got %v, want %v", team, second+1, got[team], want)
			}
		}
	}
	f.storeProgress()
	f.scheduler.StartTerm(f.now, f.now, &f.cache)
	if got := f.scheduler.TeamUsage(f.now); len(got) != 0 {
		t.Errorf("usage at the start of a term: got %v, want none", got)
	}
	f.now = f.now.Add(time.Second)
	if got, want := fmt.Sprint(f.scheduler.TeamUsage(f.now)), "map[cores:2]"; got != want {
		t.Errorf("usage a second later: got %s, want %s", got, want)
	}
}

// Without a second team, and where all work fits, the order must be the one by deadline, on any load.
func TestOrderChangesOnlyWhereTeamsCompete(t *testing.T) {
	order := func(order TeamOrder, teams ...model.Team) func(seed int64) []string {
		return func(seed int64) []string {
			plans := playRandomLoad(t, seed, order, teams, planOf)
			for i := range plans {
				plans[i] = strings.ReplaceAll(plans[i], ", by deadline", "")
			}
			return plans
		}
	}
	want, got := order(ByDeadline, "a"), order(ByShare, "a")
	for seed := range int64(30) {
		want, got := want(seed), got(seed)
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("seed %d, plan %d of one team:\ngot\n%s\nwant\n%s", seed, i, got[i], want[i])
			}
		}
	}
	several := order(ByShare, "a", "b", "c")
	for seed := range int64(10) {
		if !strings.Contains(strings.Join(several(seed), "\n"), "by share") {
			t.Errorf("seed %d: got no order by share among three teams", seed)
		}
	}
}

// turnLoad is a generated load of several teams on a few workers.
type turnLoad struct {
	*fixture
	rng   *rand.Rand
	teams []model.Team
	// ends holds when the runs of each job end.
	ends map[model.JobID]time.Time
	// team and submitted hold each job's team and time.
	team      map[model.JobID]model.Team
	submitted map[model.JobID]time.Time
	waiting   []model.JobID
	// running holds the jobs that ran at the end of the round.
	running map[model.JobID]bool
}

// newTurnLoad draws teams with weights and workers.
func newTurnLoad(t *rapid.T, tb testing.TB, order TeamOrder) *turnLoad {
	l := &turnLoad{
		rng: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), ends: map[model.JobID]time.Time{},
		team: map[model.JobID]model.Team{}, submitted: map[model.JobID]time.Time{},
	}
	var teams []batch.Team
	for i := range rapid.IntRange(2, 6).Draw(t, "teams") {
		name := model.Team(fmt.Sprintf("t%d", i))
		l.teams = append(l.teams, name)
		teams = append(teams, batch.Team{Name: name, Guarantee: int64(rapid.IntRange(0, 4).Draw(t, "guarantee"))})
	}
	l.fixture = shareFixture(tb, rapid.IntRange(1, 2).Draw(t, "workers"), teams...)
	l.scheduler.Settings.TeamOrder = order
	// The objective is longer than the load, so that all work is of use throughout.
	queue := l.scheduler.policy.Queues["p1"]
	queue.Target = time.Minute
	l.scheduler.policy.Queues["p1"] = queue
	return l
}

// turnInterval is the time of a round.
const turnInterval = 250 * time.Millisecond

// round submits and ends jobs at random, and plans. One team submits more than fits, the others a little.
func (l *turnLoad) round() {
	l.now = l.now.Add(turnInterval)
	for id, at := range l.ends {
		if !l.now.Before(at) {
			l.endRuns(id, batch.EndDone)
			delete(l.ends, id)
		}
	}
	for range 3 {
		l.submitSome(l.teams[0], 80)
	}
	for _, team := range l.teams[1:] {
		l.submitSome(team, 10)
	}
	l.runRound()
	l.running = map[model.JobID]bool{}
	for _, w := range l.workers {
		for _, status := range w.running {
			l.running[status.Task.Job] = true
		}
	}
	waiting := l.waiting[:0]
	for _, id := range l.waiting {
		if !l.running[id] {
			waiting = append(waiting, id)
			continue
		}
		l.ends[id] = l.now.Add(time.Duration(500+l.rng.Intn(3000)) * time.Millisecond)
	}
	l.waiting = waiting
}

// submitSome submits a job of a team with a probability in percent. Each has one task of one accelerator, so that it fits wherever
// capacity is free.
func (l *turnLoad) submitSome(team model.Team, percent int) {
	if l.rng.Intn(100) >= percent {
		return
	}
	step := gpuStep(1, 1)
	id := l.submit("p1", team, step)
	l.team[id], l.submitted[id] = team, l.now
	l.waiting = append(l.waiting, id)
}

// No team may wait longer than the window while it has used less than its weight and has work that fits. By deadline, the jobs of
// a small team wait for the whole burst of a large one.
func TestTeamBelowItsWeightDoesNotWait(t *testing.T) {
	waitedByDeadline := false
	for _, order := range []TeamOrder{ByShare, ByDeadline} {
		rapid.Check(t, func(rt *rapid.T) {
			if waitedByDeadline {
				// One load that shows the difference is enough.
				return
			}
			l := newTurnLoad(rt, t, order)
			since := map[model.Team]time.Time{}
			placed := map[model.JobID]bool{}
			for range 100 {
				before := append([]model.JobID(nil), l.waiting...)
				l.round()
				names := map[model.Team]bool{}
				for _, id := range l.waiting {
					names[l.team[id]] = true
				}
				for _, id := range before {
					if l.running[id] && !placed[id] {
						placed[id] = true
						delete(since, l.team[id])
					}
				}
				var all []model.Team
				for team := range names {
					all = append(all, team)
				}
				// By deadline the scheduler doesn't know the usage, so that it is counted here.
				usage := &l.scheduler.usage
				if order == ByDeadline {
					for id := range l.running {
						usage.Use(l.now, l.team[id], turnInterval.Seconds())
					}
				}
				for _, team := range l.teams {
					if !names[team] || usage.Rank(l.now, team) >= usage.CommonRank(l.now, all) {
						delete(since, team)
						continue
					}
					if since[team].IsZero() {
						since[team] = l.now
					}
					if waited := l.now.Sub(since[team]); waited > share.HalfLife {
						if order == ByShare {
							rt.Fatalf("team %s has used less than its weight and has waited for %v, want at most %v", team, waited, share.HalfLife)
						}
						waitedByDeadline = true
					}
				}
			}
		})
	}
	if !waitedByDeadline {
		t.Error("no team waited longer than the window by deadline, so that the load shows nothing")
	}
}

// No job that is still of use may wait for ever behind newer ones, however much its team has used and however many other teams have
// newer jobs at all times.
func TestNoJobStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := shareFixture(t, 1)
		f.scheduler.usage.Use(f.now, "large", float64(rapid.IntRange(0, 100000).Draw(rt, "usage")))
		newest := map[model.Team]model.JobID{}
		teams := []model.Team{"b", "c", "d"}[:rapid.IntRange(1, 3).Draw(rt, "others")]
		for _, team := range teams {
			newest[team] = f.submit("p1", team, gpuStep(1, 8))
		}
		victim := f.submit("p1", "large", gpuStep(1, 8))
		// The objective is 5 s. A run of 2 s may have begun just before the job's turn.
		bound := f.now.Add(5*tooLateFactor*time.Second/2 + 4*time.Second)
		for f.countRuns(victim) == 0 {
			if f.now.After(bound) {
				rt.Fatalf("job of the team with much usage not placed within half of the time in which it is of use")
			}
			f.now = f.now.Add(2 * time.Second)
			// Each other team has a newer job waiting at all times.
			for _, team := range teams {
				if f.countRuns(newest[team]) > 0 {
					f.endRuns(newest[team], batch.EndDone)
					newest[team] = f.submit("p1", team, gpuStep(1, 8))
				}
			}
			f.runRound()
		}
	})
}

// Guarantees must be met as before while teams take turns: a claim is placed at once, whatever its team has used.
func TestClaimsDontTakeTurns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTurnLoad(rt, t, ByShare)
		claimer := batch.Team{Name: "claimer", Guarantee: int64(rapid.IntRange(1, 8).Draw(rt, "claim"))}
		l.scheduler.policy.Teams[claimer.Name] = claimer
		l.scheduler.SetPolicy(l.scheduler.policy)
		for range 20 {
			l.round()
		}
		l.scheduler.usage.Use(l.now, claimer.Name, 1e6)
		id := l.submit("p0", claimer.Name, gangStep(int(claimer.Guarantee), 1))
		// A claim waits for ends that are expected until 600 ms after its acceptance, then stops runs, and is placed in the next plan.
		for range 4 {
			l.round()
		}
		if got, want := l.countRuns(id), int(claimer.Guarantee); got != want {
			rt.Fatalf("runs of the claim after 1 s: got %d, want %d", got, want)
		}
	})
}

// The trace must name the order by which a step was placed, but only where teams may take turns: by deadline, reasons stay as they
// are.
func TestPlacementReasonNamesTheOrder(t *testing.T) {
	for _, tc := range []struct {
		order   TeamOrder
		workers int
		teams   []model.Team
		want    string
	}{
		{"", 1, []model.Team{"a", "b"}, "objective"},
		{ByDeadline, 1, []model.Team{"a", "b"}, "objective"},
		{ByShare, 1, []model.Team{"a", "a"}, "by deadline"},
		{ByShare, 2, []model.Team{"a", "b"}, "by deadline"},
		{ByShare, 1, []model.Team{"a", "b"}, "by share (turn 0)"},
	} {
		f := shareFixture(t, tc.workers)
		f.scheduler.Settings.TeamOrder = tc.order
		var reasons []string
		f.scheduler.Trace = func(e Event) {
			if e.Kind == "placed" {
				reasons = append(reasons, e.Detail)
			}
		}
		for _, team := range tc.teams {
			f.submit("p1", team, longStep(1, 8))
		}
		f.runRound()
		if len(reasons) != tc.workers || !strings.HasSuffix(reasons[0], tc.want) {
			t.Errorf("order %q of teams %v on %d workers: got reasons %q, want one a worker that ends with %q", tc.order, tc.teams, tc.workers, reasons, tc.want)
		}
	}
}
