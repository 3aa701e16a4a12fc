package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailhoist/core/model"
)

// site describes the job stream of one deployment.
type site struct {
	name    string
	compact float64
	hours   int
	// load is the demand relative to the capacity.
	load  float64
	teams []model.TeamSpec
	mix   []class
}

// class is a kind of job in a stream.
type class struct {
	name   string
	share  float64
	shape  model.Shape
	median time.Duration
	// checkpoint is the share of the jobs that can be checkpointed.
	checkpoint float64
	// claim names the guarantee that the jobs claim.
	claim  string
	urgent bool
}

func rackGuarantee(tasks int) []model.Guarantee {
	return []model.Guarantee{{Name: "base", Grace: time.Minute, Shape: model.Shape{Tasks: tasks, GPUs: 8, Adjacent: model.SameRack}}}
}

var sites = []site{
	{
		name: "brennholz", compact: 0, hours: 48, load: 0.85,
		teams: []model.TeamSpec{
			{Name: "routes", Weight: 4, Guarantees: rackGuarantee(3)},
			{Name: "orders", Weight: 2, Guarantees: rackGuarantee(2)},
			{Name: "prices", Weight: 1, Quota: 48},
			{Name: "study", Weight: 1, Quota: 64},
		},
		mix: []class{
			{name: "small", share: 0.48, shape: model.Shape{Tasks: 1, GPUs: 1}, median: 20 * time.Minute, checkpoint: 0.5},
			{name: "medium", share: 0.25, shape: model.Shape{Tasks: 1, GPUs: 4}, median: time.Hour, checkpoint: 0.6},
			{name: "spread", share: 0.08, shape: model.Shape{Tasks: 8, GPUs: 2}, median: time.Hour, checkpoint: 0.7},
			{name: "large", share: 0.08, shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack}, median: 90 * time.Minute, checkpoint: 0.8},
			{name: "claim", share: 0.05, claim: "base", median: time.Hour},
			{name: "urgent", share: 0.06, shape: model.Shape{Tasks: 1, GPUs: 2}, median: 5 * time.Minute, urgent: true},
		},
	},
	{
		name: "cycling", compact: 1, hours: 48, load: 0.75,
		teams: []model.TeamSpec{
			{Name: "rebuild", Weight: 4, Guarantees: rackGuarantee(3)},
			{Name: "booking", Weight: 2, Guarantees: rackGuarantee(1)},
			{Name: "clubs", Weight: 1, Quota: 48},
			{Name: "public", Weight: 1, Quota: 64},
		},
		mix: []class{
			{name: "small", share: 0.6, shape: model.Shape{Tasks: 1, GPUs: 1}, median: 30 * time.Minute, checkpoint: 0.4},
			{name: "medium", share: 0.22, shape: model.Shape{Tasks: 1, GPUs: 3}, median: time.Hour, checkpoint: 0.5},
			{name: "pair", share: 0.08, shape: model.Shape{Tasks: 2, GPUs: 8, Adjacent: model.SameRack}, median: time.Hour, checkpoint: 0.7},
			{name: "large", share: 0.04, shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack}, median: 3 * time.Hour, checkpoint: 0.8},
			{name: "claim", share: 0.03, claim: "base", median: 2 * time.Hour},
			{name: "urgent", share: 0.03, shape: model.Shape{Tasks: 1, GPUs: 1}, median: 5 * time.Minute, urgent: true},
		},
	},
}

// arrival is a job of a stream, with properties that the scheduler doesn't know.
type arrival struct {
	at   time.Duration
	spec model.JobSpec
	kind string
	// run is the true run time.
	run time.Duration
	// failsAfter is the fraction of the first run after which the job fails; 0 if it doesn't fail.
	failsAfter float64
	// alwaysFails jobs fail in every run.
	alwaysFails bool
	// cancelled is the time at which the job is cancelled; 0 if it isn't.
	cancelled time.Duration
}

// stream generates the jobs of a site for a seed.
func (s site) stream(seed uint64, workers int) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	horizon := time.Duration(s.hours) * time.Hour
	budget := s.load * float64(workers*8) * horizon.Seconds()
	nextClaim := map[model.Team]time.Duration{}
	var out []arrival
	var burst time.Duration
	for n := 0; budget > 0; n++ {
		at := time.Duration(r.Float64() * float64(horizon))
		// A third of the jobs arrives in bursts of twelve.
		if n%36 == 0 {
			burst = at
		}
		if n%36 < 12 {
			at = burst + time.Duration(r.Float64()*float64(3*time.Minute))
		}
		a := s.job(r, n, at)
		if a.spec.Guarantee != "" {
			// A team claims its guarantee for one job at a time.
			a.at = max(nextClaim[a.spec.Team], time.Duration(float64(n)/1200*float64(horizon)))
			nextClaim[a.spec.Team] = a.at + 2*a.run
			if a.at > horizon {
				a.at = at
				a.spec.Guarantee = ""
				a.kind = "large"
			}
		}
		budget -= a.run.Seconds() * float64(a.spec.Shape.Size())
		out = append(out, a)
	}
	// Three waves cancel a tenth of the jobs that arrived in the two hours before.
	for wave := 1; wave <= 3; wave++ {
		when := horizon * time.Duration(wave) / 4
		for i := range out {
			if d := when - out[i].at; d > 0 && d < 2*time.Hour && r.IntN(10) == 0 {
				out[i].cancelled = when
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

func (s site) job(r *rand.Rand, n int, at time.Duration) arrival {
	x, k := r.Float64(), 0
	for ; k < len(s.mix)-1 && x > s.mix[k].share; k++ {
		x -= s.mix[k].share
	}
	c := s.mix[k]
	team := s.teams[r.IntN(len(s.teams))]
	shape := c.shape
	if c.claim != "" {
		team = s.teams[r.IntN(2)]
		shape = team.Guarantees[0].Shape
	}
	run := time.Duration(float64(c.median) * math.Exp(r.NormFloat64()*0.7))
	run = min(max(run, 30*time.Second), 8*c.median)
	grace := time.Duration(r.IntN(8)) * time.Second
	switch r.IntN(10) {
	case 0:
		grace = 10 * time.Minute
	case 1, 2:
		grace = 30 * time.Second
	}
	a := arrival{at: at, kind: c.name, run: run}
	a.spec = model.JobSpec{
		ID: model.JobID(fmt.Sprintf("%s-%04d", c.name, n)), Team: team.Name, Class: c.name, Shape: shape, Guarantee: c.claim,
		// Declared times are wrong by a factor of up to ten either way.
		Estimate:   time.Duration(float64(run) * math.Pow(10, 2*r.Float64()-1)),
		Checkpoint: r.Float64() < c.checkpoint, Grace: grace, Urgent: c.urgent,
	}
	if r.IntN(25) == 0 {
		a.failsAfter = r.Float64()
	}
	a.alwaysFails = r.IntN(150) == 0 && !c.urgent
	return a
}
