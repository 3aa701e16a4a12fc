package cmds

import (
	"context"
	"fmt"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/query"
)

// drainCmd drains and stops an entry or agent.
type drainCmd struct {
	Node  string        `arg:"" help:"Entry or agent to drain."`
	Wait  bool          `help:"Wait until the process has stopped."`
	Limit time.Duration `help:"Longest wait with --wait; requests run for at most 10 min." default:"11m"`
	operatorFlags
}

// Help returns the detailed help with an example.
func (*drainCmd) Help() string {
	return `Drains a process as SIGTERM does: it gets no new work, finishes the work it has accepted, and stops. The
entry at --admin has to be linked to the process.

Example: wagtailhoist drain --admin http://10.0.0.1:7403 --wait minion-4` + exitCodesHelp
}

func (c *drainCmd) validate(k *validator) {
	c.operatorFlags.validate(k)
	k.duration("limit", c.Limit, 0, time.Hour)
	if _, err := query.Parse(c.statement()); err != nil {
		k.addProblem("NODE", c.Node, "the name of an entry or agent")
	}
}

func (c *drainCmd) statement() string { return fmt.Sprintf("drain %q", c.Node) }

// Run sends the drain command and, with --wait, polls the status until the process has stopped.
func (c *drainCmd) Run(s streams) error {
	if err := c.runStatement(s, c.statement(), ""); err != nil || !c.Wait {
		return err
	}
	client, start := c.client(), time.Now()
	for time.Since(start) < c.Limit {
		status, err := client.Status(context.Background())
		if err != nil {
			return err
		}
		running := false
		for _, p := range status.Processes {
			running = running || p.ID == model.NodeID(c.Node) && p.State != model.Stopped.String() && p.State != stateLost
		}
		if !running {
			return nil
		}
		time.Sleep(statusPollInterval)
	}
	return &exitError{exitLagging, fmt.Errorf("%s has not stopped within %v", c.Node, c.Limit)}
}
