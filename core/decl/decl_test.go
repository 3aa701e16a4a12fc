package decl

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wagtailhoist/core/model"
)

const validDocument = `
policy: {compact: 0.25}
teams:
  - name: brennholz
    weight: 3
    quota: 24
    guarantees:
      - name: routes
        centre: lausanne
        grace: 5s
        shape: {tasks: 3, gpus: 8, adjacent: rack}
  - name: "cycling"
    weight: 1
evacuate: [lausanne, chur]
`

func TestParse(t *testing.T) {
	got, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	want := model.Declaration{Policy: model.Policy{Compact: 0.25}, Teams: []model.TeamSpec{
		{Name: "brennholz", Weight: 3, Quota: 24, Guarantees: []model.Guarantee{{
			Name: "routes", Centre: "lausanne", Grace: 5 * time.Second,
			Shape: model.Shape{Tasks: 3, GPUs: 8, Adjacent: model.SameRack},
		}}},
		{Name: "cycling", Weight: 1},
	}, Evacuate: []model.Centre{"lausanne", "chur"}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("declaration: got %v, want %v", got, want)
	}
}

// Reporting only the first problem of a document would cost the operator one attempt for each problem.
func TestEveryProblemHasItsPosition(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		want     []string
	}{
		{"many", `policy:
  compact: 2
teams:
  - name: Big
    weight: 0
    colour: red
    guarantees:
      - name: g
        grace: 5
        shape: {tasks: 100, gpus: many, adjacent: near}
  - name: b
    weight: 1
    weight: 2
  - name: b
    weight: 1
    quota: 3
    guarantees: [{name: g, grace: 5s, shape: {tasks: 1, gpus: 4}}, {name: g, grace: 2h, shape: {tasks: 1, gpus: 0}}]
`, []string{
			"2:12: policy.compact: 2 is out of range",
			`4:11: teams[0].name: "Big" is not a name`,
			"5:13: teams[0].weight: 0 is out of range",
			"6:5: teams[0].colour: unknown key; expected one of name, weight, quota, guarantees",
			"9:16: teams[0].guarantees[0].grace: expected a time",
			"10:24: teams[0].guarantees[0].shape.tasks: 100 is out of range",
			"10:35: teams[0].guarantees[0].shape.gpus: expected a whole number",
			`10:51: teams[0].guarantees[0].shape.adjacent: "near" is unknown`,
			"13:5: teams[1].weight: duplicate key",
			`14:11: teams[2].name: the name "b" is taken by teams[1]`,
			"16:12: teams[2].quota: 3 is below the 4 accelerators",
			`17:75: teams[2].guarantees[1].name: the name "g" is taken`,
			"17:85: teams[2].guarantees[1].grace: 2h0m0s is out of range",
			"17:113: teams[2].guarantees[1].shape.gpus: a guarantee needs accelerators",
		}},
		{"empty", "", []string{"1:1: the document is empty"}},
		{"syntax", "teams: [", []string{"1:8: "}},
		{"two documents", validDocument + "---\nteams: []\n", []string{"a second document"}},
		{"scalar", "teams", []string{"1:1: expected a mapping with policy, teams"}},
		{"evacuate", "evacuate: [lausanne, Chur, '', 7, lausanne]\n", []string{
			`1:22: evacuate[1]: "Chur" is not a name`, `1:28: evacuate[2]: "" is not a name`, "1:32: evacuate[3]: expected a string",
		}},
		{"evacuate one without a list", "evacuate: lausanne\n", []string{"1:11: evacuate: expected a list"}},
		{"evacuate nothing", "evacuate:\n", []string{"evacuate: no value; expected a list"}},
		{"evacuate too many", "evacuate: [" + strings.Repeat("c, ", maxEvacuated) + "c]\n", []string{"evacuate: 1001 data centres; expected at most 1000"}},
		{"no value", "teams:\n", []string{"teams: no value; expected a list"}},
		{"alias", "policy: &p {compact: 0}\nteams: *p\n", []string{"policy: anchors", "teams: anchors"}},
		{"not a number", "policy: {compact: .nan}\n", []string{"policy.compact: expected a number"}},
		{"huge number", "teams: [{name: a, weight: 99999999999999999999}]", []string{"teams[0].weight: expected a whole number"}},
		{"deep flow", "teams: " + strings.Repeat("[", 100000), []string{"nested too deeply"}},
		{"deep block", "teams:\n  " + strings.Repeat("- ", 100000), []string{"nested too deeply"}},
		{"large", strings.Repeat("#", MaxDocumentBytes+1), []string{"the limit is"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.in))
			var problems *ProblemsError
			if !errors.As(err, &problems) {
				t.Fatalf("error: got %v, want a ProblemsError", err)
			}
			lines := strings.Split(err.Error(), "\n")
			if got, want := len(lines), len(tc.want); got != want {
				t.Fatalf("problems: got %d, want %d:\n%.2000v", got, want, err)
			}
			for i, want := range tc.want {
				if !strings.Contains(lines[i], want) {
					t.Errorf("problem %d: got %s, want %s", i, lines[i], want)
				}
			}
		})
	}
}

