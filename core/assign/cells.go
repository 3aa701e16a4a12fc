package assign

import (
	"cmp"
	"fmt"
	"slices"

	"wagtailhoist/core/model"
)

// Layout says how workers are grouped into cells.
type Layout string

// Layouts. A cell of a region places jobs and keeps reservations and quotas for all its data centres together; a cell
// has at most about 2,000 workers, above which a region needs one for each data centre.
const (
	ByRegion Layout = "region"
	ByCentre Layout = "centre"
)

// ParseLayout returns the layout of a name.
func ParseLayout(name string) (Layout, error) {
	if l := Layout(name); l == ByRegion || l == ByCentre {
		return l, nil
	}
	return "", fmt.Errorf("unknown layout of the cells %q", name)
}

// CellOf returns the cell of a worker; workers without a cell of their own belong to that of their data centre.
func CellOf(w model.Worker) model.CellID { return cmp.Or(w.Cell, model.CellID(w.Centre)) }

// SetCells returns the workers with their cells by the layout.
func SetCells(l Layout, workers []model.Worker) []model.Worker {
	out := slices.Clone(workers)
	for i := range out {
		if l == ByRegion {
			out[i].Cell = model.CellID(out[i].Region)
		}
	}
	return out
}
