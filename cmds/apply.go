package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"wagtailhoist/core/decl"
	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/conf"
)

// statusPollInterval is the interval at which apply --wait and drain --wait query the status.
const statusPollInterval = 200 * time.Millisecond

// applyCmd writes a declaration as the next revision of the configuration.
type applyCmd struct {
	File   string        `arg:"" help:"Declaration in YAML; - reads the standard input."`
	At     int64         `help:"Revision that the declaration was made for; -1 means the one in force now." default:"-1"`
	Change string        `help:"Identifier of the change; applying it again with the same identifier has no further effect."`
	Wait   bool          `help:"Wait until every live process has the revision in force."`
	Limit  time.Duration `help:"Longest wait with --wait." default:"8s"`
	operatorFlags
}

// Help returns the detailed help with an example.
func (*applyCmd) Help() string {
	return `Writes a declaration as the next revision of the configuration. If another change was made in
the meantime, the command fails with a conflict that names both revisions, and nothing is changed. With
--wait, it lists the processes that don't report the revision in time, and those that have not confirmed it
with the store.

Example: wagtailhoist apply --admin http://10.0.0.1:7403 --at 17 --wait teams.yaml` + exitCodesHelp
}

func (c *applyCmd) validate(k *validator) {
	c.operatorFlags.validate(k)
	if c.At < -1 {
		k.failFlag("at", fmt.Sprint(c.At), "a revision, or -1")
	}
	k.duration("limit", c.Limit, 0, 10*time.Minute)
	if len(c.Change) > 64 {
		k.failFlag("change", c.Change, "at most 64 characters")
	}
}

// applyResult is the JSON output of apply.
type applyResult struct {
	admin.ApplyAnswer
	Change string `json:"change"`
	// Lagging describes the processes without the revision, Unconfirmed names those that have not confirmed it with
	// the store. Both are set with --wait only.
	Lagging     []string `json:"lagging,omitempty"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// Waited is the time from acceptance until every process reported the revision, or until the wait ended.
	Waited string `json:"waited,omitempty"`
}

// Run validates the declaration, applies it and, with --wait, waits until it is in force in every process.
func (c *applyCmd) Run(s streams) error {
	document, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := decl.Parse(document); err != nil {
		return &exitError{exitUsage, fmt.Errorf("%s is not valid:\n%w", c.File, err)}
	}
	ctx, client := context.Background(), c.client()
	base := model.Revision(max(c.At, 0))
	if c.At < 0 {
		current, err := client.CurrentConfig(ctx)
		if err != nil {
			return err
		}
		base = current.Revision
	}
	if c.Change == "" {
		c.Change = conf.NewChange()
	}
	result := applyResult{Change: c.Change}
	result.ApplyAnswer, err = retryUnknown(func() (admin.ApplyAnswer, error) {
		return client.Apply(ctx, admin.ApplyRequest{Base: base, Change: c.Change, Author: author(), Document: string(document)})
	})
	if err != nil {
		var failure *admin.Failure
		if errors.As(err, &failure) && failure.Kind == admin.KindUnknown {
			return fmt.Errorf("%w\nretry with --at %d --change %s", err, base, c.Change)
		}
		return err
	}
	if c.Wait {
		c.waitUntilInForce(ctx, client, &result)
	}
	if err := c.print(s.out, result, result.write); err != nil {
		return err
	}
	if len(result.Lagging) > 0 {
		return &exitError{exitLagging, fmt.Errorf("revision %d is not in force within %v in: %s",
			result.Revision, c.Limit, strings.Join(result.Lagging, ", "))}
	}
	return nil
}

func (r *applyResult) write(w io.Writer) error {
	fmt.Fprintf(w, "accepted as revision %d\n", r.Revision)
	if err := writeLines(w, r.Changes); err != nil {
		return err
	}
	for _, note := range r.Notes {
		fmt.Fprintln(w, note)
	}
	if len(r.Unconfirmed) > 0 {
		fmt.Fprintf(w, "unconfirmed: %s\n", strings.Join(r.Unconfirmed, ", "))
	}
	if r.Waited != "" && len(r.Lagging) == 0 {
		fmt.Fprintf(w, "in force in every process after %s\n", r.Waited)
	}
	return nil
}

// describeLagging describes a process in which the revision is not in force, with the fault that it reports.
func describeLagging(p admin.Process) string {
	if p.Fault != "" {
		return fmt.Sprintf("%s (%s, revision %d: %s)", p.ID, p.State, p.Revision, p.Fault)
	}
	return fmt.Sprintf("%s (%s, revision %d)", p.ID, p.State, p.Revision)
}

// waitUntilInForce polls the status until the revision is in force in every process or c.Limit has passed. A
// lost process counts as lagging: it may still run behind a network partition.
func (c *applyCmd) waitUntilInForce(ctx context.Context, client *admin.Client, r *applyResult) {
	start := time.Now()
	for {
		status, err := client.Status(ctx)
		if err == nil {
			r.Lagging, r.Unconfirmed = nil, nil
			for _, p := range status.Processes {
				switch {
				case p.Revision < r.Revision:
					r.Lagging = append(r.Lagging, describeLagging(p))
				case p.Config == admin.Unconfirmed:
					r.Unconfirmed = append(r.Unconfirmed, string(p.ID))
				}
			}
		} else {
			r.Lagging = []string{c.Admin + " (no status: " + err.Error() + ")"}
		}
		r.Waited = time.Since(start).Round(time.Millisecond).String()
		if len(r.Lagging) == 0 || time.Since(start) >= c.Limit {
			return
		}
		time.Sleep(statusPollInterval)
	}
}
