package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"wagtailhoist/core/query"
	"wagtailhoist/io/admin"
)

// stateLost is the state of a process that vanished without draining and is still listed.
const stateLost = "lost"

// statusCmd shows the processes, the cells and the timings of an entry.
type statusCmd struct{ operatorFlags }

// Help returns the detailed help with an example.
func (*statusCmd) Help() string {
	return `Shows each process with the revision that is in force there, whether the store has confirmed it, and
whether the process is ready, draining or lost; the owner and the fragmentation of each cell; then waiting, service
and completion times of the entry at --admin, by team and by class.

Example: wagtailhoist status --admin http://10.0.0.1:7403` + exitCodesHelp
}

// Run prints the status as seen by the entry at --admin.
func (c *statusCmd) Run(s streams) error {
	status, err := c.client().StatusWithCells(context.Background())
	if err != nil {
		return err
	}
	return c.print(s.out, status, func(w io.Writer) error { return writeStatus(w, status) })
}

func writeStatus(w io.Writer, status admin.Status) error {
	processes := query.Answer{Columns: []string{"process", "role", "region", "centre", "state", "revision", "config"}}
	for _, p := range status.Processes {
		confirmation := string(p.Config)
		if p.Watch {
			confirmation += ", watches the store"
		}
		if p.Fault != "" {
			confirmation += "; " + p.Fault
		}
		processes.Rows = append(processes.Rows, []string{
			string(p.ID), p.Role, string(p.Region), string(p.Centre), p.State, strconv.FormatUint(uint64(p.Revision), 10), confirmation,
		})
	}
	if err := processes.WriteTable(w); err != nil {
		return err
	}
	if err := writeCells(w, status.Cells); err != nil || len(status.Timings) == 0 {
		return err
	}
	fmt.Fprintf(w, "\ntimes of %s\n", status.AnsweredBy)
	timings := query.Answer{Columns: []string{"time", "by", "name", "count", "p50", "p95", "p99"}}
	for _, t := range status.Timings {
		timings.Rows = append(timings.Rows, []string{
			t.Metric, t.By, t.Name, strconv.FormatUint(t.Count, 10), seconds(t.P50), seconds(t.P95), seconds(t.P99),
		})
	}
	return timings.WriteTable(w)
}

func writeCells(w io.Writer, list []admin.CellStatus) error {
	if len(list) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	cells := query.Answer{Columns: []string{"cell", "owner", "free or reclaimable", "largest block", "fragmentation"}}
	for _, c := range list {
		cells.Rows = append(cells.Rows, []string{
			string(c.Cell), string(c.Owner), strconv.Itoa(c.Capacity.Total), strconv.Itoa(c.Capacity.Largest),
			strconv.FormatFloat(c.Fragmentation, 'f', 3, 64),
		})
	}
	return cells.WriteTable(w)
}

// seconds formats a percentile, which is the upper bound of a histogram bucket.
func seconds(v float64) string {
	return "<= " + time.Duration(v*float64(time.Second)).Round(time.Microsecond).String()
}
