package query

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
)

// Revision returns the revision that the change was made for, and whether it names one.
func (s *Statement) Revision() (model.Revision, bool) {
	if s.At == nil {
		return 0, false
	}
	n, err := strconv.ParseUint(s.At.Revision, 10, 64)
	if err != nil {
		n = math.MaxUint64
	}
	return model.Revision(n), true
}

// options of each kind of statement, and those that have to be given.
var (
	teamOptions  = []string{"weight", "quota"}
	shapeOptions = []string{"cores", "memory", "adjacent", "centre", "grace"}
	jobOptions   = []string{
		"cores", "memory", "adjacent", "class", "guarantee", "estimate", "grace", "checkpoint", "urgent",
	}
)

// check finds faults that the grammar can't express.
func (s *Statement) check() error {
	switch {
	case s.Show != nil:
		return s.Show.check()
	case s.Team != nil && !s.Team.Remove:
		return checkOptions(s.Team.Pos, s.Team.Options, teamOptions, "weight")
	case s.Shape != nil && !s.Shape.Remove:
		return checkOptions(s.Shape.Pos, s.Shape.Options, shapeOptions, "grace")
	case s.Job != nil:
		if err := checkOptions(s.Job.Pos, s.Job.Options, jobOptions, ""); err != nil {
			return err
		}
		if problems := decl.CheckJob(s.JobSpec()); len(problems) > 0 {
			return &SyntaxError{s.Job.Pos.Line, s.Job.Pos.Column, "job " + problems[0].Path + ": " + problems[0].Text}
		}
	}
	return nil
}

func (s *Show) check() error {
	var seen Filter
	for _, f := range s.Filters {
		if f.Team != "" && seen.Team != "" || f.Centre != "" && seen.Centre != "" || f.Worker != "" && seen.Worker != "" {
			return &SyntaxError{f.Pos.Line, f.Pos.Column, "the list is restricted twice in the same way; expected one of each"}
		}
		seen.Team, seen.Centre, seen.Worker = seen.Team+f.Team, seen.Centre+f.Centre, seen.Worker+f.Worker
	}
	return nil
}

func checkOptions(pos lexer.Position, options []*Option, allowed []string, required string) error {
	seen := map[string]bool{}
	for _, o := range options {
		name, value := o.field()
		switch {
		case !slices.Contains(allowed, name):
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("found %q; expected %s", name, strings.Join(allowed, ", "))}
		case seen[name]:
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("%s is there twice", name)}
		case value != "" && !fits(name, value):
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("%s %s is out of range", name, value)}
		}
		seen[name] = true
	}
	if required != "" && !seen[required] {
		return &SyntaxError{pos.Line, pos.Column, fmt.Sprintf("found no %s; expected %s with a value", required, required)}
	}
	return nil
}

// field returns the name of the option that is set, and its value.
func (o *Option) field() (string, string) {
	for _, f := range []struct{ name, value string }{
		{"weight", o.Weight},
		{"quota", o.Quota},
		{"cores", o.Cores},
		{"memory", o.Memory},
		{"adjacent", o.Adjacent},
		{"centre", o.Centre},
		{"grace", o.Grace},
		{"class", o.Class},
		{"guarantee", o.Guarantee},
		{"estimate", o.Estimate},
	} {
		if f.value != "" {
			return f.name, f.value
		}
	}
	switch {
	case o.Checkpoint:
		return "checkpoint", ""
	case o.Urgent:
		return "urgent", ""
	}
	return "an empty name", ""
}

// fits reports whether the value can be read; its range is checked with the declaration.
func fits(name, value string) bool {
	switch name {
	case "weight", "quota", "cores", "memory":
		_, err := strconv.Atoi(value)
		return err == nil
	case "grace", "estimate":
		_, err := time.ParseDuration(value)
		return err == nil
	}
	return true
}

// number reads a value that fits has accepted.
func number(value string) int {
	n, _ := strconv.Atoi(value)
	return n
}

func duration(value string) time.Duration {
	d, _ := time.ParseDuration(value)
	return d
}

