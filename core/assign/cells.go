package assign

import (
	"cmp"
	"fmt"
	"slices"

	"wagtailhoist/core/model"
)

// Layout says how workers are grouped into cells.
type Layout string

// Layouts. A cell for a region places jobs and manages reservations and quotas for all data centres of the region together.
// A cell can have at most about 2,000 workers; a larger region needs a cell for each data centre.
const (
	// ByRegion has one cell for each region.
	ByRegion Layout = "region"
	// ByCentre has one cell for each data centre.
	ByCentre Layout = "centre"
)

// ParseLayout returns the layout with the given name.
func ParseLayout(name string) (Layout, error) {
	if l := Layout(name); l == ByRegion || l == ByCentre {
		return l, nil
	}
	return "", fmt.Errorf("unknown layout of the cells %q", name)
}

// CellOf returns the cell of a worker; a worker without one belongs to the cell of its data centre.
func CellOf(w model.Worker) model.CellID { return cmp.Or(w.Cell, model.CellID(w.Centre)) }

// SetCells returns a copy of the workers with their cells set according to the layout.
func SetCells(l Layout, workers []model.Worker) []model.Worker {
	out := slices.Clone(workers)
	for i := range out {
		if l == ByRegion {
			out[i].Cell = model.CellID(out[i].Region)
		}
	}
	return out
}
