package query

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
)

var now = time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)

// A syntax error must give its position and the expected form, so that the operator can correct the statement.
func TestSyntaxErrorsGivePositionAndExpectation(t *testing.T) {
	for in, want := range map[string]string{
		"":                                       "1:1: found the end; expected show, why, reclaim",
		"foo":                                    `1:1: found "foo"; expected show, why,`,
		"show":                                   "1:5: found the end; expected show jobs|waiting",
		"show jobs of":                           "1:13: found the end; expected a name as in show jobs",
		"show jobs\n  frob x":                    `2:3: found "frob"; expected show jobs`,
		"show jobs of a of b":                    "1:16: found a second filter of the same kind",
		"why a b":                                `1:7: found "b"; expected why JOB`,
		"why j at 3":                             "1:7: a query has no revision",
		"team a":                                 "1:7: found the end; expected team TEAM weight N",
		"team a quota 3":                         "1:6: found no weight; expected weight with a value",
		"team a weight 3 grace 5s":               `1:17: found "grace"; expected weight, quota`,
		"team a weight 99999999999999999999":     "1:8: weight 99999999999999999999 is out of range",
		"team a weight 1 at":                     "1:19: found the end; expected a number as in team",
		"shape a b 3y8 grace 5s":                 `1:11: found "3y8"; expected shape TEAM NAME 3x8`,
		"shape a b 3x8 cores 1":                  "1:7: found no grace",
		"job j t 2x8":                            `1:7: found "t"; expected "of" as in job JOB of TEAM`,
		"job j of t 2x8 urgent urgent":           "1:23: urgent is given twice",
		"job J of t 1x1":                         `1:5: job id: "J" is not a name`,
		"job j of t 99999999999x1":               "1:5: job shape.tasks: 2147483647 is out of range",
		"cancel at 17":                           `1:8: found "at"; expected cancel JOB`,
		"show jobs; drop":                        `1:10: found ";"; expected show`,
		strings.Repeat("x", MaxStatementBytes+1): "1:1: the statement has",
		"show " + strings.Repeat("x", 9000):      "1:6: found \"xxxx",
	} {
		_, err := Parse(in)
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || !strings.HasPrefix(err.Error(), want) || len(err.Error()) > 500 {
			t.Errorf("%.60q: got %.300v, want %s", in, err, want)
		}
	}
}

func mustParse(t *testing.T, text string) *Statement {
	t.Helper()
	s, err := Parse(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return s
}

// An option that the parser accepts but JobSpec ignores would be lost without an error.
func TestJobStatementSetsEveryProperty(t *testing.T) {
	s := mustParse(t, `job big of brennholz 3x8 cores 16 memory 64 adjacent rack class route guarantee "at"
		estimate 1h30m grace 500ms checkpoint urgent at 17`)
	want := model.JobSpec{
		ID: "big", Team: "brennholz", Class: "route", Guarantee: "at", Estimate: 90 * time.Minute,
		Grace: 500 * time.Millisecond, Checkpoint: true, Urgent: true,
		Shape: model.Shape{Tasks: 3, GPUs: 8, Cores: 16, Memory: 64, Adjacent: model.SameRack},
	}
	if got := s.JobSpec(); got != want {
		t.Errorf("job: got %+v, want %+v", got, want)
	}
	if got, named := s.Revision(); got != 17 || !named {
		t.Errorf("revision: got %d, %v, want 17", got, named)
	}
	if got := mustParse(t, "cancel a b at 3").Cancel.Jobs; len(got) != 2 || got[1] != "b" {
		t.Errorf("cancelled jobs: got %v, want a and b", got)
	}
}

// An edit must change only the object that it names, and only in the copy of the declaration: otherwise guarantees would change
// before the change is accepted.
func TestEditsChangeTheirSubjectOnly(t *testing.T) {
	d, err := decl.Parse([]byte("teams:\n- {name: a, weight: 1, guarantees: [{name: g, grace: 5s, shape: {tasks: 1, gpus: 8}}]}\n- {name: b, weight: 2}\nevacuate: [chur]\n"))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ text, want string }{
		{"team a weight 9", "~ teams.a.weight: 1 -> 9"},
		{"team c weight 3 quota 8", "+ teams.c.quota: 8\n+ teams.c.weight: 3"},
		{"team b remove", "- teams.b.weight: 2"},
		{"shape b h 3x8 adjacent rack centre chur grace 2s", "+ teams.b.guarantees.h.centre: chur\n" +
			"+ teams.b.guarantees.h.grace: 2s\n+ teams.b.guarantees.h.shape: 3x8 adjacent rack"},
		{"shape a g 2x8 grace 5s", "~ teams.a.guarantees.g.shape: 1x8 -> 2x8"},
		{"shape a g remove", "- teams.a.guarantees.g.grace: 5s\n- teams.a.guarantees.g.shape: 1x8"},
		{"shape a nosuch remove", `there is no guarantee "a/nosuch"`},
		{"shape c g 1x1 grace 1s", `there is no team "c"`},
		{"team c remove", `there is no team "c"`},
	} {
		before := len(decl.Diff(model.Declaration{}, d))
		after, err := mustParse(t, tc.text).EditDeclaration(d)
		var lines []string
		for _, c := range decl.Diff(d, after) {
			lines = append(lines, c.String())
		}
		got := strings.Join(lines, "\n")
		if err != nil {
			got = err.Error()
		}
		if got != tc.want {
			t.Errorf("%s: got\n%s\nwant\n%s", tc.text, got, tc.want)
		}
		if got := len(decl.Diff(model.Declaration{}, d)); got != before {
			t.Errorf("%s: Edit changed the declaration that it was given", tc.text)
		}
	}
}

