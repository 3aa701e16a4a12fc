package replay

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// lateFactor is the multiple of the objective up to which a job earns its late worth.
	lateFactor = 3
	// windowLength is the length of a window, worstWindows the number of windows that count as the worst.
	windowLength = 2 * time.Second
	worstWindows = 2
	// The weights of the parts of a day's worth.
	dayWeight, windowWeight, classWeight = 0.6, 0.25, 0.15
	// claimBound is how long after its acceptance all tasks of a guaranteed job must have begun.
	claimBound = 2700 * time.Millisecond
)

// ClassResult is what the jobs of a class earned.
type ClassResult struct {
	Name                 string  `json:"name"`
	Jobs, InTime, Late   int     `json:"-"`
	Owed, Earned, Median float64 `json:"-"`
	Worth                float64 `json:"worth"`
	// TimelyShare is the share of its jobs that completed within their objective.
	TimelyShare float64 `json:"timelyShare"`
}

// Result is what a day earned.
type Result struct {
	Seed int64 `json:"seed"`
	// Worth is the weighted share of the worth that the day's jobs could earn.
	Worth   float64       `json:"worth"`
	Whole   float64       `json:"whole"`
	Windows float64       `json:"windows"`
	Classes []ClassResult `json:"classes"`
	// Thrown is the work that was lost as a share of the work of all jobs.
	Thrown  float64 `json:"thrown"`
	Stops   int     `json:"stops"`
	Commits int     `json:"commits"`
	// InTime, Late and Served are the shares of jobs that completed within their objective, after it but within three times the
	// objective, and at all. Begun is the share of the jobs of priority 0 all tasks of which had begun within claimBound.
	InTime float64 `json:"inTime"`
	Late   float64 `json:"late"`
	Served float64 `json:"served"`
	Begun  float64 `json:"begun"`
	// Refused is the share of jobs that were refused until their callers gave up, Useless that of accepted jobs which completed, from then,
	// too late to be of use, or never.
	Refused float64 `json:"refused"`
	Useless float64 `json:"useless"`
	// Plans is the time that plans took, in seconds.
	Plans float64 `json:"plans"`
}

// value returns what the job is worth in time, and what it earned.
func (j *submitted) value(meanWork float64) (owed, earned float64) {
	size := min(4, 0.3+0.7*j.cost()/meanWork)
	owed = j.class.Worth * size
	if j.completed.IsZero() {
		return owed, 0
	}
	objective := j.objective()
	switch taken := j.completed.Sub(j.at); {
	case taken <= objective:
		return owed, owed
	case taken <= lateFactor*objective:
		return owed, j.class.Late * size
	}
	return owed, 0
}

// objective returns the objective by the job's real run time.
func (j *submitted) objective() time.Duration {
	return seconds(j.class.Stretch*j.work.Seconds() + j.class.Target)
}

// cost returns the job's work in core seconds.
func (j *submitted) cost() float64 {
	s := &j.Steps[0]
	return float64(s.Count) * j.work.Seconds() * s.Need.Cores()
}

// result sums up a day that was played.
func (d *day) result(seed int64) Result {
	r := Result{Seed: seed, Stops: d.stops, Commits: d.commits, Plans: d.planTime.Seconds()}
	var owed, earned, work float64
	windows := make([]share, int(math.Ceil(d.load.Length/windowLength.Seconds())))
	for i := range d.load.Classes {
		c := &d.load.Classes[i]
		result := ClassResult{Name: c.Name}
		var mean float64
		var members []*submitted
		for _, j := range d.order {
			if j.class == c {
				members = append(members, j)
				mean += j.cost()
			}
		}
		work += mean
		mean /= max(1, float64(len(members)))
		var times []float64
		for _, j := range members {
			if j.cancelled {
				continue
			}
			o, e := j.value(mean)
			result.Jobs++
			result.Owed += o
			result.Earned += e
			w := &windows[min(len(windows)-1, int(j.at.Sub(d.start)/windowLength))]
			w.owed += o
			w.earned += e
			if !j.completed.IsZero() {
				times = append(times, j.completed.Sub(j.at).Seconds())
			}
			switch {
			case e == o:
				result.InTime++
			case e > 0:
				result.Late++
			}
		}
		slices.Sort(times)
		if len(times) > 0 {
			result.Median = times[len(times)/2]
		}
		result.Worth = share{result.Owed, result.Earned}.ratio()
		result.TimelyShare = share{float64(result.Jobs), float64(result.InTime)}.ratio()
		owed += result.Owed
		earned += result.Earned
		r.Classes = append(r.Classes, result)
	}
	r.Whole = share{owed, earned}.ratio()
	d.countJobs(&r)
	r.Windows = worst(windows)
	r.Thrown = d.thrown / max(1, work)
	worstClass := 1.0
	for _, c := range r.Classes {
		worstClass = min(worstClass, c.Worth)
	}
	r.Worth = dayWeight*r.Whole + windowWeight*r.Windows + classWeight*worstClass
	return r
}

