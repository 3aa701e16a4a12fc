package admin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/config"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/core/query"
	"wagtailhoist/io/conf"
)

// status serves GET /status.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	out := Status{AnsweredBy: s.ID, Processes: s.Fleet.Processes()}
	slices.SortFunc(out.Processes, func(a, b Process) int { return strings.Compare(string(a.ID), string(b.ID)) })
	// The cells are only added on request, since the plans of other owners have to be read from the store.
	if s.Jobs != nil && r.URL.Query().Has("cells") {
		out.Cells = s.Jobs.Cells()
	}
	if s.Meter != nil {
		timings, err := s.Meter.Summaries()
		if err != nil {
			writeFailure(w, err)
			return
		}
		out.Timings = timings
	}
	writeJSON(w, out)
}

// current serves GET /config.
func (s *Server) current(w http.ResponseWriter, _ *http.Request) {
	c, _, ready := s.Config.InUse()
	writeJSON(w, CurrentConfig{Snapshot: c, Ready: ready})
}

// apply serves POST /config.
func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var req ApplyRequest
	var d model.Declaration
	err := s.decodeBody(w, r, &req, func() (err error) {
		d, err = decl.Parse([]byte(req.Document))
		return err
	})
	if err != nil {
		writeFailure(w, err)
		return
	}
	out, err := s.writeConfig(r.Context(), req, d)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, out)
}

// writeConfig writes a configuration with its declaration d. The write assigns the guarantees to cells, and fails if they don't
// fit there together.
func (s *Server) writeConfig(ctx context.Context, req ApplyRequest, d model.Declaration) (ApplyAnswer, error) {
	var out ApplyAnswer
	if len(req.Author) > maxAuthorBytes || len(req.Change) > maxAuthorBytes {
		return out, &Failure{Kind: KindInvalid, Text: fmt.Sprintf("author and change may have at most %d bytes each", maxAuthorBytes)}
	}
	if strings.ContainsFunc(req.Author+req.Change, func(r rune) bool { return !unicode.IsPrint(r) }) {
		// A conflict shows both on the terminals of other operators, where control characters could do harm.
		return out, &Failure{Kind: KindInvalid, Text: "author and change may contain printable characters only"}
	}
	if req.Change == "" {
		req.Change = conf.NewChange()
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	workers, err := s.Fleet.Workers(ctx)
	if err != nil {
		return out, &Failure{Kind: KindUnavailable, Text: "the guarantees can't be checked without the list of workers: " + err.Error()}
	}
	change := config.Write{Base: req.Base, Change: req.Change, Author: req.Author, Document: req.Document}
	if workers == nil {
		out.Notes = append(out.Notes, "the guarantees were not checked against the workers: no worker service is set")
	} else {
		change.GuaranteeCells = func(former map[string]model.CellID) (map[string]model.CellID, error) {
			d.GuaranteeCells = former
			return assign.Guarantees(workers, d)
		}
	}
	out.Notes = append(out.Notes, s.unknownEvacuated(workers, d.Evacuate)...)
	before, old, _ := s.Config.InUse()
	out.Revision, err = s.Config.Apply(ctx, change)
	if err != nil {
		return out, err
	}
	if before.Revision == req.Base {
		out.Changes = decl.Diff(old, d)
	}
	s.Log.Info("configuration written to the store", "revision", out.Revision, "change", req.Change, "author", req.Author)
	return out, nil
}

// unknownEvacuated returns a note for each evacuated data centre of which neither a worker nor a minion is known; its name may
// be a mistake.
func (s *Server) unknownEvacuated(workers []model.Worker, centres []model.Centre) []string {
	var notes []string
	for _, centre := range slices.Compact(slices.Sorted(slices.Values(centres))) {
		known := slices.ContainsFunc(workers, func(w model.Worker) bool { return w.Centre == centre }) ||
			slices.ContainsFunc(s.Fleet.Records(), func(r model.Record) bool { return r.Centre == centre })
		if !known {
			notes = append(notes, fmt.Sprintf("evacuated data centre %q: no worker or minion there is known", centre))
		}
	}
	return notes
}

// query serves POST /query.
func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	var req QueryRequest
	var statement *query.Statement
	err := s.decodeBody(w, r, &req, func() (err error) {
		statement, err = query.Parse(req.Text)
		return err
	})
	if err != nil {
		writeFailure(w, err)
		return
	}
	var out QueryAnswer
	if statement.IsChange() {
		out, err = s.applyChange(r.Context(), req, statement)
	} else {
		var table query.Answer
		table, err = query.Eval(statement, s.buildSnapshot(r.Context()))
		out.Answer = &table
	}
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, out)
}

