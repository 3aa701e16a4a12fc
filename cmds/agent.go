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
	"wagtailhoist/io/link"
)

type agentCmd struct {
	nodeFlags
	Listen      string `default:"127.0.0.1:0" help:"Address of the link listener."`
	Advertise   string `help:"Address that entries dial, if it differs from the listener's."`
	Minion      string `required:"" help:"URL of the minion."`
	Service     string `default:"default" help:"Service that the minion provides."`
	Slots       int    `default:"8" help:"Requests that the minion serves at a time."`
	Connections int    `default:"64" help:"Connections that the minion accepts."`
}

func (c *agentCmd) check(k *checks) {
	c.nodeFlags.check(k)
	k.listen("listen", c.Listen)
	if c.Advertise != "" {
		k.listen("advertise", c.Advertise)
	}
	k.url("minion", c.Minion)
	k.name("service", c.Service)
	k.count("slots", c.Slots, 1, 10000)
	k.count("connections", c.Connections, 1, 10000)
	if c.Slots > c.Connections {
		k.fail("slots", strconv.Itoa(c.Slots), "at most the number of --connections, because each request takes one")
	}
	if len(c.Join) == 0 {
		k.fail("join", "", "the address of at least one entry")
	}
}

// Run serves until the process is told to stop.
func (c *agentCmd) Run(s streams) error {
	return serve(s, c.Level,
		fx.Supply(c),
		fx.Provide(newAgentSelf, newAgentMinion, newAgent),
		fx.Provide(newAgentConf, newExchange),
		fx.Invoke(startAgentConf, startAgent),
	)
}

// agentSelf is the identity and listener of an agent.
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
	return agentSelf{l, rec, link.Settings{Self: hello, Token: c.Token, Counters: new(link.Counters)}}, nil
}

func newAgentMinion(c *agentCmd) (*agent.Minion, error) {
	return agent.NewMinion(c.Minion, c.Connections)
}

func newAgent(self agentSelf, m *agent.Minion, log *slog.Logger) *agent.Agent {
	return agent.New(self.record, m, log)
}

// agentMemory is the soft limit of an agent's memory in bytes; above it the garbage collector
// runs more often. The requirement is 256 MB for a node.
const agentMemory = 220 << 20

// expireEvery is the interval at which an agent forgets old attempts.
const expireEvery = 5 * time.Second

func startAgent(life fx.Lifecycle, c *agentCmd, self agentSelf, a *agent.Agent, m *agent.Minion,
	config *conf.Manager, log *slog.Logger,
) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(agentMemory)
	}
	ctx, cancel := context.WithCancel(context.Background())
	joined := make(chan struct{})
	server := linkServer(self.settings, a.Serve, agentReady(a, config))
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info("listening", "link", self.listener.Addr().String())
			go serveHTTP(server, link.Listen(self.listener, link.Guests, &self.settings.Counters.Guests), log)
			go func() {
				defer close(joined)
				a.Join(ctx, c.Join, self.settings)
			}()
			go every(ctx, expireEvery, a.Expire)
			go every(ctx, refusalsEvery, logRefusals(self.settings.Counters, log))
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			err := a.Drain(stop)
			cancel()
			<-joined
			m.Close()
			_ = server.Close()
			log.Info("stopped")
			return err
		},
	})
}

// refusalsEvery is the least interval between log lines about refused senders.
const refusalsEvery = 10 * time.Second

// logRefusals logs the counts of refused senders when they have grown; agents serve no metrics.
func logRefusals(c *link.Counters, log *slog.Logger) func(time.Time) {
	var last uint64
	return func(time.Time) {
		evicted, unfinished, denied := c.Guests.Evicted.Load(), c.Guests.Unfinished.Load(), c.Denied.Load()
		ungreeted, malformed := c.Ungreeted.Load(), c.Malformed.Load()
		if sum := evicted + unfinished + denied + ungreeted + malformed; sum != last {
			last = sum
			log.Warn("senders refused", "evicted", evicted, "unfinished", unfinished, "denied", denied,
				"ungreeted", ungreeted, "malformed", malformed)
		}
	}
}

// linkTime bounds the reading of a request at a link listener, its answer and the time between
// requests of a connection. The upgrade to a link ends these limits.
const linkTime = 5 * time.Second

// linkServer returns the server of a process's link listener.
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
		Handler: r, ReadTimeout: linkTime, WriteTimeout: linkTime,
		MaxHeaderBytes: link.MaxHeader, ConnState: link.Spoke,
	}
}