// cellSnapshot returns the snapshot of a cell of three workers in which a job borrows the accelerators of a guarantee.
func cellSnapshot(t *testing.T) Snapshot {
	t.Helper()
	d, err := decl.Parse([]byte(`teams:
- {name: trust, weight: 1, guarantees: [{name: nightly, grace: 5s, shape: {tasks: 2, gpus: 8, adjacent: rack}}]}
- {name: brennholz, weight: 3}
`))
	if err != nil {
		t.Fatal(err)
	}
	state := &plan.State{Cell: "c"}
	var events []plan.Event
	for _, id := range []model.WorkerID{"w1", "w2", "w3"} {
		events = append(events, plan.Event{Kind: plan.WorkerSeen, Worker: &model.Worker{
			ID: id, Region: "west", Centre: "glasgow-a", Rack: "r1", Cores: 128, Memory: 512, GPUs: 8, Up: true,
		}})
	}
	events = append(events, plan.Event{Kind: plan.Declared, Declaration: &d})
	for _, text := range []string{
		"job loan of brennholz 3x8 checkpoint grace 1s estimate 1h", "job late of brennholz 1x8 estimate 1h",
		"job huge of brennholz 9x8 adjacent rack",
	} {
		spec := mustParse(t, text).JobSpec()
		events = append(events, plan.Event{Kind: plan.Submitted, Job: &spec})
	}
	state.Apply(now, events...)
	first := plan.Decide(now, state)
	state.Accept(now, first.Actions)
	state.Apply(now, plan.Event{Kind: plan.Started, Jobs: []model.JobID{"loan"}})
	snap := Snapshot{
		Now: now.Add(time.Minute), Revision: 4, Declaration: d,
		Minions: []model.Record{{ID: "m1", Service: "s", Centre: "glasgow-a", Load: model.Load{Running: 2, Slots: 8}, Revision: 4}},
		Missing: []string{"the cell chur: it has no owner\x1b[2J"},
	}
	snap.Observe(state, plan.Decide(snap.Now, state.Clone()))
	for i := range snap.Jobs {
		if snap.Jobs[i].Spec.ID == "late" {
			snap.Jobs[i].Size = plan.Size{Declared: plan.Amount{Memory: 10}, Observed: plan.Amount{Cores: 3, Memory: 90}, Effective: plan.Amount{Cores: 4, Memory: 113}}
			snap.Jobs[i].LastStop = plan.Reason{Code: plan.MemoryExceeded, Need: 90, Have: 10}
		}
	}
	return snap
}

// Operators act on the answers, so they must show which jobs run where, what is held for a guarantee and why a job waits.
func TestQueryAnswers(t *testing.T) {
	snap := cellSnapshot(t)
	for _, tc := range []struct{ text, want string }{
		{"show jobs", "loan brennholz running 3x8 spare w1:8 w2:8 w3:8 1m0s"},
		{"show jobs", "2 more jobs wait"},
		{"show jobs", `not included: the cell chur: it has no owner?[2J`},
		{"show waiting", "late brennholz 1x8 1m0s"},
		{"show anchors", "trust nightly 2x8 adjacent rack 5s w2:8 w3:8 loan (of brennholz)"},
		{"show workers", "w3 glasgow-a r1 8 8 up"},
		{"show teams", "brennholz 3 - 24 2 -"},
		{"show teams", "trust 1 - 0 0 nightly 2x8 adjacent rack"},
		{"show minions", "m1 s glasgow-a ready 2 8 4"},
		{"why late", "late queued"},
		{"why late", "; stopped for exceeding its declared memory: used 90 GB, declared 10 GB"},
		{"show usage", "late brennholz queued 0 cores 10 GB 3 cores 90 GB 4 cores 113 GB stopped for exceeding its declared memory"},
		{"why huge", "huge queued too large: needs 72, has 24"},
		{"why huge", "can't run unless"},
		{"why loan", "it has its accelerators: w1:8 w2:8 w3:8"},
		{"reclaim trust nightly", "loan w1:8 w2:8 w3:8 2026-03-04T05:07:"},
	} {
		a, err := Eval(mustParse(t, tc.text), snap)
		if err != nil {
			t.Fatalf("%s: %v", tc.text, err)
		}
		var buf bytes.Buffer
		if err := a.WriteTable(&buf); err != nil {
			t.Fatal(err)
		}
		got := strings.Join(strings.Fields(buf.String()), " ")
		if !strings.Contains(got, tc.want) {
			t.Errorf("%s: got\n%s\nwant it to contain\n%s", tc.text, buf.String(), tc.want)
		}
	}
}

