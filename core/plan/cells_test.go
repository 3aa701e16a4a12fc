package plan

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wagtailhoist/core/model"
)

// layout groups the data centres c00 (four workers), c01 and c02 (three) into cells.
type layout struct {
	name  string
	cells map[model.Centre]string
	// guaranteeCells holds the cells of the guarantees of the first two teams.
	guaranteeCells [2]string
	// balance forwards waiting jobs to other cells, as io/sched does.
	balance bool
}

var (
	byCentre = map[model.Centre]string{"c00": "a", "c01": "b", "c02": "c"}
	layouts  = []layout{
		{"one cell", map[model.Centre]string{"c00": "a", "c01": "a", "c02": "a"}, [2]string{"a", "a"}, false},
		{"centres, jobs stay", byCentre, [2]string{"a", "b"}, false},
		{"centres", byCentre, [2]string{"a", "b"}, true},
		{"regions", map[model.Centre]string{"c00": "a", "c01": "a", "c02": "b"}, [2]string{"a", "b"}, true},
	}
)

// replays returns one replay for each cell. Jobs are assigned to cells by weighted rendezvous hashing.
func (l layout) replays(s site, seed uint64) []*replay {
	weight, names := map[string]float64{}, []string{}
	for _, w := range newWorkers(10, 3) {
		id := l.cells[w.Centre]
		if weight[id]++; weight[id] == 1 {
			names = append(names, id)
		}
	}
	var out []*replay
	for _, id := range names {
		d := model.Declaration{Policy: model.Policy{Compact: s.compact}, Teams: slices.Clone(s.teams)}
		for i := range d.Teams {
			if i > 1 || l.guaranteeCells[i] != id {
				d.Teams[i].Guarantees = nil
			}
		}
		acceptsJob := func(a arrival) bool {
			if a.spec.Guarantee != "" {
				return slices.ContainsFunc(d.Teams, func(t model.TeamSpec) bool { return t.Name == a.spec.Team && t.Guarantees != nil })
			}
			best, score := "", math.Inf(-1)
			for _, c := range names {
				u := (float64(xxhash.Sum64String(fmt.Sprint(seed, a.spec.ID, c))>>11) + 1) / (1 << 53)
				if this := -weight[c] / math.Log(u); this > score {
					best, score = c, this
				}
			}
			return best == id
		}
		hasWorker := func(w model.Worker) bool { return l.cells[w.Centre] == id }
		out = append(out, newCellReplay(s, seed, Decide, d, hasWorker, acceptsJob))
	}
	return out
}

// runCells runs the replays of several cells in step.
func runCells(cells []*replay, balance bool) {
	last := make([]Decision, len(cells))
	for {
		next := -1
		for i, r := range cells {
			if len(r.eventQueue) > 0 && (next < 0 || r.eventQueue[0].at.Before(cells[next].eventQueue[0].at)) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		now := cells[next].eventQueue[0].at
		cells[next].advanceTo(now)
		last[next] = cells[next].decideAndApply()
		for i := range cells {
			if jobs := cells[i].jobsToForward(last[i]); balance && len(jobs) > 0 {
				forwardJobs(cells, last, i, jobs, now)
			}
		}
	}
}

// jobsToForward returns the first 16 waiting jobs that another cell may take over.
func (r *replay) jobsToForward(d Decision) []model.JobSpec {
	var jobs []*Job
	for _, w := range d.Waiting {
		j := r.s.Jobs[w.Job]
		if j != nil && j.Phase == Queued && j.Run == 0 && j.Spec.Guarantee == "" && !w.Reason.Permanent() &&
			w.Reason.Code != Reclaiming && w.Reason.Code != Quota {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, bySequence)
	var out []model.JobSpec
	for _, j := range jobs[:min(len(jobs), 16)] {
		out = append(out, j.Spec)
	}
	return out
}

// forwardJobs moves jobs from one cell to others where they start at once. Jobs that can never start in their cell move
// to others where they may start later.
func forwardJobs(cells []*replay, last []Decision, from int, jobs []model.JobSpec, now time.Time) {
	move := func(to int, accepted []model.JobID) {
		if len(accepted) == 0 {
			return
		}
		for _, i := range []int{from, to} {
			cells[i].advanceTo(now)
		}
		for _, id := range accepted {
			t := cells[from].jobs[id]
			delete(cells[from].jobs, id)
			cells[from].apply(Event{Kind: Cancelled, Jobs: []model.JobID{id}})
			delete(cells[from].s.Cancelled, id)
			cells[to].scheduleJob(t, now)
		}
		jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(accepted, j.ID) })
		cells[to].advanceTo(now)
		last[from], last[to] = cells[from].decideAndApply(), cells[to].decideAndApply()
	}
	for k := 1; k < len(cells) && len(jobs) > 0; k++ {
		to := (from + k) % len(cells)
		move(to, StartableJobs(now, &cells[to].s, jobs))
	}
	if len(jobs) == 0 {
		return
	}
	fitting := FeasibleJobs(now, &cells[from].s, jobs)
	jobs = slices.DeleteFunc(jobs, func(j model.JobSpec) bool { return slices.Contains(fitting, j.ID) })
	for k := 1; k < len(cells) && len(jobs) > 0; k++ {
		to := (from + k) % len(cells)
		move(to, FeasibleJobs(now, &cells[to].s, jobs))
	}
}

// Jobs must not wait in one cell while another has room, nor forever because their cell is too small for them. With -v
// it prints the table of docs/CELLS.md. PLAN_SEEDS changes the seeds; see replaySeeds.
func TestCellsShareJobs(t *testing.T) {
	if os.Getenv("PLAN_SEEDS") == "" {
		t.Setenv("PLAN_SEEDS", "1 3")
	}
	for _, s := range sites {
		mean := map[string]float64{}
		for _, l := range layouts {
			var all, large []float64
			starved := 0
			for _, seed := range replaySeeds() {
				cells := l.replays(s, seed)
				runCells(cells, l.balance)
				for _, r := range cells {
					for id, x := range r.jobs {
						if x.finished.IsZero() {
							if j := r.s.Jobs[id]; j != nil && j.Phase == Queued {
								starved++
							}
							continue
						}
						c := x.finished.Sub(epoch.Add(x.at)).Minutes()
						all = append(all, c)
						if x.spec.Shape.Size() >= 24 && x.spec.Guarantee == "" {
							large = append(large, c-x.arrival.run.Minutes())
						}
					}
				}
			}
			mean[l.name] = average(all)
			t.Logf("| %s, %s | %.1f | %.1f | %d |", s.name, l.name, mean[l.name], average(large), starved)
			if l.balance && starved > 0 {
				t.Errorf("%s, %s: %d jobs never started", s.name, l.name, starved)
			}
		}
		for _, name := range []string{"centres", "regions"} {
			if mean[name] >= mean["centres, jobs stay"] {
				t.Errorf("%s: mean completion with %s: got %.1f min, want less than %.1f, where jobs stay", s.name, name, mean[name], mean["centres, jobs stay"])
			}
		}
	}
}
