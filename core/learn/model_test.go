package learn

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// regression is how run times were learned before: by a regression of the logarithm of the run time on that of the estimate,
// for each queue. It is what a model has to be better than.
type regression struct{ n, sumX, sumY, sumXX, sumXY float64 }

func (r *regression) add(estimate, actual time.Duration) {
	if r.n >= maxSamples {
		keep := (maxSamples - 1.0) / maxSamples
		r.n, r.sumX, r.sumY, r.sumXX, r.sumXY = r.n*keep, r.sumX*keep, r.sumY*keep, r.sumXX*keep, r.sumXY*keep
	}
	x, y := logTime(estimate), logTime(actual)
	y = max(x-math.Log(maxError), min(x+math.Log(maxError), y))
	r.n++
	r.sumX += x
	r.sumY += y
	r.sumXX += x * x
	r.sumXY += x * y
}

func (r *regression) predict(estimate time.Duration) time.Duration {
	if r.n == 0 {
		return estimate
	}
	x := logTime(estimate)
	meanX, meanY := r.sumX/r.n, r.sumY/r.n
	slope := (r.sumXY - r.n*meanX*meanY + priorSlope) / (r.sumXX - r.n*meanX*meanX + priorSlope)
	y := (r.n*(meanY+slope*(x-meanX)) + priorSamples*x) / (r.n + priorSamples)
	return time.Duration(math.Exp(y) * float64(time.Second))
}

// generated is a task of a generated queue.
type generated struct {
	Key
	estimate, actual time.Duration
}

