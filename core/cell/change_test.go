package cell

import (
	"testing"

	"wagtailhoist/core/model"
)

// TestJobSentToAnotherCell checks that a job that is handed over to another cell is neither lost nor run in both, although
// changes may be repeated and the job may be cancelled at any point.
func TestJobSentToAnotherCell(t *testing.T) {
	submitted := Change{Kind: JobSubmitted, Spec: &model.JobSpec{ID: "j"}}
	back := Change{Kind: JobSubmitted, Spec: &model.JobSpec{ID: "j"}, Cell: "b"}
	handing := Change{Kind: JobHandoverStarted, Job: "j", Cell: "b", Epoch: 1}
	handed := Change{Kind: JobHandoverDone, Job: "j", Cell: "b"}
	placing := Change{Kind: JobPlaced, Job: "j", Workers: []model.WorkerID{"w"}, Epoch: 1}
	cancelling := Change{Kind: JobsCancelled, Jobs: []model.JobID{"j"}}
	for _, c := range []struct {
		name    string
		changes []Change
		// here says that the plan still has the job, on its way to the cell to; cause is why the job has ended, if it
		// has.
		here  bool
		to    model.CellID
		cause Cause
	}{
		{"on its way", []Change{handing}, true, "b", ""},
		{"not placed on its way", []Change{handing, placing}, true, "b", ""},
		{"not sent once placed", []Change{placing, handing, handed}, true, "", ""},
		{"by an earlier owner", []Change{{Kind: JobHandoverStarted, Job: "j", Cell: "b"}}, true, "", ""},
		{"gone", []Change{handing, handed, handed}, false, "", Moved},
		{"handed without being sent", []Change{handed}, true, "", ""},
		{"handed to a third cell", []Change{handing, {Kind: JobHandoverDone, Job: "j", Cell: "c"}}, true, "b", ""},
		{"sent twice", []Change{handing, {Kind: JobHandoverStarted, Job: "j", Cell: "c", Epoch: 1}}, true, "b", ""},
		{"submitted again on its way", []Change{handing, submitted}, true, "b", ""},
		{"submitted again when gone", []Change{handing, handed, submitted}, false, "", Moved},
		{"sent back", []Change{handing, handed, back, back}, true, "", Moved},
		{"cancelled on its way", []Change{handing, cancelling}, true, "b", ""},
		{"cancelled and gone", []Change{handing, cancelling, handed}, false, "", Cancelled},
		{"cancelled before", []Change{cancelling, handing, handed}, false, "", Cancelled},
	} {
		p := &Plan{Epoch: 1}
		p.Apply(Batch{Changes: append([]Change{submitted}, c.changes...)})
		j := p.Jobs["j"]
		if (j != nil) != c.here || j != nil && j.HandoverTo != c.to {
			t.Errorf("%s: got job %+v, want it here %v on its way to %q", c.name, j, c.here, c.to)
		}
		var cause Cause
		if len(p.Ended) > 0 {
			cause = p.Ended[0].Cause
		}
		if cause != c.cause || len(p.Ended) > 1 {
			t.Errorf("%s: got ended %v, want cause %q", c.name, p.Ended, c.cause)
		}
	}
}
