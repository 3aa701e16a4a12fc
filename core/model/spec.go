package model

import "time"

// Adjacency says how close together the tasks of a shape have to be.
type Adjacency string

// Adjacencies, from loose to tight.
const (
	// AnyPlace allows any workers of one data centre.
	AnyPlace Adjacency = ""
	// SameRack asks for workers of one rack.
	SameRack Adjacency = "rack"
	// SameWorker asks for one worker.
	SameWorker Adjacency = "worker"
)

// Shape is a number of equal tasks with the resources of each; all of them start together or not at all.
type Shape struct {
	// Tasks is the number of tasks, 1 to 64.
	Tasks int `cbor:"1,keyasint" json:"tasks" yaml:"tasks"`
	// GPUs is the number of accelerators of each task, all on one worker.
	GPUs int `cbor:"2,keyasint" json:"gpus" yaml:"gpus"`
	// Cores is the number of processor cores of each task.
	Cores int `cbor:"3,keyasint,omitempty" json:"cores,omitempty" yaml:"cores,omitempty"`
	// Memory is the memory of each task in gigabytes.
	Memory   int       `cbor:"4,keyasint,omitempty" json:"memory,omitempty" yaml:"memory,omitempty"`
	Adjacent Adjacency `cbor:"5,keyasint,omitempty" json:"adjacent,omitempty" yaml:"adjacent,omitempty"`
}

// Size returns the number of accelerators of all tasks.
func (s Shape) Size() int { return s.Tasks * s.GPUs }

// Guarantee is a shape that a team can reclaim at any time within Grace.
type Guarantee struct {
	Name  string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Shape Shape  `cbor:"2,keyasint" json:"shape" yaml:"shape"`
	// Centre is the data centre that has to hold the shape; empty means any.
	Centre Centre `cbor:"3,keyasint,omitempty" json:"centre,omitempty" yaml:"centre,omitempty"`
	// Grace is the longest time from the claim until borrowers have gone.
	Grace time.Duration `cbor:"4,keyasint" json:"grace" yaml:"grace"`
}

// TeamSpec declares a team.
type TeamSpec struct {
	Name Team `cbor:"1,keyasint" json:"name" yaml:"name"`
	// Weight is the team's share of requests and spare accelerators, relative to other teams.
	Weight int `cbor:"2,keyasint" json:"weight" yaml:"weight"`
	// Quota is the largest number of accelerators in use at a time; 0 means no limit.
	Quota      int         `cbor:"3,keyasint,omitempty" json:"quota,omitempty" yaml:"quota,omitempty"`
	Guarantees []Guarantee `cbor:"4,keyasint,omitempty" json:"guarantees,omitempty" yaml:"guarantees,omitempty"`
}

// JobSpec declares a job.
type JobSpec struct {
	ID    JobID  `cbor:"1,keyasint" json:"id" yaml:"id"`
	Team  Team   `cbor:"2,keyasint" json:"team" yaml:"team"`
	Class string `cbor:"3,keyasint,omitempty" json:"class,omitempty" yaml:"class,omitempty"`
	Shape Shape  `cbor:"4,keyasint" json:"shape" yaml:"shape"`
	// Guarantee names the guarantee of the team that the job runs under; empty for spare capacity.
	Guarantee string `cbor:"5,keyasint,omitempty" json:"guarantee,omitempty" yaml:"guarantee,omitempty"`
	// Estimate is the declared run time; it may be far off.
	Estimate time.Duration `cbor:"6,keyasint,omitempty" json:"estimate,omitempty" yaml:"estimate,omitempty"`
	// Checkpoint says that the job can be checkpointed and resumed.
	Checkpoint bool `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty" yaml:"checkpoint,omitempty"`
	// Grace is the time that the job needs to checkpoint or stop; a job may borrow
	// anchored accelerators only if it fits the guarantee's grace.
	Grace time.Duration `cbor:"8,keyasint,omitempty" json:"grace,omitempty" yaml:"grace,omitempty"`
	// Urgent work starts within 9.8 s, the grace of the borrowers included.
	Urgent bool `cbor:"9,keyasint,omitempty" json:"urgent,omitempty" yaml:"urgent,omitempty"`
}

// Worker is a machine of the platform that runs tasks.
type Worker struct {
	ID     WorkerID `cbor:"1,keyasint" json:"id"`
	Region Region   `cbor:"2,keyasint" json:"region"`
	Centre Centre   `cbor:"3,keyasint" json:"centre"`
	Rack   string   `cbor:"4,keyasint" json:"rack"`
	Cores  int      `cbor:"5,keyasint" json:"cores"`
	// Memory is in gigabytes.
	Memory int `cbor:"6,keyasint" json:"memory"`
	GPUs   int `cbor:"7,keyasint" json:"gpus"`
	// Up is false while the platform reports the worker as lost.
	Up bool `cbor:"8,keyasint" json:"up"`
	// Cell is the cell of the worker; empty means that of its data centre.
	Cell CellID `cbor:"9,keyasint,omitempty" json:"cell,omitempty"`
}

// Policy holds the declared weights of the scheduler.
type Policy struct {
	// Compact weighs fragmentation against completion time: 0 weighs completion time alone, 1 fragmentation alone.
	Compact float64 `cbor:"1,keyasint" json:"compact" yaml:"compact"`
}

// Declaration is the whole declared state; operators keep it as YAML files.
type Declaration struct {
	Policy Policy     `cbor:"1,keyasint" json:"policy" yaml:"policy"`
	Teams  []TeamSpec `cbor:"2,keyasint" json:"teams" yaml:"teams"`
	// GuaranteeCells names the cell of each guarantee, by team/guarantee. It is chosen when the declaration is written and
	// is no part of its text.
	GuaranteeCells map[string]CellID `cbor:"3,keyasint,omitempty" json:"homes,omitempty" yaml:"-"`
}
