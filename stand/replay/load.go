package replay

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
)

// Load is a load pattern: a fleet, the classes of jobs that callers submit to it, and what goes wrong meanwhile. Times are in
// seconds.
type Load struct {
	// Length is how long jobs are submitted, Drain how long the day goes on afterwards.
	Length float64 `yaml:"length"`
	Drain  float64 `yaml:"drain"`
	Fleet  Fleet   `yaml:"fleet"`
	// Teams is the number of teams, Guarantee the accelerators that each is guaranteed.
	Teams     int     `yaml:"teams"`
	Guarantee int64   `yaml:"guarantee"`
	Classes   []Class `yaml:"classes"`
	Events    []Event `yaml:"events"`
	// Order is the order of the waiting work of different teams; it is a setting of the scheduler, not of the pattern.
	Order alloc.TeamOrder `yaml:"-"`
	// RefuseLate makes the entry refuse jobs that can't start while their result is of use.
	RefuseLate bool `yaml:"refuseLate"`
}

// Fleet describes the workers and how long their platform takes.
type Fleet struct {
	Workers int `yaml:"workers"`
	// Rack is the number of workers in a rack.
	Rack   int   `yaml:"rack"`
	Cores  int64 `yaml:"cores"`
	Memory int64 `yaml:"memory"`
	GPUs   int64 `yaml:"gpus"`
	// Link is how long a message between owner and worker takes, Store a commit.
	Link  float64 `yaml:"link"`
	Store float64 `yaml:"store"`
	// Stop is how long the end of a run after a stop order takes, Restore the resumption from a checkpoint.
	Stop    float64 `yaml:"stop"`
	Restore float64 `yaml:"restore"`
	// Remote is the factor by which tasks run slower away from their data; 0 means 3.
	Remote float64 `yaml:"remote"`
	// Speeds are those of the kinds of workers, which take turns; empty means one kind of speed 1.
	Speeds []float64 `yaml:"speeds"`
}

// Spread is a lognormal distribution: its mean, the standard deviation of its logarithm, and a bound.
type Spread struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Most   float64 `yaml:"most"`
}

// draw returns a random value.
func (s Spread) draw(rng *rand.Rand) float64 {
	value := s.Mean * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
	if s.Most > 0 {
		value = min(value, s.Most)
	}
	return value
}

// Class is a kind of job. All its jobs have one step.
type Class struct {
	Name     string `yaml:"name"`
	Priority int    `yaml:"priority"`
	// Teams are the numbers of the teams that submit its jobs, from 0; empty means all.
	Teams []int `yaml:"teams"`
	// Rate is the number of jobs in a second.
	Rate float64 `yaml:"rate"`
	// Width is the number of tasks, Work the run time of a task.
	Width Spread `yaml:"width"`
	Work  Spread `yaml:"work"`
	// Cores, Memory and GPUs are the need of a task; GPUs are drawn from the list.
	Cores  int64   `yaml:"cores"`
	Memory int64   `yaml:"memory"`
	GPUs   []int64 `yaml:"gpus"`
	// Error is the standard deviation of the logarithm of estimate by run time, Bias its mean.
	Error float64 `yaml:"error"`
	Bias  float64 `yaml:"bias"`
	// Lying is the number of teams whose estimates are off by Lie more, as the logarithm of estimate by run time.
	Lying int     `yaml:"lying"`
	Lie   float64 `yaml:"lie"`
	// Long is the share of jobs that run seven times as long as their estimate says.
	Long float64 `yaml:"long"`
	// Gang, Saves, Near and Cancel are the shares of jobs that are gangs, have checkpoints, have data on a rack, and are
	// cancelled within two seconds.
	Gang   float64 `yaml:"gang"`
	Saves  float64 `yaml:"saves"`
	Near   float64 `yaml:"near"`
	Cancel float64 `yaml:"cancel"`
	// Fails is the share of runs that fail by themselves.
	Fails float64 `yaml:"fails"`
	// Stretch and Target give the objective; Worth is earned within it, Late up to three times later.
	Stretch float64 `yaml:"stretch"`
	Target  float64 `yaml:"target"`
	Worth   float64 `yaml:"worth"`
	Late    float64 `yaml:"late"`
}

