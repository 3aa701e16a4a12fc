package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/alloc"
)

// Command holds the flags of stand replay.
type Command struct {
	Load    string `arg:"" type:"existingfile" help:"File with the load pattern."`
	Days    int    `default:"20" help:"Number of days, each with a seed of its own."`
	First   int64  `default:"1" help:"Seed of the first day."`
	Order   string `default:"deadline" enum:"deadline,share" help:"Order of the waiting work of different teams, as for desk --team-order."`
	Workers int    `default:"0" help:"Number of workers; 0 means that of the load pattern."`
	// RefuseLate sets that of the load pattern.
	RefuseLate bool   `help:"Refuse jobs that can't start while their result is of use."`
	Out        string `help:"File for the results as JSON."`
	Against    string `type:"existingfile" help:"File with the results of another version on the same days; the paired difference is printed."`
}

// Run plays the days and prints their results.
func (c *Command) Run() error {
	load, err := ReadLoad(c.Load)
	if err != nil {
		return err
	}
	if c.Days < 1 || c.Workers < 0 {
		return fmt.Errorf("days: got %d, want at least 1; workers: got %d, want at least 0", c.Days, c.Workers)
	}
	if c.Workers > 0 {
		load.Fleet.Workers = c.Workers
	}
	load.Order = alloc.TeamOrder(c.Order)
	load.RefuseLate = load.RefuseLate || c.RefuseLate
	results := Play(load, c.First, c.Days)
	if err := printTable(os.Stdout, results); err != nil {
		return err
	}
	if c.Out != "" {
		data, err := json.MarshalIndent(results, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Out, append(data, '\n'), 0o644); err != nil {
			return errors.Wrap(err, "write results")
		}
	}
	if c.Against == "" {
		return nil
	}
	data, err := os.ReadFile(c.Against)
	if err != nil {
		return errors.Wrap(err, "read results to compare with")
	}
	var others []Result
	if err := json.Unmarshal(data, &others); err != nil {
		return errors.Wrap(err, "decode results to compare with")
	}
	return compare(os.Stdout, results, others)
}

// Play plays a number of days of a load pattern, several at a time.
func Play(load *Load, first int64, days int) []Result {
	results := make([]Result, days)
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wait sync.WaitGroup
	for i := range days {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			d := newDay(load, first+int64(i))
			d.play()
			results[i] = d.result(first + int64(i))
		})
	}
	wait.Wait()
	return results
}

// compare prints the paired difference of the figures of two versions on the same days.
func compare(out io.Writer, results, others []Result) error {
	bySeed := map[int64]*Result{}
	for i := range others {
		bySeed[others[i].Seed] = &others[i]
	}
	for _, figure := range figures {
		var pairs []Result
		differences := map[int64]float64{}
		for i := range results {
			other := bySeed[results[i].Seed]
			if other == nil {
				return fmt.Errorf("seed %d is not among the results to compare with", results[i].Seed)
			}
			differences[results[i].Seed] = figure.value(&results[i]) - figure.value(other)
			pairs = append(pairs, results[i])
		}
		mean, half := meanSpread(pairs, func(r *Result) float64 { return differences[r.Seed] })
		if _, err := fmt.Fprintf(out, "%-8s %+.4f ±%.4f\n", figure.name, mean, half); err != nil {
			return err
		}
	}
	return compareClasses(out, results, bySeed)
}

// compareClasses prints the paired difference of the worth and of the share in time of each class.
func compareClasses(out io.Writer, results []Result, bySeed map[int64]*Result) error {
	for i, c := range results[0].Classes {
		worth, halfWorth := meanSpread(results, func(r *Result) float64 { return r.Classes[i].Worth - bySeed[r.Seed].Classes[i].Worth })
		inTime, halfTime := meanSpread(results, func(r *Result) float64 { return r.Classes[i].TimelyShare - bySeed[r.Seed].Classes[i].TimelyShare })
		if _, err := fmt.Fprintf(out, "%-8s %+.4f ±%.4f, in time %+.4f ±%.4f\n", c.Name, worth, halfWorth, inTime, halfTime); err != nil {
			return err
		}
	}
	return nil
}
