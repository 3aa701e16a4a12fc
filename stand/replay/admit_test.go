package replay

import (
	"sync"
	"testing"
	"time"
)

// overload plays days of the load beyond capacity and returns them with their results.
func overload(t *testing.T, refuse bool, days int) ([]*day, []Result) {
	t.Helper()
	load, err := ReadLoad("loads/overload.yaml")
	if err != nil {
		t.Fatal(err)
	}
	load.RefuseLate = refuse
	played, results := make([]*day, days), make([]Result, days)
	var wait sync.WaitGroup
	for i := range days {
		wait.Go(func() {
			seed := int64(1 + i)
			d := newDay(load, seed)
			d.play()
			played[i], results[i] = d, d.result(seed)
		})
	}
	wait.Wait()
	return played, results
}

// turns returns how often the entry changed between refusing and admitting most of a class's jobs, from one interval to the next.
func (d *day) turns(class string, interval time.Duration) int {
	refused := map[int]int{}
	last := 0
	for _, decided := range d.decisions {
		if decided.class.Name != class {
			continue
		}
		i := int(decided.at.Sub(d.start) / interval)
		last = max(last, i)
		if decided.refused {
			refused[i]++
		} else {
			refused[i]--
		}
	}
	turns, state := 0, -1
	for i := range last + 1 {
		if now := refused[i]; now != 0 && (now > 0) != (state > 0) {
			state = now
			turns++
		}
	}
	return turns
}

// While a queue needs twice what there is, every second job that is accepted comes too late to be of use, and its caller learns that only
// then. A caller needs to be told at once, and to be able to rely on an acceptance: at most one accepted job in four may be useless.
// Admission must not turn between refusing and admitting while capacity is short: one turn at its beginning, one at its end, and one
// interruption. The work that is done must earn as much as without refusals.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	const days = 2
	played, results := overload(t, true, days)
	_, before := overload(t, false, days)
	useless, refused, worth, uselessBefore, worthBefore := 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range results {
		useless += results[i].Useless / days
		refused += results[i].Refused / days
		worth += results[i].Worth / days
		uselessBefore += before[i].Useless / days
		worthBefore += before[i].Worth / days
		turns := played[i].turns("small", 5*time.Second)
		t.Logf("day %d: admission has turned %d times", i, turns)
		if turns < 2 || turns > 4 {
			t.Errorf("day %d: admission has turned %d times, want 2 to 4", i, turns)
		}
		checkRefused(t, played[i])
	}
	t.Logf("useless %.3f (without refusals %.3f), refused %.3f, worth %.3f (%.3f)", useless, uselessBefore, refused, worth, worthBefore)
	if useless > 0.25 {
		t.Errorf("got %.3f of the accepted jobs useless, want at most 0.25", useless)
	}
	if refused == 0 || worth < worthBefore-0.01 {
		t.Errorf("got worth %.3f with %.3f refused, want at least %.3f less 0.01", worth, refused, worthBefore)
	}
}

// checkRefused checks that no job ran that was refused until its caller gave up, and that urgent work of teams with a guarantee was
// always accepted.
func checkRefused(t *testing.T, d *day) {
	t.Helper()
	refused := 0
	for _, j := range d.order {
		if !j.cancelled && j.acceptedAt.IsZero() {
			refused++
			if len(j.ran) > 0 || !j.completed.IsZero() {
				t.Errorf("job %s was refused and has run", j.ID)
			}
		}
		if j.class.Name == "urgent" && j.refusals > 0 {
			t.Errorf("job %s of a team with a guarantee was refused", j.ID)
		}
	}
	if refused == 0 {
		t.Error("no job was refused")
	}
}

// Where there is room for all, refusals change nothing.
func TestNothingIsRefusedWithinCapacity(t *testing.T) {
	load, err := ReadLoad("loads/overload.yaml")
	if err != nil {
		t.Fatal(err)
	}
	load.Events, load.Length, load.Drain = nil, 60, 20
	load.RefuseLate = true
	d := newDay(load, 1)
	d.play()
	for _, decided := range d.decisions {
		if decided.refused {
			t.Errorf("a job of class %s was refused after %v", decided.class.Name, decided.at.Sub(d.start))
		}
	}
}
