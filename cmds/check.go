package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"

	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
)

// checkCmd validates a declaration without applying it.
type checkCmd struct {
	File  string `arg:"" help:"Declaration in YAML; - reads the standard input."`
	Admin string `help:"URL of the operators' listener of an entry; with it, the changes against the configuration in force are shown."`
	Token string `help:"Operators' secret, with --admin."`
	outputFlags
}

// Help returns the detailed help with an example.
func (*checkCmd) Help() string {
	return `Lists every fault of a declaration with its line and column. With --admin it also shows what applying
the declaration would change.

Example: wagtailhoist check teams.yaml` + exitCodesHelp
}

func (c *checkCmd) validate(k *validator) {
	if c.Admin != "" {
		k.url("admin", c.Admin)
		k.token("token", c.Token)
	}
}

// checkResult is the JSON output of check.
type checkResult struct {
	Problems []decl.Problem `json:"problems"`
	Teams    int            `json:"teams"`
	// Base is the revision in force that Changes are relative to, nil without --admin.
	Base    *model.Revision `json:"base,omitempty"`
	Changes []decl.Change   `json:"changes,omitempty"`
}

// Run validates the declaration and, with --admin, compares it with the one in force.
func (c *checkCmd) Run(s streams) error {
	document, err := readFile(c.File)
	if err != nil {
		return err
	}
	d, err := decl.Parse(document)
	var problems *decl.ProblemsError
	if errors.As(err, &problems) {
		return c.printProblems(s, problems)
	}
	if err != nil {
		return err
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
		return writeChanges(w, result.Changes)
	})
}

// printProblems prints the problems and returns the error that sets the exit code.
func (c *checkCmd) printProblems(s streams, problems *decl.ProblemsError) error {
	err := c.print(s.out, checkResult{Problems: problems.Problems}, func(w io.Writer) error {
		for _, p := range problems.Problems {
			fmt.Fprintf(w, "%s:%s\n", c.File, p)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return &exitError{exitUsage, fmt.Errorf("%s has %d problems", c.File, len(problems.Problems))}
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

func writeChanges(w io.Writer, changes []decl.Change) error {
	for _, change := range changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	return nil
}
