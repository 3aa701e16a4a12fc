package cmds

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/agent"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
)

// agentCmd runs an agent: a process beside a minion that passes the requests of entries to it.
type agentCmd struct {
	nodeFlags
	Listen      string `default:"127.0.0.1:0" help:"Address of the link listener."`
	Advertise   string `help:"Address that entries dial, if it differs from the listener's."`
	Minion      string `required:"" help:"URL of the minion."`
	Service     string `default:"default" help:"Service that the minion provides."`
	Slots       int    `default:"8" help:"Requests that the minion serves at a time."`
	Connections int    `default:"64" help:"Connections that the minion accepts."`
	FrameBudget int64  `default:"33554432" help:"Bytes for all frames over 128 KiB that are received over links at the same time."`
}

func (c *agentCmd) validate(k *validator) {
	c.nodeFlags.validate(k)
	k.listen("listen", c.Listen)
	if c.Advertise != "" {
		k.listen("advertise", c.Advertise)
	}
	k.url("minion", c.Minion)
	k.name("service", c.Service)
	k.count("slots", c.Slots, 1, 10000)
	k.count("connections", c.Connections, 1, 10000)
	k.count("frame-budget", int(c.FrameBudget), link.MinFrameBudget, maxEntryBudget)
	if c.Slots > c.Connections {
		k.failFlag("slots", strconv.Itoa(c.Slots), "at most the number of --connections, because each request takes one")
	}
	if len(c.Join) == 0 {
		k.failFlag("join", "", "the address of at least one entry")
	}
}

// Run runs the agent until SIGTERM, SIGINT or a drain command.
func (c *agentCmd) Run(s streams) error {
	return serve(s, c.Level,
		fx.Supply(c),
		fx.Provide(newAgentSelf, newAgentMinion, newAgent),
		fx.Provide(newAgentConfManager, newExchange),
		fx.Invoke(startAgentConf, startAgent),
	)
}

// agentSelf holds the link listener, the membership record and the link settings of an agent.
type agentSelf struct {
	listener net.Listener
	record   model.Record
	settings link.Settings
}

func newAgentSelf(c *agentCmd) (agentSelf, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return agentSelf{}, err
	}
	address := c.Advertise
	if address == "" {
		address = l.Addr().String()
	}
	rec := model.Record{
		ID: model.NodeID(c.ID), Incarnation: model.NewIncarnation(time.Now()), Region: model.Region(c.Region),
		Centre: model.Centre(c.Centre), Address: address, Service: c.Service, Load: model.Load{Slots: c.Slots},
	}
	hello := link.Hello{
		Node: rec.ID, Incarnation: rec.Incarnation, Role: link.RoleAgent, Region: rec.Region, Centre: rec.Centre, Address: address,
	}
	settings := link.Settings{
		Self: hello, Token: c.Token, Counters: new(link.Counters), Frames: &link.FrameBudget{Limit: c.FrameBudget},
	}
	return agentSelf{l, rec, settings}, nil
}

func newAgentMinion(c *agentCmd) (*agent.Minion, error) {
	return agent.NewMinion(c.Minion, c.Connections)
}

func newAgent(self agentSelf, m *agent.Minion, log *slog.Logger) *agent.Agent {
	return agent.New(self.record, m, log)
}

// agentMemoryLimit is the soft memory limit of an agent's Go runtime in bytes; above it the garbage
// collector runs more often. A node may use 256 MB.
const agentMemoryLimit = 220 << 20

// expireInterval is how often an agent removes attempts that are long past their deadline.
const expireInterval = 5 * time.Second

// startAgent serves the link listener and joins the entries. At the stop it finishes accepted requests before it
// closes the links.
func startAgent(life fx.Lifecycle, c *agentCmd, self agentSelf, a *agent.Agent, m *agent.Minion,
	config *conf.Manager, log *slog.Logger,
) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(agentMemoryLimit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	joinDone := make(chan struct{})
	server := linkServer(self.settings, a.Serve, agentReady(a, config))
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info("listening", "link", self.listener.Addr().String())
			go serveHTTP(server, link.Listen(self.listener, link.MaxUnauthenticatedConns, &self.settings.Counters.UnauthenticatedConns), log)
			go func() {
				defer close(joinDone)
				a.Join(ctx, c.Join, self.settings)
			}()
			go runPeriodically(ctx, expireInterval, a.Expire)
			go runPeriodically(ctx, refusalLogInterval, logRefusals(self.settings.Counters, log))
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			err := a.Drain(stop)
			cancel()
			<-joinDone
			m.Close()
			_ = server.Close()
			log.Info("stopped")
			return err
		},
	})
}

// refusalLogInterval is the shortest interval between log lines about refused connections.
const refusalLogInterval = 10 * time.Second

// logRefusals returns a function that logs the counts of refused connections if they have grown since its last
// call. Agents log them because they serve no metrics.
func logRefusals(c *link.Counters, log *slog.Logger) func(time.Time) {
	var lastTotal uint64
	return func(time.Time) {
		evicted, unfinished, denied := c.UnauthenticatedConns.Evicted.Load(), c.UnauthenticatedConns.Unfinished.Load(), c.Denied.Load()
		ungreeted, malformed := c.WithoutHello.Load(), c.Malformed.Load()
		if total := evicted + unfinished + denied + ungreeted + malformed; total != lastTotal {
			lastTotal = total
			log.Warn("senders refused", "evicted", evicted, "unfinished", unfinished, "denied", denied,
				"ungreeted", ungreeted, "malformed", malformed)
		}
	}
}

// linkIOTimeout bounds reading a request at a link listener, writing its response and the idle time
// of a connection. The limits no longer apply once the connection is upgraded to a link.
const linkIOTimeout = 5 * time.Second

// linkServer returns the HTTP server of a process's link listener. It upgrades requests to links, which it passes
// to serve, and answers readiness probes with the result of ready.
func linkServer(s link.Settings, serve func(*link.Link), ready func() bool) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(link.Path, func(w http.ResponseWriter, req *http.Request) {
		l, err := link.Accept(w, req, s)
		if err != nil {
			return
		}
		serve(l)
	})
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return &http.Server{
		Handler: r, ReadTimeout: linkIOTimeout, WriteTimeout: linkIOTimeout,
		MaxHeaderBytes: link.MaxHeaderBytes, ConnState: intake.TrackHeaders,
	}
}
