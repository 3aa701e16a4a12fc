package query

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// WriteTable writes the answer as a text table, followed by its notes.
func (a Answer) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(a.Columns, "\t")))
	for _, row := range a.Rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = printable(cell)
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, note := range a.Notes {
		if _, err := fmt.Fprintln(w, printable(note)); err != nil {
			return err
		}
	}
	return nil
}

// printable replaces unprintable characters, so that names from callers can't move the cursor or imitate rows. An empty string
// becomes a dash.
func printable(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}
