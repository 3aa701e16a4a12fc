package cmds

import (
	"context"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/evac"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/proxy"
	"wagtailhoist/io/runner"
	"wagtailhoist/platform"
)

const (
	// ownerWatchTimeout is how long a long poll for the owner waits for a change. It also bounds how long a dead
	// connection goes unnoticed.
	ownerWatchTimeout = 4 * time.Second
	// runnerEvacuationWatchTimeout is how long a long poll of an agent for evacuated data centres waits for a change. With the
	// second after which a call without an answer fails, a silent watch is repeated within the 5 s from which nothing may start in
	// an evacuated data centre.
	runnerEvacuationWatchTimeout = 3 * time.Second
	// runnerMemoryLimit is the soft memory limit of the Go runtime in bytes; the VM of an agent has 152 MB.
	runnerMemoryLimit = 90 << 20
	// minReportBudget leaves room for one status report of the largest published size, 4 MiB.
	minReportBudget = 6 << 20
	// maxRunnerConnections keeps connections of 30 KB within a third of the VM's memory.
	maxRunnerConnections = 1500
)

// runnerCmd runs the agent of a worker of the users' platform: it takes the worker's status reports, reports to the
// owner, and starts and stops tasks at the worker by the owner's orders.
type runnerCmd struct {
	nodeFlags
	Listen string `required:"" help:"Address at which the worker reports."`
	Worker string `required:"" help:"IP:port of the worker."`
	Store  string `required:"" help:"IP:port of the platform's store."`

	BodyBudget     int `default:"8388608" help:"Bytes of memory for all status reports in progress."`
	FrameBudget    int `default:"12582912" help:"Bytes of memory for all frames that are received over links at the same time."`
	MaxConnections int `default:"512" help:"Largest number of connections of the worker."`
}

func (c *runnerCmd) validate(k *validator) {
	c.nodeFlags.validate(k)
	k.listen("listen", c.Listen)
	k.join("worker", []string{c.Worker})
	k.join("store", []string{c.Store})
	k.count("body-budget", c.BodyBudget, minReportBudget, maxBodyBudget)
	k.count("frame-budget", c.FrameBudget, link.MinFrameBudget, maxBodyBudget)
	k.count("max-connections", c.MaxConnections, minConnections, maxRunnerConnections)
}

// Run runs the agent until SIGTERM or SIGINT.
func (c *runnerCmd) Run(s streams) error {
	return serveBounded(s, c.Level, c.ID,
		fx.Supply(c),
		fx.Provide(newOwnerMirror, newRunnerEvacuations, newRunner),
		fx.Invoke(startRunner),
	)
}

// newOwnerMirror returns a mirror of the keys from which the agent learns the current owner.
func newOwnerMirror(c *runnerCmd, log *slog.Logger) (*proxy.Store, *mirror.Mirror) {
	return newProxiedStore(c.Store, c.Token, &mirror.Mirror{Prefix: mirror.LeadPrefix, Wait: ownerWatchTimeout, Log: log}, "", log)
}

func newRunnerEvacuations(s *proxy.Store, log *slog.Logger) *evac.Watcher {
	return newEvacuations(s, runnerEvacuationWatchTimeout, log)
}

func newRunner(c *runnerCmd, ownerMirror *mirror.Mirror, evacuations *evac.Watcher, log *slog.Logger) *runner.Runner {
	self := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: model.NewIncarnation(time.Now()), Role: link.RoleAgent,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: c.Listen,
	}
	r := &runner.Runner{
		Worker: &platform.Minion{Address: c.Worker, HTTP: platform.NewHTTP(), Log: log},
		Node:   c.ID,
		Settings: link.Settings{
			Self: self, Token: c.Token, SilenceTimeout: linkSilenceTimeout,
			Frames: &link.FrameBudget{Limit: int64(c.FrameBudget), Free: freeLinkFrameBytes},
		},
		Owner: ownerMirror.Owner, OwnerChanged: ownerMirror.Wake(),
		Log: log,
	}
	r.Evacuated = func() bool {
		evacuations.Refresh(context.Background())
		return evacuations.Contains(r.Centre())
	}
	return r
}

func startRunner(
	life fx.Lifecycle, c *runnerCmd, ownerMirror *mirror.Mirror, evacuations *evac.Watcher, r *runner.Runner, log *slog.Logger,
) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(runnerMemoryLimit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	report := &intake.Reporter{Log: log}
	registry := &platform.Registry{Agent: r, Log: log, Report: report}
	registry.Bodies.Limit, registry.Bodies.Report = int64(c.BodyBudget), report
	// A decoded report may take five times the memory of its text, so that only one at a time fits into the VM.
	registry.Decoding.Width = 1
	server := callerServer(registry.Handler())
	var loops sync.WaitGroup
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", c.Listen)
			if err != nil {
				return err
			}
			log.Info("listening", "listen", c.Listen, "worker", c.Worker, "store", c.Store)
			go serveHTTP(server, &intake.Listener{
				Listener: l, MaxConns: c.MaxConnections, MaxHeaderBytes: maxHeadersInProgress,
				MakeRoom: registry.Bodies.Evict, Report: report,
			}, log)
			loops.Go(func() { ownerMirror.Run(ctx) })
			loops.Go(func() { evacuations.Run(ctx) })
			loops.Go(func() { r.Run(ctx) })
			go ignoreSIGHUP(ctx, log)
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			err := server.Shutdown(stop)
			cancel()
			loops.Wait()
			log.Info("stopped")
			return err
		},
	})
}
