package cmds

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/claims"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/front"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
)

// entryCmd runs an entry, which dispatches requests of callers to agents, schedules cells and serves operators.
type entryCmd struct {
	nodeFlags
	Listen    string        `default:"127.0.0.1:0" help:"Address of the callers' listener."`
	Link      string        `default:"127.0.0.1:0" help:"Address of the link listener."`
	Advertise string        `help:"Address that other processes dial, if it differs from that of --link."`
	Admin     string        `default:"127.0.0.1:0" help:"Address of the operators' listener."`
	Store     string        `help:"URL of the platform's store. Without it, requests with a key are refused and there is no configuration."`
	Works     string        `help:"URL of the platform's worker service. Without it, the entry schedules nothing."`
	Cells     string        `default:"region" enum:"region,centre" help:"Layout of the cells that the first entry stores: one for each region, or for each data centre where a region has more than 2,000 workers."`
	Drain     time.Duration `default:"2s" help:"Time that the balancer needs to see that the entry is not ready."`

	BodyBudget     int64 `default:"25165824" help:"Bytes for all bodies of callers' requests in progress. A body may take three quarters of it."`
	AnswerBudget   int64 `default:"33554432" help:"Bytes for all answers of minions that are not passed on yet."`
	AdminBudget    int64 `default:"8388608" help:"Bytes for all bodies of operators' calls in progress."`
	FrameBudget    int64 `default:"33554432" help:"Bytes for all frames over 128 KiB that are received over links at the same time."`
	MaxConnections int   `default:"3072" help:"Connections of the callers' listener."`
}

func (c *entryCmd) validate(k *validator) {
	c.nodeFlags.validate(k)
	k.listen("listen", c.Listen)
	k.listen("link", c.Link)
	k.listen("admin", c.Admin)
	if c.Advertise != "" {
		k.listen("advertise", c.Advertise)
	}
	k.distinct("listen", c.Listen, "link", c.Link, "admin", c.Admin)
	if c.Store != "" {
		k.url("store", c.Store)
	}
	if c.Works != "" {
		k.url("works", c.Works)
		if c.Store == "" {
			k.failFlag("works", c.Works, "nothing without --store, because the store keeps the plans")
		}
	}
	k.duration("drain", c.Drain, 0, 10*time.Minute)
	k.count("body-budget", int(c.BodyBudget), minBodyBudget, maxEntryBudget)
	k.count("answer-budget", int(c.AnswerBudget), front.MinAnswerBudget, maxEntryBudget)
	k.count("frame-budget", int(c.FrameBudget), link.MinFrameBudget, maxEntryBudget)
	k.count("admin-budget", int(c.AdminBudget), admin.MinBodyBudget, maxEntryBudget)
	k.count("max-connections", c.MaxConnections, minConnections, maxEntryConnections)
}

const (
	// maxEntryBudget bounds each memory budget of an entry or an agent, whose VMs differ in size, in bytes.
	maxEntryBudget = 1 << 30
	// maxEntryConnections bounds the setting of the callers' connections.
	maxEntryConnections = 1 << 20
	// headerAllowance is the part of the budget for bodies that is left to the header of the largest body.
	headerAllowance = 1 << 20
	// maxWaitingHeaderBytes bounds what connections without a complete request header have sent together. Such headers have
	// about 1 KiB and arrive at once.
	maxWaitingHeaderBytes = 2 << 20
	// entryMemoryLimit is the soft memory limit of the Go runtime in bytes, as for a desk.
	entryMemoryLimit = 120 << 20
)

// Run runs the entry until SIGTERM, SIGINT or a drain command.
func (c *entryCmd) Run(s streams) error {
	return serve(s, c.Level,
		fx.Supply(c),
		fx.Provide(newEntrySelf, newEntryPool, newEntryDispatcher, newStore, newMembers, newPeers, newClaims, newGate),
		fx.Provide(newDrainState, newConfManager, newExchange, newMeter, newFleet, newSched),
		fx.Invoke(startConf, startSched, startAdmin, startEntry),
	)
}

// entrySelf holds the listeners and the link settings of an entry.
type entrySelf struct {
	callers, links, admin net.Listener
	settings              link.Settings
	// callerConns and adminConns count connections that were closed before they had sent a whole request, at the
	// callers' and the operators' listener.
	callerConns, adminConns intake.ListenerCounters
}

func newEntrySelf(c *entryCmd) (*entrySelf, error) {
	open, err := listenAll(c.Listen, c.Link, c.Admin)
	if err != nil {
		return nil, err
	}
	callers, links, admin := open[0], open[1], open[2]
	address := links.Addr().String()
	if c.Advertise != "" {
		address = c.Advertise
	}
	hello := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: entryIncarnation(time.Now()), Role: link.RoleEntry,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: address,
	}
	settings := link.Settings{
		Self: hello, Token: c.Token, Counters: new(link.Counters), Frames: &link.FrameBudget{Limit: c.FrameBudget},
	}
	return &entrySelf{callers: callers, links: links, admin: admin, settings: settings}, nil
}

