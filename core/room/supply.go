package room

import (
	"math"
	"sort"
	"time"

	"wagtailhoist/core/batch"
)

// resources is the number of resources of an amount.
const resources = 3

// vector returns the amounts of each resource.
func vector(a batch.Amount) [resources]float64 {
	return [resources]float64{float64(a.CPU), float64(a.Memory), float64(a.GPU)}
}

// supply is the capacity that becomes available to waiting work in the course of time, summed over all workers of a service. It grows
// in steps.
type supply struct {
	// at is when each step begins, in seconds; the first one begins at 0.
	at []float64
	// amount is what is available during a step, until the sum of all that was available before its beginning.
	amount, until [][resources]float64
}

// newSupply returns the capacity of a service that its present runs leave. With urgent set, those that work of priority 0 may stop
// leave theirs at once.
func newSupply(s *Service, urgent bool) *supply {
	free := vector(s.Capacity)
	freed := map[int64]*[resources]float64{}
	release := func(after time.Duration, amount batch.Amount) {
		key := roundDown(after)
		sum := freed[key]
		if sum == nil {
			sum = &[resources]float64{}
			freed[key] = sum
		}
		for r, n := range vector(amount) {
			sum[r] += n
		}
	}
	for _, back := range s.Returns {
		release(back.After, back.Capacity)
	}
	for i := range s.Runs {
		run := &s.Runs[i]
		if run.Remaining <= 0 || urgent && run.Priority > 0 {
			continue
		}
		for r, n := range vector(run.Need) {
			free[r] -= n
		}
		release(run.Remaining, run.Need)
	}
	keys := make([]int64, 0, len(freed))
	for key := range freed {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	u := &supply{at: []float64{0}, amount: [][resources]float64{free}, until: [][resources]float64{{}}}
	for _, key := range keys {
		at, last := float64(key)/1000, len(u.at)-1
		amount, until := u.amount[last], u.until[last]
		for r := range amount {
			until[r] += max(0, amount[r]) * (at - u.at[last])
			amount[r] += freed[key][r]
		}
		u.at, u.amount, u.until = append(u.at, at), append(u.amount, amount), append(u.until, until)
	}
	return u
}

// roundDown returns a time in milliseconds, rounded down by at most a 64th, so that the number of steps stays small.
func roundDown(after time.Duration) int64 {
	ms := max(0, after.Milliseconds())
	unit := int64(1)
	for ms/unit >= 128 {
		unit *= 2
	}
	return ms / unit * unit
}

// drained returns when a volume of work has run if nothing else does, in seconds.
func (u *supply) drained(volume *[resources]float64) float64 {
	latest := 0.0
	for r, v := range volume {
		if v <= 0 {
			continue
		}
		i := sort.Search(len(u.at), func(i int) bool { return u.until[i][r] >= v }) - 1
		i = max(i, 0)
		if u.amount[i][r] <= 0 {
			if i+1 == len(u.at) {
				return math.Inf(1)
			}
			latest = max(latest, u.at[i+1])
			continue
		}
		latest = max(latest, u.at[i]+(v-u.until[i][r])/u.amount[i][r])
	}
	return latest
}

// demand is work that has to start before a task does.
type demand struct {
	// volume is the sum of need times run time. needs holds the sum of the needs of tasks by the class of their run time, and longest
	// the longest run time of a class.
	volume  [resources]float64
	needs   [runClasses][resources]float64
	longest [runClasses]float64
	// top is one more than the highest class with work.
	top int
}

// runClasses is the number of classes of run times: four for each doubling, from 16 ms to 12 days. Others are in the nearest class.
const runClasses = 100

// runClass returns the class of a run time in seconds.
func runClass(seconds float64) int {
	fraction, exponent := math.Frexp(seconds)
	return min(max(0, 4*(exponent+5)+int((fraction-0.5)*8)), runClasses-1)
}

// add adds waiting work.
func (d *demand) add(w *Work) {
	run, count := w.RunTime.Seconds(), float64(w.Count)
	class := runClass(run)
	for r, n := range vector(w.Need) {
		d.volume[r] += n * run * count
		d.needs[class][r] += n * count
	}
	d.longest[class] = max(d.longest[class], run)
	d.top = max(d.top, class+1)
}

// unfinished returns the largest volume of work that tasks that use at most amount of a resource at one time may have left.
func (d *demand) unfinished(r int, amount float64) float64 {
	volume := 0.0
	for class := d.top - 1; class >= 0 && amount > 0; class-- {
		taken := min(amount, d.needs[class][r])
		volume += taken * d.longest[class]
		amount -= taken
	}
	return volume
}

// earliest returns the earliest time, in seconds, at which all work of d may have started and a task of a need fits besides. All but
// what may then be running must have run before.
func (u *supply) earliest(d *demand, need batch.Amount) float64 {
	latest := 0.0
	for r, n := range vector(need) {
		if n <= 0 {
			continue
		}
		// left returns what has to run before the time of a step.
		left := func(i int) float64 { return d.volume[r] - d.unfinished(r, u.amount[i][r]-n) }
		possible := func(i int) bool {
			return u.amount[i][r] >= n && (i+1 == len(u.at) || left(i) <= u.until[i+1][r])
		}
		i := sort.Search(len(u.at), possible)
		if i == len(u.at) {
			// It would fit only after workers have returned of which nothing is known.
			return 0
		}
		latest = max(latest, u.at[i]+max(0, left(i)-u.until[i][r])/u.amount[i][r])
	}
	return latest
}
