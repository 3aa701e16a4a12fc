package cmds

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/assign"
	"wagtailhoist/core/config"
	"wagtailhoist/core/model"
	"wagtailhoist/core/plan"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/sched"
	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
)

// workerServiceConnections is the number of idle connections to the worker service; a cell makes up to 64
// concurrent calls.
const workerServiceConnections = 64

// rehomeTimeout bounds a change that assigns guarantees to other cells; it is retried with the next list of workers.
const rehomeTimeout = 5 * time.Second

// newSched returns the scheduler of the cells, or nil for an entry without a store or a worker service.
func newSched(c *entryCmd, s *store.Client, m *conf.Manager, log *slog.Logger) *sched.Sched {
	if s == nil || c.Works == "" {
		return nil
	}
	return &sched.Sched{
		Self: model.NodeID(c.ID), Region: model.Region(c.Region), Store: s, Log: log, Layout: assign.Layout(c.Cells),
		Works: &works.Client{URL: c.Works, HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: workerServiceConnections, IdleConnTimeout: time.Minute,
		}}},
		Declaration: func() (model.Declaration, bool) {
			_, d, ok := m.InUse()
			return d, ok
		},
		ConfigReadSince: m.ReadSince,
		StoreReassignment: func(ctx context.Context, assignCells func(map[string]model.CellID) (map[string]model.CellID, error)) error {
			ctx, cancel := context.WithTimeout(ctx, rehomeTimeout)
			defer cancel()
			now, _, _ := m.InUse()
			_, err := m.Apply(ctx, config.Write{
				Base: now.Revision, Change: conf.NewChange(), Author: "wagtailhoist", Document: now.Document, GuaranteeCells: assignCells,
			})
			return err
		},
	}
}

// recordFragmentation returns a function that sets the fragmentation metric of the owned cells and ends the series
// of cells that are no longer owned.
func recordFragmentation(freeCapacities func() map[model.CellID]plan.FreeCapacity, m *meter.Meter) func(time.Time) {
	owned := map[model.CellID]bool{}
	return func(time.Time) {
		current := freeCapacities()
		for id := range owned {
			if _, ok := current[id]; !ok {
				m.Fragmentation(id, math.NaN())
				delete(owned, id)
			}
		}
		for id, r := range current {
			m.Fragmentation(id, r.Fragmentation())
			owned[id] = true
		}
	}
}

// startSched runs the scheduler until the process stops, and then hands its cells over to other entries.
func startSched(life fx.Lifecycle, s *sched.Sched, metrics *meter.Meter) {
	if s == nil {
		return
	}
	runUntilStop(life, s.Run)
	runUntilStop(life, func(ctx context.Context) {
		runPeriodically(ctx, metricsInterval, recordFragmentation(s.FreeCapacities, metrics))
	})
	life.Append(fx.Hook{OnStop: func(stop context.Context) error {
		s.Drain(stop)
		return nil
	}})
}