// Operators must see what an evacuation affects: the workers and minions of the data centre, the jobs that still run there, and
// the jobs and guarantees that wait for it.
func TestAnswersNameEvacuation(t *testing.T) {
	snap := cellSnapshot(t)
	snap.Declaration.Evacuate = []model.Centre{"glasgow-a"}
	for i := range snap.Jobs {
		if snap.Jobs[i].Spec.ID == "late" {
			snap.Jobs[i].Reason = plan.Reason{Code: plan.NoRoom, Need: 8, Evacuated: "glasgow-a"}
		}
	}
	for i := range snap.Anchors {
		snap.Anchors[i].Slots = nil
		snap.Anchors[i].Shortfall = &plan.Shortfall{Team: "trust", Guarantee: "nightly", Cause: plan.CentreEvacuated, Centre: "glasgow-a"}
	}
	for _, tc := range []struct{ text, want string }{
		{"show workers", "w3 glasgow-a r1 8 8 up, evacuated"},
		{"show minions", "m1 s glasgow-a ready, evacuated 2 8 4"},
		{"show shortfalls", "trust nightly data centre evacuated: glasgow-a"},
		{"show waiting", "no room: needs 8, has 0, data centre evacuated: glasgow-a"},
		{"why late", "no room: needs 8, has 0, data centre evacuated: glasgow-a"},
		{"why loan", "data centre glasgow-a is evacuated; the job runs there to its end"},
		{"reclaim trust nightly", "the guarantee has a shortfall: data centre evacuated: glasgow-a"},
	} {
		a, err := Eval(mustParse(t, tc.text), snap)
		if err != nil {
			t.Fatalf("%s: %v", tc.text, err)
		}
		var buf bytes.Buffer
		if err := a.WriteTable(&buf); err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(strings.Fields(buf.String()), " "); !strings.Contains(got, tc.want) {
			t.Errorf("%s: got\n%s\nwant it to contain\n%s", tc.text, buf.String(), tc.want)
		}
	}
}

// A list must contain only the objects that its filters select, and a query about a missing object must fail.
func TestFiltersAndMissingObjects(t *testing.T) {
	snap := cellSnapshot(t)
	for text, want := range map[string]int{
		"show jobs of trust": 0, "show jobs of brennholz": 1, "show jobs on w1": 1, "show jobs on w9": 0,
		"show workers in glasgow-a": 3, "show workers in chur": 0, "show workers on w2": 1, "show waiting of trust": 0,
		"show shortfalls": 0,
	} {
		a, err := Eval(mustParse(t, text), snap)
		if got := len(a.Rows); got != want || err != nil {
			t.Errorf("%s: got %d rows, %v, want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"why nosuch", "reclaim trust nosuch", "reclaim nosuch nightly"} {
		_, err := Eval(mustParse(t, text), snap)
		var missing *MissingError
		if !errors.As(err, &missing) {
			t.Errorf("%s: got %v, want a MissingError", text, err)
		}
	}
}

// FuzzParse checks that Parse accepts no statement that later steps can't handle, and that errors have a position.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(filepath.Join("testdata", "corpus.txt"))
	if err != nil {
		f.Fatal(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Line < 1 || syntax.Column < 1 || syntax.Text == "" {
				t.Fatalf("error %v: want a SyntaxError with a position and a text", err)
			}
			return
		}
		switch {
		case !s.IsChange():
			if a, err := Eval(s, Snapshot{}); err == nil && (a.Rows == nil || len(a.Columns) == 0) {
				t.Fatalf("the answer has no columns or its rows are nil")
			}
		case s.IsDeclarationChange():
			_, _ = s.EditDeclaration(model.Declaration{})
		case s.Job != nil:
			if problems := decl.CheckJob(s.JobSpec()); len(problems) > 0 {
				t.Fatalf("accepted an invalid job: %v", problems)
			}
		}
	})
}
