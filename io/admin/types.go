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

// Config is the configuration of the system, as this process has it.
type Config interface {
	// InUse returns the configuration in force with its declaration, and false while there is none.
	InUse() (config.Snapshot, model.Declaration, bool)
	// Apply writes a configuration to the store and returns its revision.
	Apply(ctx context.Context, w config.Write) (model.Revision, error)
}

// Fleet lists the processes and workers of the system, and drains processes.
type Fleet interface {
	// Processes returns the live processes, this one included.
	Processes() []Process
	// Records returns the membership records of the agents.
	Records() []model.Record
	// Workers returns the workers of the platform.
	Workers(ctx context.Context) ([]model.Worker, error)
	// Drain starts the drain of a process, which finishes its work and stops, or returns a query.MissingError.
	Drain(ctx context.Context, id model.NodeID) error
}

// Jobs carries out changes of jobs and workers, and describes the cells.
type Jobs interface {
	// Submit returns when the job is written to the plan of a cell or, with stored false, when the owner of the cell has
	// accepted it during an outage of the store. The same holds for Cancel and SetQuarantined.
	Submit(ctx context.Context, job model.JobSpec) (stored bool, err error)
	// Cancel cancels jobs; those that don't exist are an error.
	Cancel(ctx context.Context, ids []model.JobID) (stored bool, err error)
	// SetQuarantined excludes a worker from new placements, or, with quarantined false, ends the exclusion.
	SetQuarantined(ctx context.Context, id model.WorkerID, quarantined bool) (stored bool, err error)
	// Observe adds the jobs and workers of the cells that this process knows to the snapshot.
	Observe(ctx context.Context, s *query.Snapshot)
	// Cells returns the status of the cells that this process knows.
	Cells() []CellStatus
}

// Meter holds the metrics of this process.
type Meter interface {
	// Summaries returns the percentiles of the timings.
	Summaries() ([]meter.Summary, error)
	// Handler serves the metrics in Prometheus format.
	Handler() http.Handler
	// Count adds n to a counter.
	Count(name, label, value string, n int64)
}

// Confirmation tells whether the store has confirmed the configuration revision of a process.
type Confirmation string

// Confirmations. NotKnown is that of a process that the answering entry has no link to.
const (
	Confirmed   Confirmation = "confirmed"
	Unconfirmed Confirmation = "unconfirmed"
	NotKnown    Confirmation = "unknown"
)

// Process is the status of one process.
type Process struct {
	ID       model.NodeID   `json:"id"`
	Role     string         `json:"role"`
	Region   model.Region   `json:"region"`
	Centre   model.Centre   `json:"centre"`
	State    string         `json:"state"`
	Revision model.Revision `json:"revision"`
	Config   Confirmation   `json:"config"`
	// Fault is why the process can't use a higher revision that should be in force.
	Fault string `json:"fault,omitempty"`
	// Watch is true if the process watches the store for its region.
	Watch bool `json:"watch,omitempty"`
}

// CellStatus is the status of one cell.
type CellStatus struct {
	Cell  model.CellID `json:"cell"`
	Owner model.NodeID `json:"owner"`
	// Capacity holds the accelerators that are free or reclaimable. Fragmentation is the fragmentation of these, from 0 to 1.
	Capacity      plan.FreeCapacity `json:"room"`
	Fragmentation float64           `json:"fragmentation"`
}

// Status is the answer to GET /status.
type Status struct {
	// AnsweredBy is the process that answers. Timings are those of this process.
	AnsweredBy model.NodeID `json:"asked"`
	Processes  []Process    `json:"processes"`
	// Cells holds the cells that the process knows, if they were requested.
	Cells   []CellStatus    `json:"cells,omitempty"`
	Timings []meter.Summary `json:"timings"`
}

// CurrentConfig is the answer to GET /config.
type CurrentConfig struct {
	config.Snapshot
	// Ready is true if the process has a configuration in force.
	Ready bool `json:"ready"`
}

// ApplyRequest is the body of POST /config.
type ApplyRequest struct {
	// Base is the revision that the document was made for.
	Base model.Revision `json:"base"`
	// Change identifies the change across retries.
	Change   string `json:"change"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

// ApplyAnswer is the answer to POST /config.
type ApplyAnswer struct {
	Revision model.Revision `json:"revision"`
	// Changes is the difference to the revision before.
	Changes []decl.Change `json:"changes"`
	Notes   []string      `json:"notes,omitempty"`
}

// QueryRequest is the body of POST /query.
type QueryRequest struct {
	Text   string `json:"text"`
	Author string `json:"author"`
	// Change identifies a change of the configuration across retries.
	Change string `json:"change"`
}

// QueryAnswer is the answer to POST /query: the table of a query, or the description of a change.
type QueryAnswer struct {
	*query.Answer
	// Done describes the change that was carried out.
	Done string `json:"done,omitempty"`
	// Unstored is true if the change was accepted during an outage of the store and is not stored yet. It is lost if the
	// process that accepted it ends before the outage does.
	Unstored bool           `json:"unstored,omitempty"`
	Revision model.Revision `json:"revision,omitempty"`
}

// Kind classifies failures.
type Kind string

// Kinds of failures. After KindUnknown, the change may or may not have taken effect.
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

// Failure is the body of every answer that is not a success, and the error of a failed call.
type Failure struct {
	Kind Kind `json:"kind"`
	// Text describes the failure for operators.
	Text string `json:"text"`
	// Problems lists the errors in a document.
	Problems []decl.Problem `json:"problems,omitempty"`
	// Base and Have are the revisions of a conflict: the one that the change was made for and the latest.
	Base model.Revision `json:"base,omitempty"`
	Have model.Revision `json:"have,omitempty"`
}

// Error returns the text.
func (f *Failure) Error() string { return f.Text }
