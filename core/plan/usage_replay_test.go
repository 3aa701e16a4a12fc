package plan

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/model"
)

const (
	// reportInterval is the time between reports, and reportLag the age of the measurements in them.
	reportInterval, reportLag = time.Minute, 20 * time.Second
	// reportLost is the share of reports that are lost, and reportWrong that of reports with wrong values.
	reportLost, reportWrong = 0.05, 0.01
)

// usageRule is a way to charge usage.
type usageRule struct {
	name string
	// edit changes each report before it is applied; nil means that usage isn't reported.
	edit func(now time.Time, j *Job, r Report) Report
}

func usageRules() []usageRule {
	return []usageRule{
		{name: "declarations alone"},
		{name: "larger of both always", edit: func(_ time.Time, j *Job, r Report) Report {
			// Usage that is never below the declaration never lowers the amount charged.
			d := j.Declared()
			r.Memory, r.Cores = max(r.Memory, float64(d.Memory)), max(r.Cores, float64(d.Cores))
			return r
		}},
		{name: "rule", edit: func(_ time.Time, _ *Job, r Report) Report { return r }},
	}
}

// taskMemory returns the true peak memory of each task of a job and the declared memory. The median peak is three
// quarters of the memory that goes with the accelerators of the task; declarations are wrong by a factor of up to four
// either way.
func taskMemory(spec model.JobSpec, seed uint64) (peak float64, declared int) {
	h := fnv.New64a()
	fmt.Fprint(h, spec.ID)
	r := rand.New(rand.NewPCG(seed, h.Sum64()))
	most := 32 * float64(spec.Shape.GPUs)
	peak = min(most*0.75*math.Exp(r.NormFloat64()*0.5), 200)
	return peak, int(math.Ceil(min(peak*math.Pow(4, 2*r.Float64()-1), 256)))
}

// usageReplay is a replay with memory and usage reports.
type usageReplay struct {
	*replay
	peaks map[model.JobID]float64
	rule  usageRule
	rand  *rand.Rand
	// overloaded is the total time that workers had less memory than their tasks used.
	overloaded time.Duration
}

// memoryUse returns the memory of a task of a job: half its peak at the start, rising to the peak after ten minutes.
func (u *usageReplay) memoryUse(j *Job) float64 {
	ran := u.now.Sub(j.Started)
	return u.peaks[j.Spec.ID] * (0.5 + 0.5*min(float64(ran)/float64(10*time.Minute), 1))
}

// sampleUsage checks the workers for overload and reports the usage of reportLag ago.
func (u *usageReplay) sampleUsage() {
	used := map[model.WorkerID]float64{}
	var list []Report
	for _, id := range sortedIDs(u.s.Jobs) {
		j := u.s.Jobs[id]
		index := 0
		for _, sl := range j.Slots {
			used[sl.Worker] += u.memoryUse(j) * float64(sl.Tasks)
			for range sl.Tasks {
				r := Report{Job: id, Worker: sl.Worker, Task: index, Cores: 1, Memory: u.memoryUse(j), Measured: u.now.Add(-reportLag)}
				index++
				if u.rule.edit == nil || u.rand.Float64() < reportLost {
					continue
				}
				r = u.rule.edit(u.now, j, r)
				if u.rand.Float64() < reportWrong {
					r.Memory *= 100 * u.rand.Float64()
				}
				list = append(list, r)
			}
		}
	}
	for _, gb := range used {
		if gb > 256 {
			u.overloaded += reportInterval
		}
	}
	if u.rule.edit != nil {
		u.apply(Event{Kind: Reported, Reports: list})
	}
}

func sortedIDs(m map[model.JobID]*Job) []model.JobID {
	var ids []model.JobID
	for id, j := range m {
		if j.Phase == Running {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// newUsageReplay returns a replay of a site whose guarantees include the memory of whole workers.
func newUsageReplay(s site, seed uint64, c usageRule) *usageReplay {
	s.teams = slices.Clone(s.teams)
	for i := range s.teams {
		s.teams[i].Guarantees = slices.Clone(s.teams[i].Guarantees)
		for k := range s.teams[i].Guarantees {
			s.teams[i].Guarantees[k].Shape.Memory = 256
		}
	}
	u := &usageReplay{peaks: map[model.JobID]float64{}, rule: c, rand: rand.New(rand.NewPCG(seed, 11))}
	u.replay = newReplay(s, seed, Decide, model.Declaration{Policy: model.Policy{Compact: s.compact}, Teams: s.teams})
	for id, t := range u.jobs {
		peak, declared := taskMemory(t.spec, seed)
		u.peaks[id] = peak
		if t.spec.Guarantee == "" {
			t.spec.Shape.Memory = declared
		}
	}
	for at := reportInterval; at <= time.Duration(s.hours)*time.Hour; at += reportInterval {
		u.at(epoch.Add(at), u.sampleUsage)
	}
	return u
}

// Fails if the rule overloads workers longer than charging declarations does, or finishes jobs later than always
// charging the larger of both. With -v it prints the table of docs/POLICY.md, "Usage".
func TestUsageRuleBeatsBoth(t *testing.T) {
	seeds := replaySeeds()
	for _, s := range sites {
		lines := []string{"| " + s.name + " | overloaded worker h | mean min | p95 min | GPU h lost | stops for memory | claim s |", "|" + strings.Repeat(" --- |", 7)}
		type figures struct{ over, mean, p95, lost, stops, claim float64 }
		var all []figures
		for _, c := range usageRules() {
			var f figures
			n := float64(len(seeds))
			for _, seed := range seeds {
				u := newUsageReplay(s, seed, c)
				u.decide = func(now time.Time, st *State) Decision {
					d := Decide(now, st)
					for _, a := range d.Actions {
						if a.Reason.Code == MemoryExceeded {
							f.stops += 1 / n
						}
					}
					return d
				}
				u.play()
				r := u.result()
				f.over += u.overloaded.Hours() / n
				f.mean += r.mean / n
				f.p95 += r.p95 / n
				f.lost += r.lost / n
				f.claim = max(f.claim, r.claim)
			}
			all = append(all, f)
			lines = append(lines, fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f |", c.name, f.over, f.mean, f.p95, f.lost, f.stops, f.claim))
		}
		t.Log("\n" + strings.Join(lines, "\n"))
		if rule := all[2]; rule.over >= all[0].over || rule.mean >= all[1].mean || rule.claim > 60 {
			t.Errorf("%s: got %+v, want less overload than %+v and an earlier end than %+v", s.name, rule, all[0], all[1])
		}
	}
}
