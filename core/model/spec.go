package model

import "time"

// Adjacency says how close together the tasks of a shape have to be.
type Adjacency string

// Adjacencies, from the loosest to the tightest.
const (
	// SameCentre requires workers of one data centre.
	SameCentre Adjacency = ""
	// SameRack requires workers of one rack.
	SameRack Adjacency = "rack"
	// SameWorker requires one worker for all tasks.
	SameWorker Adjacency = "worker"
)

// Shape is a number of equal tasks and the resources of each; all tasks start together or not at all.
type Shape struct {
	// Tasks is the number of tasks, 1 to 64.
	Tasks int `cbor:"1,keyasint" json:"tasks" yaml:"tasks"`
	// GPUs is the number of accelerators of each task; they are all on one worker.
	GPUs int `cbor:"2,keyasint" json:"gpus" yaml:"gpus"`
	// Cores is the number of processor cores of each task.
	Cores int `cbor:"3,keyasint,omitempty" json:"cores,omitempty" yaml:"cores,omitempty"`
	// Memory is the memory of each task in gigabytes.
	Memory   int       `cbor:"4,keyasint,omitempty" json:"memory,omitempty" yaml:"memory,omitempty"`
	Adjacent Adjacency `cbor:"5,keyasint,omitempty" json:"adjacent,omitempty" yaml:"adjacent,omitempty"`
}

// Size returns the number of accelerators of all tasks.
func (s Shape) Size() int { return s.Tasks * s.GPUs }

// Guarantee is a shape that is held for a team: other jobs may borrow its accelerators, and are preempted within Grace
// when the team claims them.
type Guarantee struct {
	Name  string `cbor:"1,keyasint" json:"name" yaml:"name"`
	Shape Shape  `cbor:"2,keyasint" json:"shape" yaml:"shape"`
	// Centre is the data centre in which the shape is held; empty means any.
	Centre Centre `cbor:"3,keyasint,omitempty" json:"centre,omitempty" yaml:"centre,omitempty"`
	// Grace is the longest time from the claim until the borrowing jobs have released the accelerators.
	Grace time.Duration `cbor:"4,keyasint" json:"grace" yaml:"grace"`
}

// TeamSpec is the declaration of a team.
type TeamSpec struct {
	Name Team `cbor:"1,keyasint" json:"name" yaml:"name"`
	// Weight is the team's share of requests and spare accelerators, relative to other teams.
	Weight int `cbor:"2,keyasint" json:"weight" yaml:"weight"`
	// Quota is the largest number of accelerators that the team uses at the same time; 0 means no limit.
	Quota      int         `cbor:"3,keyasint,omitempty" json:"quota,omitempty" yaml:"quota,omitempty"`
	Guarantees []Guarantee `cbor:"4,keyasint,omitempty" json:"guarantees,omitempty" yaml:"guarantees,omitempty"`
}

// JobSpec is the specification of a submitted job.
type JobSpec struct {
	ID    JobID  `cbor:"1,keyasint" json:"id" yaml:"id"`
	Team  Team   `cbor:"2,keyasint" json:"team" yaml:"team"`
	Class string `cbor:"3,keyasint,omitempty" json:"class,omitempty" yaml:"class,omitempty"`
	Shape Shape  `cbor:"4,keyasint" json:"shape" yaml:"shape"`
	// Guarantee names the guarantee of the team that the job runs under; empty means spare capacity.
	Guarantee string `cbor:"5,keyasint,omitempty" json:"guarantee,omitempty" yaml:"guarantee,omitempty"`
	// Estimate is the run time that the submitter expects; it may be far from the real one.
	Estimate time.Duration `cbor:"6,keyasint,omitempty" json:"estimate,omitempty" yaml:"estimate,omitempty"`
	// Checkpoint says that the job can be checkpointed and resumed.
	Checkpoint bool `cbor:"7,keyasint,omitempty" json:"checkpoint,omitempty" yaml:"checkpoint,omitempty"`
	// Grace is the time that the job needs to checkpoint or stop. A job may borrow accelerators of a guarantee only if
	// this is within the guarantee's grace.
	Grace time.Duration `cbor:"8,keyasint,omitempty" json:"grace,omitempty" yaml:"grace,omitempty"`
	// Urgent says that the job must start within 9.8 s, including the grace of the jobs that are preempted for it.
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
	// Cell is the cell of the worker; empty means the cell of its data centre.
	Cell CellID `cbor:"9,keyasint,omitempty" json:"cell,omitempty"`
}

// Policy holds the declared weights of the scheduler's goals.
type Policy struct {
	// Compact weighs fragmentation against completion time: 0 considers only completion time, 1 only fragmentation.
	Compact float64 `cbor:"1,keyasint" json:"compact" yaml:"compact"`
}

// Declaration is the complete declared state of the system; operators keep it in YAML files.
type Declaration struct {
	Policy Policy     `cbor:"1,keyasint" json:"policy" yaml:"policy"`
	Teams  []TeamSpec `cbor:"2,keyasint" json:"teams" yaml:"teams"`
	// GuaranteeCells holds the cell of each guarantee, by team/guarantee. It is computed when the declaration is stored
	// and isn't part of its YAML text.
	GuaranteeCells map[string]CellID `cbor:"3,keyasint,omitempty" json:"homes,omitempty" yaml:"-"`
	// Evacuate lists the data centres in which nothing more is started; what runs there goes on.
	Evacuate []Centre `cbor:"4,keyasint,omitempty" json:"evacuate,omitempty" yaml:"evacuate,omitempty"`
}