// buildSnapshot returns the data that queries are evaluated on.
func (s *Server) buildSnapshot(ctx context.Context) query.Snapshot {
	c, d, _ := s.Config.InUse()
	snap := query.Snapshot{Now: time.Now(), Revision: c.Revision, Declaration: d, Minions: s.Fleet.Records()}
	slices.SortFunc(snap.Minions, func(a, b model.Record) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if s.Jobs == nil {
		snap.Missing = append(snap.Missing, "jobs, anchors and workers: this process schedules nothing")
	} else {
		s.Jobs.Observe(ctx, &snap)
	}
	return snap
}

// applyChange carries out a change. If the statement names a revision that is not in force, the change is refused.
func (s *Server) applyChange(ctx context.Context, req QueryRequest, statement *query.Statement) (QueryAnswer, error) {
	c, d, ready := s.Config.InUse()
	if !ready {
		return QueryAnswer{}, &Failure{Kind: KindUnavailable, Text: "this process has no configuration in force yet"}
	}
	base, named := statement.Revision()
	if named && base != c.Revision {
		return QueryAnswer{}, &config.ConflictError{Base: base, Have: c.Revision, Author: c.Author, Change: c.Change}
	}
	if statement.IsDeclarationChange() {
		return s.editConfig(ctx, req, statement, c.Revision, d)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	done, stored, err := s.runCommand(ctx, statement)
	if err != nil {
		return QueryAnswer{}, err
	}
	s.Log.Info("change of an operator carried out", "text", req.Text, "author", req.Author, "stored", stored)
	return QueryAnswer{Done: done, Unstored: !stored, Revision: c.Revision}, nil
}

// editConfig writes the configuration in force, d at revision base, with the edit of a statement.
func (s *Server) editConfig(
	ctx context.Context, req QueryRequest, statement *query.Statement, base model.Revision, d model.Declaration,
) (QueryAnswer, error) {
	d, err := statement.EditDeclaration(d)
	if err != nil {
		return QueryAnswer{}, err
	}
	if problems := decl.Check(d); len(problems) > 0 {
		return QueryAnswer{}, &decl.ProblemsError{Problems: problems}
	}
	document, err := decl.Format(d)
	if err != nil {
		return QueryAnswer{}, err
	}
	out, err := s.writeConfig(ctx, ApplyRequest{
		Base: base, Change: req.Change, Author: req.Author, Document: string(document),
	}, d)
	if err != nil {
		return QueryAnswer{}, err
	}
	return QueryAnswer{Done: fmt.Sprintf("accepted as revision %d", out.Revision), Revision: out.Revision}, nil
}

// runCommand carries out a change of jobs, workers or processes and describes it. With stored false, the change is accepted
// during an outage of the store and not stored yet.
func (s *Server) runCommand(ctx context.Context, statement *query.Statement) (done string, stored bool, err error) {
	if statement.Drain != nil {
		return "draining " + statement.Drain.Node, true, s.Fleet.Drain(ctx, model.NodeID(statement.Drain.Node))
	}
	if s.Jobs == nil {
		return "", false, &Failure{Kind: KindUnavailable, Text: "this process schedules nothing; ask an entry with a worker service"}
	}
	switch {
	case statement.Job != nil:
		spec := statement.JobSpec()
		done = "submitted " + string(spec.ID)
		stored, err = s.Jobs.Submit(ctx, spec)
	case statement.Cancel != nil:
		ids := make([]model.JobID, len(statement.Cancel.Jobs))
		for i, id := range statement.Cancel.Jobs {
			ids[i] = model.JobID(id)
		}
		done = fmt.Sprintf("cancelled %d jobs", len(ids))
		stored, err = s.Jobs.Cancel(ctx, ids)
	case statement.Aside != nil:
		done = "put aside " + statement.Aside.Worker
		stored, err = s.Jobs.SetQuarantined(ctx, model.WorkerID(statement.Aside.Worker), true)
	default:
		done = "returned " + statement.Back.Worker
		stored, err = s.Jobs.SetQuarantined(ctx, model.WorkerID(statement.Back.Worker), false)
	}
	return done, stored, err
}
