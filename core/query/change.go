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

// Revision returns the revision that the change was made for, and whether the statement names one.
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

// Options that each kind of statement may have.
var (
	teamOptions  = []string{"weight", "quota"}
	shapeOptions = []string{"cores", "memory", "adjacent", "centre", "grace"}
	jobOptions   = []string{
		"cores", "memory", "adjacent", "class", "guarantee", "estimate", "grace", "checkpoint", "urgent",
	}
)

// check returns an error for a statement that the grammar accepts but that is not valid.
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

// check returns an error if two filters are of the same kind.
func (s *Show) check() error {
	var given Filter
	for _, f := range s.Filters {
		if f.Team != "" && given.Team != "" || f.Centre != "" && given.Centre != "" || f.Worker != "" && given.Worker != "" {
			return &SyntaxError{f.Pos.Line, f.Pos.Column, `found a second filter of the same kind; expected at most one each of "of", "in" and "on"`}
		}
		given.Team, given.Centre, given.Worker = given.Team+f.Team, given.Centre+f.Centre, given.Worker+f.Worker
	}
	return nil
}

// checkOptions returns an error for options that are not allowed, given twice or unreadable, and for a missing required one.
func checkOptions(pos lexer.Position, options []*Option, allowed []string, required string) error {
	given := map[string]bool{}
	for _, o := range options {
		name, value := o.nameAndValue()
		switch {
		case !slices.Contains(allowed, name):
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("found %q; expected %s", name, strings.Join(allowed, ", "))}
		case given[name]:
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("%s is given twice", name)}
		case value != "" && !isReadable(name, value):
			return &SyntaxError{o.Pos.Line, o.Pos.Column, fmt.Sprintf("%s %s is out of range", name, value)}
		}
		given[name] = true
	}
	if required != "" && !given[required] {
		return &SyntaxError{pos.Line, pos.Column, fmt.Sprintf("found no %s; expected %s with a value", required, required)}
	}
	return nil
}

// nameAndValue returns the name of the option that is set, and its value.
func (o *Option) nameAndValue() (string, string) {
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
	// The option was given an empty name in quotes.
	return "an empty name", ""
}

// isReadable reports whether readNumber or readTime can read the value of an option. The range of a value is checked with the
// declaration or the job.
func isReadable(name, value string) bool {
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

// readNumber returns the number in a value that isReadable has accepted.
func readNumber(value string) int {
	n, _ := strconv.Atoi(value)
	return n
}

// readTime returns the duration in a value that isReadable has accepted.
func readTime(value string) time.Duration {
	d, _ := time.ParseDuration(value)
	return d
}

// readShape reads a shape such as 3x8. A number that is too large to read becomes the largest one, which no check allows.
func readShape(text string) model.Shape {
	tasks, gpus, _ := strings.Cut(text, "x")
	readCount := func(s string) int {
		n, err := strconv.ParseInt(s, 10, 32)
		if err != nil {
			return math.MaxInt32
		}
		return int(n)
	}
	return model.Shape{Tasks: readCount(tasks), GPUs: readCount(gpus)}
}

// JobSpec returns the specification of the job that a job statement submits.
func (s *Statement) JobSpec() model.JobSpec {
	j := s.Job
	spec := model.JobSpec{ID: model.JobID(j.ID), Team: model.Team(j.Team), Shape: readShape(j.Size)}
	for _, o := range j.Options {
		o.applyToShape(&spec.Shape)
		switch name, value := o.nameAndValue(); name {
		case "class":
			spec.Class = value
		case "guarantee":
			spec.Guarantee = value
		case "estimate":
			spec.Estimate = readTime(value)
		case "grace":
			spec.Grace = readTime(value)
		case "checkpoint":
			spec.Checkpoint = true
		case "urgent":
			spec.Urgent = true
		}
	}
	return spec
}

// applyToShape sets the property of the shape that the option names, if it names one.
func (o *Option) applyToShape(s *model.Shape) {
	switch name, value := o.nameAndValue(); name {
	case "cores":
		s.Cores = readNumber(value)
	case "memory":
		s.Memory = readNumber(value)
	case "adjacent":
		s.Adjacent = model.Adjacency(value)
	}
}

// MissingError reports a statement about an object that does not exist.
type MissingError struct{ Kind, Name string }

// Error names the kind and the name of the missing object.
func (e *MissingError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// IsDeclarationChange reports whether the statement is a change of the declaration.
func (s *Statement) IsDeclarationChange() bool { return s.Team != nil || s.Shape != nil }

// EditDeclaration returns a copy of d with the change of a team or shape statement. The result may be invalid.
func (s *Statement) EditDeclaration(d model.Declaration) (model.Declaration, error) {
	d.Teams = slices.Clone(d.Teams)
	if s.Team != nil {
		return s.Team.edit(d)
	}
	return s.Shape.edit(d)
}

// teamIndex returns the index of a team in d, or -1.
func teamIndex(d model.Declaration, name string) int {
	return slices.IndexFunc(d.Teams, func(t model.TeamSpec) bool { return string(t.Name) == name })
}

func (t *Team) edit(d model.Declaration) (model.Declaration, error) {
	i := teamIndex(d, t.Name)
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
		switch name, value := o.nameAndValue(); name {
		case "weight":
			d.Teams[i].Weight = readNumber(value)
		case "quota":
			d.Teams[i].Quota = readNumber(value)
		}
	}
	return d, nil
}

func (s *Shape) edit(d model.Declaration) (model.Declaration, error) {
	i := teamIndex(d, s.Team)
	if i < 0 {
		return d, &MissingError{"team", s.Team}
	}
	team := &d.Teams[i]
	team.Guarantees = slices.Clone(team.Guarantees)
	guaranteeAt := slices.IndexFunc(team.Guarantees, func(g model.Guarantee) bool { return g.Name == s.Name })
	if s.Remove {
		if guaranteeAt < 0 {
			return d, &MissingError{"guarantee", s.Team + "/" + s.Name}
		}
		team.Guarantees = slices.Delete(team.Guarantees, guaranteeAt, guaranteeAt+1)
		return d, nil
	}
	g := model.Guarantee{Name: s.Name, Shape: readShape(s.Size)}
	for _, o := range s.Options {
		o.applyToShape(&g.Shape)
		switch name, value := o.nameAndValue(); name {
		case "centre":
			g.Centre = model.Centre(value)
		case "grace":
			g.Grace = readTime(value)
		}
	}
	if guaranteeAt < 0 {
		team.Guarantees = append(team.Guarantees, g)
	} else {
		team.Guarantees[guaranteeAt] = g
	}
	return d, nil
}