// entryIncarnation returns an incarnation for the start time now whose low 20 bits, about a
// millisecond, are random. Attempts are numbered by the incarnation, and the numbers of two entries that
// start at the same instant must differ.
func entryIncarnation(now time.Time) model.Incarnation {
	const lowBits = 1<<20 - 1
	return model.NewIncarnation(now)&^lowBits | model.Incarnation(rand.Uint64()&lowBits)
}

func newEntryPool(self *entrySelf) *front.Pool { return &front.Pool{Settings: self.settings} }

func newEntryDispatcher(self *entrySelf, m *peers.Members, p *front.Pool, metrics *meter.Meter, log *slog.Logger) *front.Dispatcher {
	router := &countingRouter{Router: m, meter: metrics, ownRegion: self.settings.Self.Region}
	return &front.Dispatcher{Self: self.settings.Self.Incarnation, Router: router, Pool: p, Log: log}
}

// callerIdleTimeout is the time after which an idle connection of a caller is closed.
const callerIdleTimeout = 2 * time.Minute

// sweepInterval is how often an entry closes unused links to agents.
const sweepInterval = 10 * time.Second

// entryParts are the components that startEntry runs.
type entryParts struct {
	fx.In

	Self       *entrySelf
	Dispatch   *front.Dispatcher
	Members    *peers.Members
	Peers      *peers.Peers
	Claims     *claims.Writer
	Gate       *queue.Gate
	DrainState *drainState
	Conf       *conf.Manager
	Meter      *meter.Meter
}

// flushTimeout bounds the wait until the drain state has been sent over slow links.
const flushTimeout = time.Second

// startEntry runs the listeners and loops of an entry. At the stop it announces that it drains, keeps serving for the
// drain time until the balancer has noticed, refuses further requests as not run, waits for those in progress, and
// then closes the claims writer and the links.
func startEntry(life fx.Lifecycle, c *entryCmd, e entryParts, log *slog.Logger) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(entryMemoryLimit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	self, d := e.Self, e.Dispatch
	handle := front.Chain(
		front.WithClaims(newClaimer(e.Claims), d.Dispatch, d.NextAttempt), countOutcomes(e.Meter),
		front.RefuseWhileStopping(e.DrainState.stopping.Load),
		front.WithAdmission(timedAdmission{e.Gate, e.Meter}), timeService(e.Meter),
	)
	parting := &front.GracefulListener{Listener: self.callers}
	report := &intake.Reporter{Log: log, Meter: e.Meter}
	bodies := &intake.Bodies{Limit: c.BodyBudget, Report: report}
	answers := &front.Answers{Limit: c.AnswerBudget, Report: report}
	callers := &http.Server{
		Handler: &front.Server{
			Handle: handle, MaxBodyBytes: min(link.MaxBodyBytes, bodies.MaxBytes()-headerAllowance), AskToClose: e.DrainState.draining.Load,
			Bodies: bodies, Answers: answers,
		},
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    front.MaxHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			parting.TrackConnState(conn, state)
			intake.TrackRequests(conn, state)
		},
		ConnContext: intake.WithConn,
	}
	links := linkServer(self.settings, e.Peers.Serve, func() bool {
		return !e.DrainState.draining.Load() && e.Conf.Ready() && e.Peers.HasInitialRecords(time.Now())
	})
	peersDone := make(chan struct{})
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info("listening", "listen", self.callers.Addr().String(), "link", self.links.Addr().String(),
				"admin", self.admin.Addr().String())
			go serveHTTP(callers, &intake.Listener{
				Listener: parting, MaxConns: c.MaxConnections, MaxWaiting: front.MaxIdleConns, MaxHeaderBytes: maxWaitingHeaderBytes,
				MakeRoom: func() bool { return bodies.Evict() || answers.Evict() }, Report: report, Counters: &self.callerConns,
			}, log)
			go serveHTTP(links, link.Listen(self.links, link.MaxUnauthenticatedConns, &self.settings.Counters.UnauthenticatedConns), log)
			go runPeriodically(ctx, metricsInterval, addLinkCounts(e.Meter, self, d.Pool, e.Claims))
			go runPeriodically(ctx, gaugeInterval, func(time.Time) {
				e.Meter.Gauge("body_bytes", float64(bodies.Held()))
				e.Meter.Gauge("answer_bytes", float64(answers.Held()))
				e.Meter.Gauge("frame_bytes", float64(self.settings.Frames.Held()))
			})
			go runPeriodically(ctx, sweepInterval, d.Pool.Sweep)
			go runPeriodically(ctx, resizeInterval, func(now time.Time) {
				e.Gate.Resize(concurrencyLimit(now, e.Members, e.Peers))
				divideClaimWrites(e.Claims, e.Peers)
			})
			go func() {
				defer close(peersDone)
				e.Peers.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			e.DrainState.draining.Store(true)
			e.Conf.AnnounceState()
			e.Conf.Flush(flushTimeout)
			time.Sleep(c.Drain)
			e.DrainState.stopping.Store(true)
			parting.AnswerIdleOnClose()
			err := callers.Shutdown(stop)
			parting.Wait()
			closeClaims(stop, e.Claims)
			cancel()
			<-peersDone
			d.Pool.Close()
			_ = links.Close()
			log.Info("stopped")
			return err
		},
	})
}
