package cmds

import (
	"strings"

	"wagtailhoist/io/conf"
)

// queryCmd sends a statement of the query language to an entry.
type queryCmd struct {
	Text []string `arg:"" help:"Statement; its words are joined by spaces."`
	operatorFlags
}

// Help returns the statements of the query language with examples.
func (*queryCmd) Help() string {
	return `Queries: show jobs|waiting|anchors|shortfalls|workers|teams|minions [of TEAM] [in CENTRE] [on WORKER];
why JOB; reclaim TEAM GUARANTEE.

Changes: team TEAM weight N [quota N]; team TEAM remove; shape TEAM NAME 3x8 grace TIME [centre CENTRE]
[adjacent rack|worker] [cores N] [memory N]; shape TEAM NAME remove; job JOB of TEAM 2x8 [...];
cancel JOB...; drain NODE; aside WORKER; back WORKER. A change can end in "at REVISION": it is then refused
if another revision is in force.

Example: wagtailhoist query --admin http://10.0.0.1:7403 why timetable

Example: wagtailhoist query --admin http://10.0.0.1:7403 team brennholz weight 3 at 17` + exitCodesHelp
}

// Run sends the statement to the entry and prints the answer.
func (c *queryCmd) Run(s streams) error {
	return c.runStatement(s, strings.Join(c.Text, " "), conf.NewChange())
}
