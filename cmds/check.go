package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"wagtailhoist/core/check"
	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/platform"
)

// Forms of a file that check examines.
const (
	formDeclaration = "declaration"
	formDesired     = "desired"
)

// checkCmd validates a declaration, or a desired state of the users' platform, without applying it.
type checkCmd struct {
	File  string `arg:"" help:"Declaration in YAML or desired state in JSON; - reads the standard input."`
	Form  string `help:"Form of the file; auto takes a desired state if the name ends with .json." enum:"auto,declaration,desired" default:"auto"`
	Admin string `help:"URL of the operators' listener of an entry; with it, the changes against the declaration in force are shown."`
	Token string `help:"Operators' secret, with --admin."`
	// Entries have a setting of the same name in another form, so the environment variable that they share is not read.
	Store      string `env:"-" help:"IP:port of the platform's store; with it, the changes against the desired state in force are shown. The store is only read."`
	GPUs       int    `name:"gpus" help:"Number of accelerators of the fleet, which guarantees must not exceed; 0 means unknown." default:"0"`
	BodyBudget int    `help:"Memory of an entry for request bodies in bytes, of which one body may take three quarters; 0 means unknown." default:"12582912"`
	Strict     bool   `help:"Fail if there are warnings."`
	outputFlags
}

// Help returns the detailed help with an example.
func (*checkCmd) Help() string {
	return `Lists every fault of a declaration with its line and column. With --admin it also shows what applying
the declaration would change.

Lists every fault of a desired state with its line and column, what is wrong and what to do, errors first.
An error is what entries refuse, or accept but can't serve as written. A warning is what they serve, but
probably not as intended. With --store it also shows what sending the state would change, and which callers
that refuses.

Example: wagtailhoist check teams.yaml
Example: wagtailhoist check --store 10.0.0.9:7500 --gpus 96 --strict desired.json` + exitCodesHelp
}

func (c *checkCmd) validate(k *validator) {
	if c.Admin != "" {
		k.url("admin", c.Admin)
		k.token("token", c.Token)
	}
	if c.Store != "" && !validAddress(c.Store, 1) {
		k.failFlag("store", c.Store, "IP:port")
	}
	if c.Store != "" && c.form() == formDeclaration {
		k.failFlag("store", c.Store, "nothing with a declaration; --admin shows its changes")
	}
	k.count("gpus", c.GPUs, 0, maxFleet)
	k.count("body-budget", c.BodyBudget, 0, maxCheckedBudget)
}

const (
	// maxFleet bounds the accelerators of a fleet, and maxCheckedBudget the memory of an entry for bodies: 1 TiB.
	maxFleet         = 1 << 30
	maxCheckedBudget = 1 << 40
)

// form returns the form of the file.
func (c *checkCmd) form() string {
	switch {
	case c.Form == formDeclaration || c.Form == formDesired:
		return c.Form
	case strings.EqualFold(filepath.Ext(c.File), ".json"):
		return formDesired
	}
	return formDeclaration
}

// checkResult is the JSON output of check.
type checkResult struct {
	Problems []decl.Problem `json:"problems"`
	Teams    int            `json:"teams"`
	// Base is the revision in force that Changes are relative to, nil without --admin.
	Base    *model.Revision `json:"base,omitempty"`
	Changes []decl.Change   `json:"changes,omitempty"`
}

// Run validates the file and, with --admin or --store, compares it with what is in force.
func (c *checkCmd) Run(s streams) error {
	document, err := readFile(c.File)
	if err != nil {
		return err
	}
	if c.form() == formDesired {
		return c.runDesired(s, document)
	}
	d, err := decl.Parse(document)
	var problems *decl.ProblemsError
	if errors.As(err, &problems) {
		return c.printProblems(s, problems)
	}
	if err != nil {
		return err
	}
	if problems := c.excessGuarantees(d); len(problems) > 0 {
		return c.printProblems(s, &decl.ProblemsError{Problems: problems})
	}
	result := checkResult{Problems: []decl.Problem{}, Teams: len(d.Teams)}
	if c.Admin != "" {
		flags := operatorFlags{Admin: c.Admin, Token: c.Token}
		base, changes, err := diffInForce(flags.client(), d)
		if err != nil {
			return err
		}
		result.Base, result.Changes = &base, changes
	}
	return c.print(s.out, result, func(w io.Writer) error {
		fmt.Fprintf(w, "%s: %d teams, no problems\n", c.File, result.Teams)
		if result.Base != nil {
			fmt.Fprintf(w, "%d changes from revision %d\n", len(result.Changes), *result.Base)
		}
		return writeLines(w, result.Changes)
	})
}

