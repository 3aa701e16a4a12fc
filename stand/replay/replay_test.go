package replay

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
)

// smallLoad returns the pattern of loads/fleet.yaml for few workers.
func smallLoad(t *testing.T) *Load {
	t.Helper()
	l, err := ReadLoad("loads/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	l.Fleet.Workers = 24
	for i := range l.Classes {
		l.Classes[i].Rate *= 24.0 / 160
		l.Classes[i].Width.Most = 12
	}
	return l
}

// Two plays of one seed must agree, otherwise the paired difference of two versions means nothing.
func TestDaysRepeat(t *testing.T) {
	l := smallLoad(t)
	a, b := Play(l, 7, 2), Play(l, 7, 2)
	for i := range a {
		if a[i].Worth != b[i].Worth || a[i].Stops != b[i].Stops || a[i].Thrown != b[i].Thrown {
			t.Errorf("seed %d: got %+v, then %+v; want the same", a[i].Seed, a[i], b[i])
		}
	}
	if a[0].Worth == a[1].Worth && a[0].Stops == a[1].Stops {
		t.Error("two seeds gave the same day")
	}
	if a[0].Worth <= 0 || a[0].Worth > 1 {
		t.Errorf("worth of a day: got %v, want a share above 0", a[0].Worth)
	}
}

// The simulated fleet must keep the scheduler's rules, or its figures are worth nothing: no worker beyond its capacity, no
// task on two workers at a time.
func TestSimulatedWorkersKeepTheRules(t *testing.T) {
	d := newDay(smallLoad(t), 3)
	end := d.start.Add(seconds(d.load.Length + d.load.Drain))
	for d.now.Before(end) {
		stopAt := d.now.Add(500 * time.Millisecond)
		length := d.load.Length + d.load.Drain
		d.load.Length, d.load.Drain = stopAt.Sub(d.start).Seconds(), 0
		d.play()
		d.load.Length, d.load.Drain = 34, length-34
		seen := map[batch.TaskID]string{}
		for _, w := range d.workers {
			used := batch.Amount{}
			for id, r := range w.runs {
				used = used.Add(r.job.Steps[0].Allocation())
				if other := seen[id]; other != "" {
					t.Fatalf("at %v task %v runs on %s and %s", d.now.Sub(d.start), id, other, w.ID)
				}
				seen[id] = w.ID
			}
			if !w.Capacity.Contains(used) {
				t.Fatalf("at %v worker %s runs %+v, more than its capacity", d.now.Sub(d.start), w.ID, used)
			}
		}
	}
	done := 0
	for _, j := range d.order {
		if !j.completed.IsZero() {
			done++
		}
	}
	if done < len(d.order)/2 {
		t.Errorf("got %d of %d jobs completed, want at least half", done, len(d.order))
	}
}

// Invalid patterns must be refused with an error that names the field.
func TestInvalidLoads(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"length: 1\ncolour: red", "colour"},
		{"length: 0", "length"},
		{"length: 1\nfleet: {workers: 0}", "fleet"},
		{"length: 1\nteams: 1\nfleet: {workers: 1, rack: 1, cores: 1, memory: 1}", "classes"},
		{"length: 1\nteams: 1\nfleet: {workers: 1, rack: 1, cores: 1, memory: 1, speeds: [1, 0]}", "speeds"},
		{"length: 1\nteams: 2\nfleet: {workers: 1, rack: 1, cores: 1, memory: 1}\nclasses: [{name: a, teams: [2], width: {mean: 1}, work: {mean: 1}, " +
			"gpus: [1], stretch: 1, worth: 1}]", "class a: teams"},
	} {
		if _, err := parseLoad([]byte(tc.text)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: got error %v, want one that names %q", tc.text, err, tc.want)
		}
	}
}

// The burst of a large team delayed the jobs of all small teams, although these ask for a quarter of the capacity. Their callers need
// nearly all jobs in time, as beside no burst; the large team, which has asked for too much, loses no more than a tenth of its worth,
// and all jobs are still served.
func TestSmallTeamsAreServedBesideABurst(t *testing.T) {
	l, err := ReadLoad("loads/teams.yaml")
	if err != nil {
		t.Fatal(err)
	}
	type figures struct{ smallInTime, large, served float64 }
	play := func(order alloc.TeamOrder) figures {
		l.Order = order
		results := Play(l, 1, 4)
		mean := func(value func(*Result) float64) float64 {
			m, _ := meanSpread(results, value)
			return m
		}
		return figures{
			mean(func(r *Result) float64 { return r.Classes[1].TimelyShare }), mean(func(r *Result) float64 { return r.Classes[0].Worth }),
			mean(func(r *Result) float64 { return r.Served }),
		}
	}
	byDeadline, byShare := play(alloc.ByDeadline), play(alloc.ByShare)
	if byDeadline.smallInTime > 0.8 {
		t.Errorf("jobs of small teams in time by deadline: got %.3f, want at most 0.8 for the load to show something", byDeadline.smallInTime)
	}
	if byShare.smallInTime < 0.95 {
		t.Errorf("jobs of small teams in time by share: got %.3f, want at least 0.95", byShare.smallInTime)
	}
	if byShare.large < byDeadline.large-0.1 {
		t.Errorf("worth of the large team by share: got %.3f, want at most 0.1 below that by deadline, %.3f", byShare.large, byDeadline.large)
	}
	if byShare.served < 0.99 {
		t.Errorf("jobs served by share: got %.3f, want at least 0.99", byShare.served)
	}
}

// The interval of a paired difference must be that of the differences, not of the days.
func TestComparePairsDays(t *testing.T) {
	var a, b []Result
	for seed := range int64(5) {
		worth := float64(seed) / 10
		a = append(a, Result{Seed: seed, Worth: worth + 0.01})
		b = append([]Result{{Seed: seed, Worth: worth}}, b...)
	}
	var out bytes.Buffer
	if err := compare(&out, a, b); err != nil {
		t.Fatal(err)
	}
	if got, want := strings.SplitN(out.String(), "\n", 2)[0], "worth    +0.0100 ±0.0000"; got != want {
		t.Errorf("difference: got %q, want %q", got, want)
	}
	if err := compare(&out, a, b[1:]); err == nil {
		t.Error("a seed without a counterpart was accepted")
	}
	if mean, half := meanSpread(a, func(r *Result) float64 { return r.Worth }); math.Abs(mean-0.21) > 1e-9 || half <= 0 {
		t.Errorf("mean of the days: got %v ±%v, want 0.21 with an interval", mean, half)
	}
}