// Event is something that goes wrong, or a change of the load.
type Event struct {
	// Kind is burst (X times the rate of Class, all if empty), lose (a Share of the workers crashes and is back after For),
	// drain (a Share leaves X seconds after its notice and is back after For), grey (a Share fails what it starts), pause (the
	// owner stands still) or store (commits take X times as long).
	Kind  string  `yaml:"kind"`
	At    float64 `yaml:"at"`
	For   float64 `yaml:"for"`
	Class string  `yaml:"class"`
	Share float64 `yaml:"share"`
	X     float64 `yaml:"x"`
}

// kinds are the kinds of events.
var kinds = map[string]bool{"burst": true, "lose": true, "drain": true, "grey": true, "pause": true, "store": true}

// ReadLoad reads a load pattern from a file.
func ReadLoad(path string) (*Load, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read load pattern")
	}
	return parseLoad(data)
}

func parseLoad(data []byte) (*Load, error) {
	var l Load
	if err := yaml.UnmarshalWithOptions(data, &l, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "decode load pattern")
	}
	return &l, l.check()
}

// check returns an error that names the first field with an invalid value.
func (l *Load) check() error {
	f := &l.Fleet
	switch {
	case l.Length <= 0 || l.Drain < 0:
		return errors.New("length must be positive, drain not negative")
	case f.Workers < 1 || f.Rack < 1 || f.Cores < 1 || f.Memory < 1 || f.GPUs < 0:
		return errors.New("fleet: workers, rack, cores and memory must be positive")
	case f.Link < 0 || f.Store < 0 || f.Stop < 0 || f.Restore < 0:
		return errors.New("fleet: times must not be negative")
	case slices.ContainsFunc(f.Speeds, func(speed float64) bool { return speed <= 0 }):
		return errors.New("fleet: speeds must be positive")
	case l.Teams < 1 || l.Guarantee < 0:
		return errors.New("teams must be positive, guarantee not negative")
	case len(l.Classes) == 0:
		return errors.New("classes: got none, want at least one")
	}
	names := map[string]bool{"": true}
	for i := range l.Classes {
		c := &l.Classes[i]
		if c.Name == "" || names[c.Name] {
			return fmt.Errorf("classes[%d]: name %q is empty or used twice", i, c.Name)
		}
		names[c.Name] = true
		if c.Rate < 0 || c.Width.Mean < 1 || c.Work.Mean <= 0 || len(c.GPUs) == 0 || c.Stretch <= 0 || c.Worth <= 0 {
			return fmt.Errorf("class %s: width, work, gpus, stretch and worth must be positive", c.Name)
		}
	}
	for _, c := range l.Classes {
		if slices.ContainsFunc(c.Teams, func(team int) bool { return team < 0 || team >= l.Teams }) {
			return fmt.Errorf("class %s: teams must be numbers from 0 to %d", c.Name, l.Teams-1)
		}
	}
	for i, e := range l.Events {
		if !kinds[e.Kind] || !names[e.Class] {
			return fmt.Errorf("events[%d]: kind %q or class %q is not known", i, e.Kind, e.Class)
		}
	}
	return nil
}

// policy returns the queues and teams of a load.
func (l *Load) policy() batch.Policy {
	p := batch.Policy{Queues: map[string]batch.Queue{}, Teams: map[teamName]batch.Team{}}
	for i := range l.Classes {
		q := l.queue(&l.Classes[i])
		p.Queues[q.Name] = q
	}
	for i := range l.Teams {
		name := teamOf(i)
		p.Teams[name] = batch.Team{Name: name, Guarantee: l.Guarantee}
	}
	return p
}

// queue returns the queue of a class.
func (l *Load) queue(c *Class) batch.Queue {
	return batch.Queue{
		Name: c.Name, Service: service, Priority: c.Priority, MaxAttempts: 2, Stretch: c.Stretch, Target: seconds(c.Target),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