// countJobs sets the shares of jobs in a result.
func (d *day) countJobs(r *Result) {
	var jobs, inTime, late, served, urgent, begun, refused, accepted, useless float64
	for _, j := range d.order {
		if j.cancelled {
			continue
		}
		jobs++
		objective := j.objective()
		if j.acceptedAt.IsZero() {
			refused++
		} else {
			accepted++
			if j.completed.IsZero() || j.completed.Sub(j.acceptedAt) > lateFactor*objective {
				useless++
			}
		}
		switch taken := j.completed.Sub(j.at); {
		case j.completed.IsZero():
		case taken <= objective:
			inTime++
		case taken <= lateFactor*objective:
			late++
		}
		if !j.completed.IsZero() {
			served++
		}
		if j.class.Priority == 0 {
			urgent++
			if !j.allBegun.IsZero() && j.allBegun.Sub(j.at) <= claimBound {
				begun++
			}
		}
	}
	r.InTime, r.Late, r.Served = share{jobs, inTime}.ratio(), share{jobs, late}.ratio(), share{jobs, served}.ratio()
	r.Begun = share{urgent, begun}.ratio()
	r.Refused, r.Useless = refused/max(1, jobs), useless/max(1, accepted)
}

// share is the worth that was owed and earned.
type share struct{ owed, earned float64 }

// ratio returns the share that was earned, 1 if nothing was owed.
func (s share) ratio() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

// worst returns the mean ratio of the worst windows.
func worst(windows []share) float64 {
	ratios := make([]float64, 0, len(windows))
	for _, w := range windows {
		ratios = append(ratios, w.ratio())
	}
	slices.Sort(ratios)
	n := min(worstWindows, len(ratios))
	sum := 0.0
	for _, ratio := range ratios[:n] {
		sum += ratio
	}
	return sum / float64(max(1, n))
}

// printTable writes a table of the days and of their classes.
func printTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "seed\tworth\twhole\twindows\t")
	for _, c := range results[0].Classes {
		fmt.Fprintf(w, "%s\t", c.Name)
	}
	fmt.Fprintln(w, "thrown\tstops\tcommits\tplans s\t")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%.3f\t%.3f\t%.3f\t", r.Seed, r.Worth, r.Whole, r.Windows)
		for _, c := range r.Classes {
			fmt.Fprintf(w, "%.3f\t", c.Worth)
		}
		fmt.Fprintf(w, "%.3f\t%d\t%d\t%.2f\t\n", r.Thrown, r.Stops, r.Commits, r.Plans)
	}
	mean, spread := meanSpread(results, func(r *Result) float64 { return r.Worth })
	fmt.Fprintf(w, "mean\t%.4f\t±%.4f\t\n", mean, spread)
	for _, f := range figures[1:] {
		mean, _ := meanSpread(results, f.value)
		fmt.Fprintf(w, "%s\t%.4f\t\n", f.name, mean)
	}
	for i, c := range results[0].Classes {
		worth, _ := meanSpread(results, func(r *Result) float64 { return r.Classes[i].Worth })
		inTime, _ := meanSpread(results, func(r *Result) float64 { return r.Classes[i].TimelyShare })
		fmt.Fprintf(w, "%s: worth\t%.4f\tin time\t%.4f\t\n", c.Name, worth, inTime)
	}
	return w.Flush()
}

// figures are the figures of a day that are compared.
var figures = []struct {
	name  string
	value func(*Result) float64
}{
	{"worth", func(r *Result) float64 { return r.Worth }},
	{"whole", func(r *Result) float64 { return r.Whole }},
	{"windows", func(r *Result) float64 { return r.Windows }},
	{"thrown", func(r *Result) float64 { return r.Thrown }},
	{"in time", func(r *Result) float64 { return r.InTime }},
	{"late", func(r *Result) float64 { return r.Late }},
	{"served", func(r *Result) float64 { return r.Served }},
	{"begun", func(r *Result) float64 { return r.Begun }},
	{"refused", func(r *Result) float64 { return r.Refused }},
	{"useless", func(r *Result) float64 { return r.Useless }},
}

// meanSpread returns the mean of a figure and the half width of its 95 % interval.
func meanSpread(results []Result, figure func(*Result) float64) (mean, half float64) {
	n := float64(len(results))
	for i := range results {
		mean += figure(&results[i]) / n
	}
	if n < 2 {
		return mean, 0
	}
	sum := 0.0
	for i := range results {
		sum += math.Pow(figure(&results[i])-mean, 2)
	}
	return mean, 1.96 * math.Sqrt(sum/(n-1)/n)
}