// A file that is not a declaration has a problem on each line; the list must stay short and be computed quickly.
func TestProblemListIsBounded(t *testing.T) {
	for _, line := range []string{"- 1\n", "- {name: A}\n", "- {name: a, weight: 0}\n"} {
		begin := time.Now()
		_, err := Parse([]byte("teams:\n" + strings.Repeat(line, 150<<10/len(line))))
		var problems *ProblemsError
		if !errors.As(err, &problems) || len(problems.Problems) > maxProblems {
			t.Errorf("%q: got %.100v, want at most %d problems", line, err, maxProblems)
		}
		if got := time.Since(begin); got > 20*time.Second {
			t.Errorf("%q: took %v", line, got)
		}
	}
}

func TestDiffNamesEachChange(t *testing.T) {
	old, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	new, err := Parse([]byte(`
teams:
  - {name: velodrome, weight: 2}
  - name: brennholz
    weight: 3
    guarantees:
      - {name: routes, grace: 6s, shape: {tasks: 3, gpus: 8, adjacent: rack}}
evacuate: [chur, bern, chur]
`))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range Diff(old, new) {
		lines = append(lines, c.String())
	}
	got := strings.Join(lines, "\n")
	want := `+ evacuate.bern: true
- evacuate.lausanne: true
~ policy.compact: 0.25 -> 0
- teams.brennholz.guarantees.routes.centre: lausanne
~ teams.brennholz.guarantees.routes.grace: 5s -> 6s
- teams.brennholz.quota: 24
- teams.cycling.weight: 1
+ teams.velodrome.weight: 2`
	if got != want {
		t.Errorf("differences: got\n%s\nwant\n%s", got, want)
	}
	if got := Diff(new, new); len(got) != 0 {
		t.Errorf("differences from itself: got %v, want none", got)
	}
}

// drawDeclaration draws a valid declaration.
func drawDeclaration(t *rapid.T) model.Declaration {
	name := rapid.StringMatching(`[a-z][a-z0-9_-]{0,8}[a-z0-9]`)
	d := model.Declaration{Policy: model.Policy{Compact: rapid.Float64Range(0, 1).Draw(t, "compact")}}
	for _, team := range rapid.SliceOfNDistinct(name, 0, 5, rapid.ID).Draw(t, "teams") {
		spec := model.TeamSpec{Name: model.Team(team), Weight: rapid.IntRange(1, maxWeight).Draw(t, "weight")}
		for _, g := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "guarantees") {
			spec.Guarantees = append(spec.Guarantees, model.Guarantee{
				Name: g, Centre: model.Centre(rapid.OneOf(name, rapid.Just("")).Draw(t, "centre")),
				Grace: time.Duration(rapid.Int64Range(int64(minGrace), int64(maxGrace)).Draw(t, "grace")),
				Shape: model.Shape{
					Tasks:    rapid.IntRange(1, maxTasks).Draw(t, "tasks"),
					GPUs:     rapid.IntRange(1, maxGPUs).Draw(t, "gpus"),
					Memory:   rapid.IntRange(0, maxMemoryGB).Draw(t, "memory"),
					Adjacent: rapid.SampledFrom([]model.Adjacency{model.SameCentre, model.SameRack, model.SameWorker}).Draw(t, "adjacent"),
				},
			})
		}
		d.Teams = append(d.Teams, spec)
	}
	for _, centre := range rapid.SliceOfN(name, 0, 3).Draw(t, "evacuate") {
		d.Evacuate = append(d.Evacuate, model.Centre(centre))
	}
	return d
}

// A command edits the declaration in force and writes it back as YAML. A value that changes on the way would alter a
// guarantee that the command did not touch. Names that YAML may read as other types, such as on, no and 1e3, are at risk.
func TestFormatReadsBackEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeclaration(t)
		data, err := Format(d)
		if err != nil {
			t.Fatalf("format: got %v, want none", err)
		}
		back, err := Parse(data)
		if err != nil {
			t.Fatalf("parse: got %v, want none for\n%s", err, data)
		}
		if got := Diff(d, back); len(got) > 0 {
			t.Fatalf("differences: got %v, want none", got)
		}
	})
	for _, word := range []string{"on", "no", "yes", "null", "true", "y", "nan", "e3", "x0"} {
		d := model.Declaration{Teams: []model.TeamSpec{{Name: model.Team(word), Weight: 1}}, Evacuate: []model.Centre{model.Centre(word)}}
		if _, err := Format(d); err != nil {
			t.Errorf("format with team %s: got %v, want none", word, err)
		}
	}
}

// FuzzParse checks that every document is either rejected with positions, or valid and formatted again without change.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	files, err := filepath.Glob("testdata/corpus/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		d, err := Parse(in)
		if err != nil {
			var problems *ProblemsError
			if !errors.As(err, &problems) || len(problems.Problems) == 0 || problems.Problems[0].Line < 1 {
				t.Fatalf("error without a position: %v", err)
			}
			return
		}
		if problems := Check(d); len(problems) > 0 {
			t.Fatalf("Parse accepted a declaration that Check rejects: %v", problems)
		}
		if _, err := Format(d); err != nil {
			t.Fatalf("a declaration that Parse accepted cannot be formatted: %v", err)
		}
	})
}
