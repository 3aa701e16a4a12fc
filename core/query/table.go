package query

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"
)

// WriteTable writes the answer as a table for people.
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

// printable keeps names that came from outside from moving the cursor or forging rows.
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