// printProblems prints the problems and returns the error that sets the exit code.
func (c *checkCmd) printProblems(s streams, problems *decl.ProblemsError) error {
	err := c.print(s.out, checkResult{Problems: problems.Problems}, func(w io.Writer) error {
		for _, p := range problems.Problems {
			if p.Line == 0 {
				fmt.Fprintf(w, "%s: %s: %s\n", c.File, p.Path, p.Text)
				continue
			}
			fmt.Fprintf(w, "%s:%s\n", c.File, p)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return &exitError{exitUsage, fmt.Errorf("%s has %d problems", c.File, len(problems.Problems))}
}

// excessGuarantees returns a problem if the guarantees of a declaration add up to more than the fleet.
func (c *checkCmd) excessGuarantees(d model.Declaration) []decl.Problem {
	var teams []check.Team
	for i, team := range d.Teams {
		var sum int64
		for _, g := range team.Guarantees {
			sum += int64(g.Shape.Size())
		}
		place := check.Place{Path: fmt.Sprintf("teams[%d].guarantees", i)}
		teams = append(teams, check.Team{Guarantee: check.Field[int64]{Value: sum, Place: place}})
	}
	var findings check.Findings
	check.Guarantees(teams, int64(c.GPUs), &findings)
	var problems []decl.Problem
	for _, f := range findings.Report().Findings {
		problems = append(problems, decl.Problem{Path: f.Path, Text: f.Text + "; " + f.Fix})
	}
	return problems
}

// runDesired checks a desired state and, with --store, compares it with the one in force.
func (c *checkCmd) runDesired(s streams, document []byte) error {
	if len(document) >= maxDocumentBytes {
		return &exitError{exitUsage, fmt.Errorf("%s has %d bytes or more", c.File, maxDocumentBytes)}
	}
	options := platform.CheckOptions{GPUs: int64(c.GPUs), BodyBudget: int64(c.BodyBudget), Compare: c.Store != ""}
	if options.Compare {
		var err error
		if options.InForce, err = platform.DesiredInForce(context.Background(), c.Store); err != nil {
			return &exitError{exitUnavailable, fmt.Errorf("reading the desired state from %s: %w", c.Store, err)}
		}
	}
	report := platform.CheckDesired(document, options)
	if err := c.print(s.out, report, func(w io.Writer) error { return c.writeReport(w, &report) }); err != nil {
		return err
	}
	if report.Errors > 0 || c.Strict && report.Warnings > 0 {
		return &exitError{exitUsage, fmt.Errorf("%s has %d errors and %d warnings", c.File, report.Errors, report.Warnings)}
	}
	return nil
}

// writeReport writes the findings and changes of a desired state, one per line.
func (c *checkCmd) writeReport(w io.Writer, report *platform.DesiredReport) error {
	for _, f := range report.Findings {
		separator := ":"
		if f.Line == 0 {
			separator = ": "
		}
		fmt.Fprintf(w, "%s%s%s\n", c.File, separator, f)
	}
	if n := report.Omitted(); n > 0 {
		fmt.Fprintf(w, "%s: %d more\n", c.File, n)
	}
	if report.Errors == 0 {
		fmt.Fprintf(w, "%s: %d routes, %d teams, %d warnings\n", c.File, report.Routes, report.Teams, report.Warnings)
	}
	if report.Compared {
		from := "version " + strconv.FormatInt(report.Base, 10)
		if !report.Stored {
			from = "nothing: the store has no desired state"
		}
		fmt.Fprintf(w, "%d changes from %s\n", len(report.Changes), from)
	}
	return writeLines(w, report.Changes)
}

// diffInForce returns the revision in force and the changes that applying d would make to it.
func diffInForce(client *admin.Client, d model.Declaration) (model.Revision, []decl.Change, error) {
	current, err := client.CurrentConfig(context.Background())
	if err != nil {
		return 0, nil, err
	}
	var old model.Declaration
	if current.Revision > 0 {
		if old, err = decl.Parse([]byte(current.Document)); err != nil {
			return 0, nil, fmt.Errorf("parsing the declaration in force: %w", err)
		}
	}
	return current.Revision, decl.Diff(old, d), nil
}

// writeLines writes each of the items on a line.
func writeLines[T fmt.Stringer](w io.Writer, items []T) error {
	for _, item := range items {
		if _, err := fmt.Fprintln(w, item); err != nil {
			return err
		}
	}
	return nil
}
