package cmds

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/link"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/runner"
	"wagtailhoist/platform"
)

const (
	// ownerWait is how long an agent's watch for the owner waits; a connection that went silent is found after it.
	ownerWait = 4 * time.Second
	// runnerMemory is the soft limit of an agent's memory in bytes, of the 152 MB that its VM has.
	runnerMemory = 90 << 20
)

type runnerCmd struct {
	nodeFlags
	Listen string `required:"" help:"Address at which the worker reports."`
	Worker string `required:"" help:"IP:port of the worker."`
	Store  string `required:"" help:"IP:port of the platform's store."`
}

func (c *runnerCmd) check(k *checks) {
	c.nodeFlags.check(k)
	k.listen("listen", c.Listen)
	k.join("worker", []string{c.Worker})
	k.join("store", []string{c.Store})
}

// Run serves until the process is told to stop.
func (c *runnerCmd) Run(s streams) error {
	return serveBounded(s, c.Level, c.ID,
		fx.Supply(c),
		fx.Provide(newLeads, newRunner),
		fx.Invoke(startRunner),
	)
}

func newLeads(c *runnerCmd, log *slog.Logger) *mirror.Mirror {
	_, m := detoured(c.Store, c.Token, &mirror.Mirror{Prefix: mirror.LeadPrefix, Wait: ownerWait, Log: log}, "", log)
	return m
}

func newRunner(c *runnerCmd, leads *mirror.Mirror, log *slog.Logger) *runner.Runner {
	self := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: model.NewIncarnation(time.Now()), Role: link.RoleAgent,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: c.Listen,
	}
	return &runner.Runner{
		Worker:   &platform.Minion{Address: c.Worker, HTTP: platform.NewHTTP(), Log: log},
		Node:     c.ID,
		Settings: link.Settings{Self: self, Token: c.Token, Silence: linkSilence},
		Owner:    leads.Owner,
		Log:      log,
	}
}

func startRunner(life fx.Lifecycle, c *runnerCmd, leads *mirror.Mirror, r *runner.Runner, log *slog.Logger) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(runnerMemory)
	}
	ctx, cancel := context.WithCancel(context.Background())
	registry := &platform.Registry{Agent: r, Log: log}
	server := &http.Server{Handler: registry.Handler(), ReadHeaderTimeout: 5 * time.Second}
	var running sync.WaitGroup
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", c.Listen)
			if err != nil {
				return err
			}
			log.Info("listening", "listen", c.Listen, "worker", c.Worker, "store", c.Store)
			go serveHTTP(server, l, log)
			running.Go(func() { leads.Run(ctx) })
			running.Go(func() { r.Run(ctx) })
			go ignoreReload(ctx, log)
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			err := server.Shutdown(stop)
			cancel()
			running.Wait()
			log.Info("stopped")
			return err
		},
	})
}
