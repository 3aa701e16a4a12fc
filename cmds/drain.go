package cmds

import (
	"context"
	"fmt"
	"time"

	"wagtailhoist/core/model"
	"wagtailhoist/core/query"
)

type drainCmd struct {
	Node  string        `arg:"" help:"Entry or agent to drain."`
	Wait  bool          `help:"Wait until the process has stopped."`
	Limit time.Duration `help:"Longest wait; requests run for at most 10 min." default:"11m"`
	operatorFlags
}

// Help returns the example.
func (*drainCmd) Help() string {
	return `Lets a process finish its accepted work, gives it no new work, and stops it, as SIGTERM does. The entry
that is asked has to be linked to the process.

Example: wagtailhoist drain --admin http://10.0.0.1:7403 --wait minion-4` + exitCodes
}

func (c *drainCmd) check(k *checks) {
	c.operatorFlags.check(k)
	k.duration("limit", c.Limit, 0, time.Hour)
	if _, err := query.Parse(c.statement()); err != nil {
		k.add("NODE", c.Node, "the name of an entry or agent")
	}
}

func (c *drainCmd) statement() string { return fmt.Sprintf("drain %q", c.Node) }

// Run starts to drain the process.
func (c *drainCmd) Run(s streams) error {
	if err := c.askQuery(s, c.statement(), ""); err != nil || !c.Wait {
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
			running = running || p.ID == model.NodeID(c.Node) && p.State != model.Gone.String() && p.State != stateLost
		}
		if !running {
			return nil
		}
		time.Sleep(waitPoll)
	}
	return &exitError{exitLagging, fmt.Errorf("%s has not stopped within %v", c.Node, c.Limit)}
}