// size reads a token such as 3x8; numbers that are too long become too large for any check.
func size(text string) model.Shape {
	tasks, gpus, _ := strings.Cut(text, "x")
	read := func(s string) int {
		n, err := strconv.ParseInt(s, 10, 32)
		if err != nil {
			return math.MaxInt32
		}
		return int(n)
	}
	return model.Shape{Tasks: read(tasks), GPUs: read(gpus)}
}

// JobSpec returns the job that a job statement submits.
func (s *Statement) JobSpec() model.JobSpec {
	j := s.Job
	spec := model.JobSpec{ID: model.JobID(j.ID), Team: model.Team(j.Team), Shape: size(j.Size)}
	for _, o := range j.Options {
		o.shape(&spec.Shape)
		switch name, value := o.field(); name {
		case "class":
			spec.Class = value
		case "guarantee":
			spec.Guarantee = value
		case "estimate":
			spec.Estimate = duration(value)
		case "grace":
			spec.Grace = duration(value)
		case "checkpoint":
			spec.Checkpoint = true
		case "urgent":
			spec.Urgent = true
		}
	}
	return spec
}

func (o *Option) shape(s *model.Shape) {
	switch name, value := o.field(); name {
	case "cores":
		s.Cores = number(value)
	case "memory":
		s.Memory = number(value)
	case "adjacent":
		s.Adjacent = model.Adjacency(value)
	}
}

// MissingError reports a statement about something that does not exist.
type MissingError struct{ Kind, Name string }

// Error names what is missing.
func (e *MissingError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// Edits reports whether the statement changes the declaration.
func (s *Statement) Edits() bool { return s.Team != nil || s.Shape != nil }

// Edit returns the declaration that a team or shape statement makes of d. The result may be invalid.
func (s *Statement) Edit(d model.Declaration) (model.Declaration, error) {
	d.Teams = slices.Clone(d.Teams)
	if s.Team != nil {
		return s.Team.edit(d)
	}
	return s.Shape.edit(d)
}

func indexTeam(d model.Declaration, name string) int {
	return slices.IndexFunc(d.Teams, func(t model.TeamSpec) bool { return string(t.Name) == name })
}

func (t *Team) edit(d model.Declaration) (model.Declaration, error) {
	i := indexTeam(d, t.Name)
	if t.Remove {
		if i < 0 {
			return d, &MissingError{"team", t.Name}
		}
		d.Teams = slices.Delete(d.Teams, i, i+1)
		return d, nil
	}
	if i < 0 {
		d.Teams = append(d.Teams, model.TeamSpec{Name: model.Team(t.Name)})
		i = len(d.Teams) - 1
	}
	for _, o := range t.Options {
		switch name, value := o.field(); name {
		case "weight":
			d.Teams[i].Weight = number(value)
		case "quota":
			d.Teams[i].Quota = number(value)
		}
	}
	return d, nil
}

func (s *Shape) edit(d model.Declaration) (model.Declaration, error) {
	i := indexTeam(d, s.Team)
	if i < 0 {
		return d, &MissingError{"team", s.Team}
	}
	team := &d.Teams[i]
	team.Guarantees = slices.Clone(team.Guarantees)
	j := slices.IndexFunc(team.Guarantees, func(g model.Guarantee) bool { return g.Name == s.Name })
	if s.Remove {
		if j < 0 {
			return d, &MissingError{"guarantee", s.Team + "/" + s.Name}
		}
		team.Guarantees = slices.Delete(team.Guarantees, j, j+1)
		return d, nil
	}
	g := model.Guarantee{Name: s.Name, Shape: size(s.Size)}
	for _, o := range s.Options {
		o.shape(&g.Shape)
		switch name, value := o.field(); name {
		case "centre":
			g.Centre = model.Centre(value)
		case "grace":
			g.Grace = duration(value)
		}
	}
	if j < 0 {
		team.Guarantees = append(team.Guarantees, g)
	} else {
		team.Guarantees[j] = g
	}
	return d, nil
}
