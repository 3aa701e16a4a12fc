package admin

import (
	"context"
	"net/http"

	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/core/query"
	"wagtailhoist/io/meter"
)

// Config keeps the configuration.
type Config interface {
	Force() (config.Copy, model.Declaration, bool)
	Apply(ctx context.Context, w config.Write) (model.Revision, error)
}

// Fleet knows the processes and workers of the system.
type Fleet interface {
	// Processes returns the live processes, this one included.
	Processes() []Process
	// Records returns the records of agents.
	Records() []model.Record
	// Workers returns the workers of the platform.
	Workers(ctx context.Context) ([]model.Worker, error)
	// Drain lets a process finish its work and stop, or returns a query.MissingError.
	Drain(ctx context.Context, id model.NodeID) error
}

// Jobs carries out the changes of the schedule.
type Jobs interface {
	// Submit returns after the job is written to the plan of a cell or, with stored false, accepted by the owner
	// of the cell during an outage of the store. The other changes do the same.
	Submit(ctx context.Context, job model.JobSpec) (stored bool, err error)
	// Cancel cancels the jobs that exist; unknown ones are remembered.
	Cancel(ctx context.Context, ids []model.JobID) (stored bool, err error)
	// Aside takes a worker out of the schedule, or returns it.
	Aside(ctx context.Context, id model.WorkerID, aside bool) (stored bool, err error)
	// Observe adds the cells that this process knows to the snapshot.
	Observe(ctx context.Context, s *query.Snapshot)
	// Cells returns what this process knows of the cells.
	Cells() []CellStatus
}

// Meter gives the figures of this process.
type Meter interface {
	Summaries() ([]meter.Summary, error)
	Handler() http.Handler
	Count(name, label, value string, n int64)
}

// Confirmation says whether the store has confirmed the revision of a process.
type Confirmation string

// Confirmations; an entry that is not linked to a process does not know its.
const (
	Confirmed   Confirmation = "confirmed"
	Unconfirmed Confirmation = "unconfirmed"
	NotKnown    Confirmation = "unknown"
)

// Process is one line of the status.
type Process struct {
	ID       model.NodeID   `json:"id"`
	Role     string         `json:"role"`
	Region   model.Region   `json:"region"`
	Centre   model.Centre   `json:"centre"`
	State    string         `json:"state"`
	Revision model.Revision `json:"revision"`
	Config   Confirmation   `json:"config"`
	// Fault says why the process can't use a higher revision that has to be in force.
	Fault string `json:"fault,omitempty"`
	// Watch says that the process watches the store for its region.
	Watch bool `json:"watch,omitempty"`
}

// CellStatus is one cell of the status.
type CellStatus struct {
	Cell  model.CellID `json:"cell"`
	Owner model.NodeID `json:"owner"`
	// Room holds the accelerators that are free or reclaimable, Fragmentation the share of a whole block that is missing.
	Room          plan.FreeCapacity `json:"room"`
	Fragmentation float64           `json:"fragmentation"`
}

// Status is the answer to GET /status.
type Status struct {
	// Asked is the process that answers; the timings are its own.
	Asked     model.NodeID `json:"asked"`
	Processes []Process    `json:"processes"`
	// Cells holds the cells that the process knows; it is set if the request asks for them.
	Cells   []CellStatus    `json:"cells,omitempty"`
	Timings []meter.Summary `json:"timings"`
}

// Current is the answer to GET /config.
type Current struct {
	config.Copy
	Ready bool `json:"ready"`
}

// ApplyRequest is the body of POST /config.
type ApplyRequest struct {
	Base     model.Revision `json:"base"`
	Change   string         `json:"change"`
	Author   string         `json:"author"`
	Document string         `json:"document"`
}

// ApplyAnswer is the answer to POST /config.
type ApplyAnswer struct {
	Revision model.Revision `json:"revision"`
	Changes  []decl.Change  `json:"changes"`
	Notes    []string       `json:"notes,omitempty"`
}

// QueryRequest is the body of POST /query.
type QueryRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	// Change identifies a change of the configuration across retries.
	Change string `json:"change"`
}

// QueryAnswer is the answer to POST /query: a table, or what a change did.
type QueryAnswer struct {
	*query.Answer
	Done string `json:"done,omitempty"`
	// Unstored says that the change was accepted during an outage of the store and is not written to it yet; it is
	// lost if the process that accepted it ends before the store is back.
	Unstored bool           `json:"unstored,omitempty"`
	Revision model.Revision `json:"revision,omitempty"`
}

// Kind is the kind of a failure.
type Kind string

// Kinds of failures.
const (
	KindInvalid     Kind = "invalid"
	KindDenied      Kind = "denied"
	KindMissing     Kind = "missing"
	KindConflict    Kind = "conflict"
	KindTooLarge    Kind = "too-large"
	KindTooMany     Kind = "too-many"
	KindUnavailable Kind = "unavailable"
	KindUnknown     Kind = "unknown"
	KindInternal    Kind = "internal"
)

// Failure is the body of every answer that is not a success.
type Failure struct {
	Kind Kind `json:"kind"`
	// Text describes the failure for operators.
	Text string `json:"text"`
	// Problems are the faults of a document.
	Problems []decl.Problem `json:"problems,omitempty"`
	// Base and Have are the revisions of a conflict.
	Base model.Revision `json:"base,omitempty"`
	Have model.Revision `json:"have,omitempty"`
}

// Error returns the text.
func (f *Failure) Error() string { return f.Text }
