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

// worksConnections is the number of connections to the worker service that are kept; a cell sends up to 64
// calls at a time.
const worksConnections = 64

// rehomeTime bounds a change of the cells of guarantees, which is tried again with the next list of workers.
const rehomeTime = 5 * time.Second

// newSched returns the controller of the cells, nil for an entry without a store or a worker service.
func newSched(c *entryCmd, s *store.Client, m *conf.Manager, log *slog.Logger) *sched.Sched {
	if s == nil || c.Works == "" {
		return nil
	}
	return &sched.Sched{
		Self: model.NodeID(c.ID), Region: model.Region(c.Region), Store: s, Log: log, Layout: assign.Layout(c.Cells),
		Works: &works.Client{URL: c.Works, HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: worksConnections, IdleConnTimeout: time.Minute,
		}}},
		Declaration: func() (model.Declaration, bool) {
			_, d, ok := m.Force()
			return d, ok
		},
		Rehome: func(ctx context.Context, homes func(map[string]model.CellID) (map[string]model.CellID, error)) error {
			ctx, cancel := context.WithTimeout(ctx, rehomeTime)
			defer cancel()
			now, _, _ := m.Force()
			_, err := m.Apply(ctx, config.Write{
				Base: now.Revision, Change: conf.NewChange(), Author: "wagtailhoist", Document: now.Document, Homes: homes,
			})
			return err
		},
	}
}

// countRooms sets the fragmentation of the owned cells, and ends the series of those that are owned no longer.
func countRooms(rooms func() map[model.CellID]plan.FreeCapacity, m *meter.Meter) func(time.Time) {
	owned := map[model.CellID]bool{}
	return func(time.Time) {
		now := rooms()
		for id := range owned {
			if _, ok := now[id]; !ok {
				m.Fragmentation(id, math.NaN())
				delete(owned, id)
			}
		}
		for id, r := range now {
			m.Fragmentation(id, r.Fragmentation())
			owned[id] = true
		}
	}
}

// startSched controls cells until the process stops, and hands them over then.
func startSched(life fx.Lifecycle, s *sched.Sched, figures *meter.Meter) {
	if s == nil {
		return
	}
	background(life, s.Run)
	background(life, func(ctx context.Context) { every(ctx, figuresInterval, countRooms(s.Rooms, figures)) })
	life.Append(fx.Hook{OnStop: func(stop context.Context) error {
		s.Drain(stop)
		return nil
	}})
}
