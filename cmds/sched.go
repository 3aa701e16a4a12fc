package cmds

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/sched"
	"wagtailhoist/io/store"
	"wagtailhoist/io/works"
)

// worksConnections is the number of connections to the worker service that are kept; a cell sends up to 64
// calls at a time.
const worksConnections = 64

// newConf returns the manager of the configuration of an entry.
func newConf(life fx.Lifecycle, self entrySelf, s *store.Client, log *slog.Logger) *conf.Manager {
	hello := self.settings.Self
	o := conf.Options{ID: hello.Node, Region: hello.Region, Life: hello.Incarnation, Log: log}
	if s != nil {
		o.Store = s
	}
	m := conf.New(o)
	background(life, m.Run)
	return m
}

// background runs fn from the start of a process until its stop.
func background(life fx.Lifecycle, fn func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			wait.Go(func() { fn(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wait.Wait()
			return nil
		},
	})
}

// newSched returns the controller of the cells, nil for an entry without a store or a worker service.
func newSched(c *entryCmd, s *store.Client, m *conf.Manager, log *slog.Logger) *sched.Sched {
	if s == nil || c.Works == "" {
		return nil
	}
	return &sched.Sched{
		Self: model.NodeID(c.ID), Region: model.Region(c.Region), Store: s, Log: log,
		Works: &works.Client{URL: c.Works, HTTP: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: worksConnections, IdleConnTimeout: time.Minute,
		}}},
		Declaration: func() (model.Declaration, bool) {
			_, d, ok := m.Force()
			return d, ok
		},
	}
}

// startSched controls cells until the process stops, and hands them over then.
func startSched(life fx.Lifecycle, s *sched.Sched) {
	if s == nil {
		return
	}
	background(life, s.Run)
	life.Append(fx.Hook{OnStop: func(stop context.Context) error {
		s.Drain(stop)
		return nil
	}})
}