// generator draws tasks of a queue of several teams.
type generator struct {
	rng *rand.Rand
	// teams is the number of teams; lying is the number of those whose estimates are wrong by lie.
	teams, lying int
	// bias and spread are the mean and the standard deviation of the logarithm of run time by estimate; lie is the bias of the
	// teams that lie.
	bias, spread, lie float64
	// wild is the standard deviation of the logarithms of the lying teams' estimates beside that.
	wild float64
	// long is the share of tasks that run seven times as long, in the first team only.
	long float64
	// speeds are those of the kinds of workers.
	speeds []float64
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (g *generator) task() generated {
	team := g.rng.Intn(g.teams)
	usual := 4 * math.Exp(0.5*g.rng.NormFloat64())
	actual := usual * math.Exp(g.spread*g.rng.NormFloat64())
	bias := g.bias
	if team < g.lying {
		bias = g.lie + g.wild*g.rng.NormFloat64()
	}
	if team == 0 && g.rng.Float64() < g.long {
		actual *= 7
	}
	k := Key{Queue: "q", Team: fmt.Sprint("team-", team), Image: "image"}
	if len(g.speeds) > 0 {
		kind := g.rng.Intn(len(g.speeds))
		k.Kind = fmt.Sprint("kind-", kind)
		actual /= g.speeds[kind]
	}
	return generated{k, seconds(usual * math.Exp(-bias)), seconds(actual)}
}

func sampleOf(task generated) Sample {
	return Sample{Estimate: task.estimate, RunTime: task.actual, Weight: 1}
}

// errorOf returns by how much a prediction is off, as a logarithm without its sign.
func errorOf(predicted, actual time.Duration) float64 {
	return math.Abs(math.Log(predicted.Seconds() / actual.Seconds()))
}

// Order, objectives, reservations and preemption depend on expected run times. They must be at least as close as those of the
// regression of each queue, and closer where teams or kinds of workers differ, which a regression for the queue can't tell
// apart.
func TestExpectationsAreCloserThanTheRegression(t *testing.T) {
	for _, tc := range []struct {
		name string
		generator
		// most is the bound of the mean error, as a share of that of the regression.
		most float64
		// honest restricts the tasks that count to the teams that don't lie.
		honest bool
	}{
		{"factor common to the queue", generator{teams: 5, bias: 1.5, spread: 0.3}, 1.05, false},
		{"estimates without relation", generator{teams: 5, lying: 5, lie: -0.5, wild: 0.9, spread: 0.1}, 1.05, false},
		{"three in a hundred seven times as long", generator{teams: 3, bias: 0.5, spread: 0.2, long: 0.03}, 1.05, false},
		{"one team's estimates five times too high", generator{teams: 5, lying: 1, lie: -1.6, spread: 0.2}, 0.6, false},
		{"the others beside it", generator{teams: 5, lying: 1, lie: -1.6, spread: 0.2}, 0.8, true},
		{"the others beside wild estimates", generator{teams: 5, lying: 1, wild: 1.5, spread: 0.2}, 0.9, true},
		{"two kinds of workers", generator{teams: 3, spread: 0.1, speeds: []float64{1, 1.3}}, 0.85, false},
	} {
		var got, was float64
		tasks := 0
		for seed := range int64(20) {
			g := tc.generator
			g.rng = rand.New(rand.NewSource(seed))
			var m Model
			var r regression
			for i := range 200 {
				task := g.task()
				var team int
				fmt.Sscanf(task.Team, "team-%d", &team)
				if i >= 40 && (!tc.honest || team >= g.lying) {
					p := m.Predict(task.Key, task.estimate)
					got += errorOf(p.Expected(), task.actual)
					was += errorOf(r.predict(task.estimate), task.actual)
					tasks++
				}
				m.Record(task.Key, sampleOf(task))
				r.add(task.estimate, task.actual)
			}
		}
		got /= float64(tasks)
		was /= float64(tasks)
		t.Logf("%-42s regression %.3f, model %.3f", tc.name, was, got)
		if got > tc.most*was {
			t.Errorf("%s: mean error: got %.3f, want at most %.2f of the %.3f of the regression", tc.name, got, tc.most, was)
		}
	}
}

// Estimates of one team that are false in any way must not change much what is expected of others, not even of those of which
// nothing is known yet.
func TestFalseEstimatesHardlyChangeOthers(t *testing.T) {
	for _, lie := range []float64{-2.5, 2.5} {
		var with, without Model
		honest := generator{rng: rand.New(rand.NewSource(1)), teams: 4, spread: 0.2}
		for i := range 120 {
			task := honest.task()
			with.Record(task.Key, sampleOf(task))
			without.Record(task.Key, sampleOf(task))
			if i%2 == 0 {
				false1 := task
				false1.Team = "liar"
				false1.estimate = seconds(task.actual.Seconds() * math.Exp(lie))
				with.Record(false1.Key, sampleOf(false1))
			}
		}
		for _, team := range []string{"team-1", "new"} {
			a := with.Predict(Key{Queue: "q", Team: team}, 4*time.Second)
			b := without.Predict(Key{Queue: "q", Team: team}, 4*time.Second)
			if off := errorOf(a.Expected(), b.Expected()); off > 0.15 {
				t.Errorf("estimates of another team off by exp(%v): got %v for %s, without them %v; want them within 15 %%",
					lie, a.Expected(), team, b.Expected())
			}
		}
	}
}

// Where nothing is known, the caller's estimate counts, and a run beyond it goes on for a quarter of its time: the decisions
// are those from before there was a model.
func TestWithoutSamplesTheEstimateCounts(t *testing.T) {
	var m Model
	m.Record(Key{Queue: "other"}, Sample{Estimate: time.Second, RunTime: 9 * time.Second, Weight: 1})
	p := m.Predict(Key{Queue: "q", Team: "a", Kind: "k"}, 2*time.Second)
	if got, want := p.Expected(), 2*time.Second; got != want {
		t.Errorf("expected run time: got %v, want %v", got, want)
	}
	if got, want := p.Quantile(0.9), 2*time.Second; got != want {
		t.Errorf("run time that nine in ten don't exceed: got %v, want %v", got, want)
	}
	for _, tc := range []struct{ elapsed, want time.Duration }{{time.Second, time.Second}, {8 * time.Second, 2 * time.Second}} {
		if got := p.Remaining(tc.elapsed, 0.9); got != tc.want {
			t.Errorf("remaining time after %v: got %v, want %v", tc.elapsed, got, tc.want)
		}
	}
}

// One customer's tasks run seven times as long in three of a hundred cases. A task that has outlived what is usual must be
// expected to be one of them, and a task that has just begun must not.
func TestRemainingTimeOfLongTasks(t *testing.T) {
	var m Model
	g := generator{rng: rand.New(rand.NewSource(3)), teams: 1, spread: 0.1, long: 0.03}
	for range 400 {
		task := g.task()
		m.Record(task.Key, sampleOf(task))
	}
	k := Key{Queue: "q", Team: "team-0", Image: "image"}
	for _, tc := range []struct{ elapsed, low, high float64 }{{0, 3.4, 4.6}, {3, 0.5, 1.6}, {6, 14, 30}, {20, 4, 14}} {
		if got := m.Remaining(k, 4*time.Second, seconds(tc.elapsed), 0.5).Seconds(); got < tc.low || got > tc.high {
			t.Errorf("remaining time after %v s of an estimate of 4 s: got %.2f s, want %v to %v s", tc.elapsed, got, tc.low, tc.high)
		}
	}
	p := m.Predict(k, 4*time.Second)
	if got := p.Quantile(0.9).Seconds(); got < 4 || got > 6 {
		t.Errorf("run time that nine in ten don't exceed: got %.2f s, want 4 to 6 s", got)
	}
	if got := p.Quantile(0.99).Seconds(); got < 15 {
		t.Errorf("run time that ninety-nine in a hundred don't exceed: got %.2f s, want at least 15 s", got)
	}
}

// Quantiles must be what they say, or waiting for an end with a high probability is a gamble.
func TestQuantilesHold(t *testing.T) {
	for _, g := range []generator{
		{teams: 5, bias: 1, spread: 0.3}, {teams: 5, lying: 5, lie: -0.5, wild: 0.9, spread: 0.1}, {teams: 1, spread: 0.1, long: 0.03},
	} {
		below := map[float64]float64{0.1: 0, 0.5: 0, 0.9: 0}
		remaining := 0.0
		n, alive := 0.0, 0.0
		for seed := range int64(20) {
			g.rng = rand.New(rand.NewSource(seed))
			var m Model
			for i := range 200 {
				task := g.task()
				if i >= 60 {
					n++
					p := m.Predict(task.Key, task.estimate)
					for share := range below {
						if task.actual <= p.Quantile(share) {
							below[share]++
						}
					}
					if elapsed := p.Expected(); task.actual > elapsed {
						alive++
						if task.actual <= elapsed+p.Remaining(elapsed, 0.9) {
							remaining++
						}
					}
				}
				m.Record(task.Key, sampleOf(task))
			}
		}
		for share, count := range below {
			if got := count / n; math.Abs(got-share) > 0.08 {
				t.Errorf("%+v: got %.3f of the run times within the quantile, want %v", g, got, share)
			}
		}
		if got := remaining / alive; got < 0.8 || got > 0.98 {
			t.Errorf("%+v: got %.3f of the late runs within the remaining time, want about 0.9", g, got)
		}
	}
}

// Runs that are stopped are mostly long ones. Leaving them out makes run times look shorter than they are; counting them as if
// they had ended does so even more.
func TestStoppedRunsCount(t *testing.T) {
	var with, ignoring, ended Model
	rng := rand.New(rand.NewSource(5))
	k := Key{Queue: "q", Team: "a"}
	for range 400 {
		actual := 4 * math.Exp(0.5*rng.NormFloat64())
		s := Sample{Estimate: 4 * time.Second, RunTime: seconds(min(actual, 4.5)), Censored: actual > 4.5, Weight: 1}
		with.Record(k, s)
		if !s.Censored {
			ignoring.Record(k, s)
		}
		s.Censored = false
		ended.Record(k, s)
	}
	expected := func(m *Model) time.Duration { p := m.Predict(k, 4*time.Second); return p.Expected() }
	if got := errorOf(expected(&with), 4*time.Second); got > 0.15 || got >= errorOf(expected(&ignoring), 4*time.Second) ||
		got >= errorOf(expected(&ended), 4*time.Second) {
		t.Errorf("got %v with stopped runs, %v without, %v as if they had ended; want about 4 s with them, and nearer than the others",
			expected(&with), expected(&ignoring), expected(&ended))
	}
}

// A run that fails as soon as it has begun says nothing about how long the task runs.
func TestEarlyFailuresSayNothing(t *testing.T) {
	var m Model
	k := Key{Queue: "q", Team: "a"}
	for range 20 {
		m.Record(k, Sample{Estimate: 4 * time.Second, RunTime: 4 * time.Second, Weight: 1})
	}
	before := m.Predict(k, 4*time.Second)
	want := before.Expected()
	for range 1000 {
		m.Record(k, Sample{Estimate: 4 * time.Second, RunTime: 100 * time.Millisecond, Censored: true, Weight: 1})
	}
	after := m.Predict(k, 4*time.Second)
	if got := after.Expected(); got != want {
		t.Errorf("expected run time after early failures: got %v, want %v", got, want)
	}
}

// The memory of a model must not depend on what callers send.
func TestModelIsBounded(t *testing.T) {
	var m Model
	for i := range 5000 {
		k := Key{
			Queue: fmt.Sprint("q", i%70), Team: fmt.Sprint("t", i), Image: fmt.Sprint("i", i%1700), Kind: fmt.Sprint("k", i%13),
		}
		m.Record(k, Sample{Estimate: time.Second, RunTime: 2 * time.Second, Weight: 1})
	}
	teams, images := 0, 0
	for _, q := range m.queues {
		teams += len(q.teams)
		for _, team := range q.teams {
			images += len(team.images)
		}
		if len(q.kinds) > maxKinds {
			t.Errorf("got %d kinds of workers, want at most %d", len(q.kinds), maxKinds)
		}
	}
	if len(m.queues) > maxQueues || teams > maxTeams || images > maxImages+maxTeams || teams != m.teams || images != m.images {
		t.Errorf("got %d queues, %d teams (counted %d), %d images (counted %d), want at most %d, %d and %d",
			len(m.queues), teams, m.teams, images, m.images, maxQueues, maxTeams, maxImages+maxTeams)
	}
}

// Predictions are made for each step and run of a plan, and must not make it slower.
func TestPredictionsDoNotAllocate(t *testing.T) {
	m := benchModel()
	k := Key{Queue: "q", Team: "team-1", Image: "image", Kind: "kind-1"}
	var sum time.Duration
	got := testing.AllocsPerRun(100, func() {
		p := m.Predict(k, 4*time.Second)
		sum += p.Expected() + p.Quantile(0.9) + p.Remaining(time.Second, 0.9) + m.Remaining(k, time.Second, time.Second, 0.5)
	})
	if got != 0 || sum == 0 {
		t.Errorf("allocations of a prediction: got %v, want 0", got)
	}
}

func benchModel() *Model {
	var m Model
	g := generator{rng: rand.New(rand.NewSource(1)), teams: 24, spread: 0.3, speeds: []float64{1, 1.3}}
	for range 1000 {
		task := g.task()
		m.Record(task.Key, sampleOf(task))
	}
	return &m
}

func BenchmarkExpected(b *testing.B) {
	m := benchModel()
	k := Key{Queue: "q", Team: "team-1", Image: "image", Kind: "kind-1"}
	b.ReportAllocs()
	for b.Loop() {
		p := m.Predict(k, 4*time.Second)
		p.Expected()
	}
}

func BenchmarkRemaining(b *testing.B) {
	m := benchModel()
	k := Key{Queue: "q", Team: "team-1", Image: "image", Kind: "kind-1"}
	b.ReportAllocs()
	for b.Loop() {
		m.Remaining(k, 4*time.Second, 3*time.Second, 0.9)
	}
}

func BenchmarkRecord(b *testing.B) {
	m := benchModel()
	k := Key{Queue: "q", Team: "team-1", Image: "image", Kind: "kind-1"}
	for b.Loop() {
		m.Record(k, Sample{Estimate: 4 * time.Second, RunTime: 4 * time.Second, Weight: 1})
	}
}

// Guards against expected run times that aren't numbers, with which the decisions of each owner in turn panicked: rounding made the
// sum of squares of a team whose estimates are all the same negative, and that sum became the limit of the teams of its queue.
func TestEqualEstimatesOfThreeTeams(t *testing.T) {
	for first := 50 * time.Millisecond; first < 10*time.Second; first += 50 * time.Millisecond {
		for _, weight := range []float64{1, 1.0 / 3, 1.0 / 7, 1.0 / 8, 1.0 / 9} {
			var m Model
			for i := range 30 {
				estimate := []time.Duration{1500 * time.Millisecond, first, 4 * time.Second}[i%3]
				k := Key{Queue: "q", Team: fmt.Sprint("team-", i%3), Image: "image", Kind: "kind"}
				m.Record(k, Sample{Estimate: estimate, RunTime: estimate / 2, Weight: weight})
				p := m.Predict(k, estimate)
				if got := p.Expected(); got < estimate/4 || got > 2*estimate {
					t.Fatalf("estimate %v, weight %.3f, run %d: expected run time: got %v, want about %v", first, weight, i, got, estimate/2)
				}
				for _, team := range m.queues["q"].order {
					if team.sumXX < 0 {
						t.Fatalf("estimate %v, weight %.3f, run %d: sum of squares: got %v, want at least 0", first, weight, i, team.sumXX)
					}
				}
			}
			if data, err := m.Encode(); err != nil {
				t.Error(err)
			} else if _, err := Decode(data); err != nil {
				t.Errorf("estimate %v, weight %.3f: the stored form isn't accepted by the next owner: %v", first, weight, err)
			}
		}
	}
}
