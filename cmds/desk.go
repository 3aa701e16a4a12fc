package cmds

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"wagtailhoist/core/alloc"
	"wagtailhoist/core/batch"
	"wagtailhoist/core/model"
	"wagtailhoist/io/evac"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/jobs"
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/owner"
	"wagtailhoist/io/proxy"
	"wagtailhoist/platform"
)

const (
	// storeWatchTimeout is how long a long poll of the store waits for a change. It also bounds how long a dead
	// connection goes unnoticed.
	storeWatchTimeout = 2 * time.Second
	// evacuationWatchTimeout is how long a long poll of an entry for evacuated data centres waits for a change. It is shorter than
	// that of other keys: the owner places nothing by a set that may be older than 4.5 s, which a lost answer must not exceed.
	evacuationWatchTimeout = time.Second
	// deskMemoryLimit is the soft memory limit of the Go runtime in bytes; the smallest VM of an entry has 184 MB.
	deskMemoryLimit = 120 << 20
	// leaseMargin is subtracted from the longest lease to leave time for an extension to reach the worker.
	leaseMargin = 500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests in progress after the drain time.
	shutdownTimeout = 3 * time.Second
	// minBodyBudget leaves room for one body of the largest published size, which may take five times that when it is decoded;
	// maxBodyBudget is the memory of the smallest VM that an idle process and its connections leave.
	minBodyBudget, maxBodyBudget = 4 << 20, 64 << 20
	// minConnections is below any useful number. maxDeskConnections leaves 400 of a VM's 3,900 descriptors without files for links,
	// the store and agents.
	minConnections, maxDeskConnections = 8, 3500
	// maxLinkConns bounds the connections of the link listener: links of agents and calls of other entries. maxProbeConns bounds
	// those of the readiness and the metrics listener each.
	maxLinkConns, maxProbeConns = 1500, 32
	// probeTimeout bounds reading a probe and writing its answer.
	probeTimeout = 5 * time.Second
	// callerHeaderTimeout bounds the time in which a request header arrives; the platform publishes 3 s.
	callerHeaderTimeout = 5 * time.Second
	// maxCallerHeaderBytes is the largest header of a caller's request; the platform publishes it.
	maxCallerHeaderBytes = 16 << 10
	// maxHeadersInProgress bounds the bytes of all unfinished request headers of a listener. Ordinary headers have 300 bytes, so
	// that this is reached by 3,500 of them, or by 64 of the largest size.
	maxHeadersInProgress = 1 << 20
	// answerTimeout bounds writing an answer, also one that net/http gives itself.
	answerTimeout = 10 * time.Second
	// gaugeInterval is how often the gauge of bytes in progress is set.
	gaugeInterval = time.Second
	// maxShare bounds the share of processor time, in cores.
	maxShare = 1024
	// linkSilenceTimeout is the time without a received byte after which a link is closed.
	linkSilenceTimeout = 2 * time.Second
)

// deskCmd runs an entry of the users' platform. It accepts jobs from callers; one of the entries is elected owner and
// schedules the jobs of all.
type deskCmd struct {
	nodeFlags
	Listen  string        `required:"" help:"Address of the callers' listener."`
	Ready   string        `required:"" help:"Address of the balancer's readiness listener."`
	Link    string        `required:"" help:"Address of the link listener."`
	Metrics string        `help:"Address of the metrics listener. Without it, no metrics are served."`
	Store   string        `required:"" help:"IP:port of the platform's store."`
	Advice  string        `help:"IP:port of the advice service. Without it, jobs of queues that require advice stay queued."`
	Hold    time.Duration `default:"10s" help:"Longest lease of a worker without an extension."`
	Early   time.Duration `default:"0s" help:"How long before its due time an occurrence of a job may be placed."`
	Remote  float64       `default:"3" help:"Factor by which work away from its data is slower."`
	Keep    time.Duration `default:"2m" help:"How long the state of an ended job can be read."`
	Share   float64       `default:"0" help:"Share of processor time of this VM in cores; entries with a large share are elected first. 0 means unknown."`
	Drain   time.Duration `default:"2200ms" help:"Time that the balancer needs to see that the entry is not ready."`

	BodyBudget     int `default:"12582912" help:"Bytes of memory for all callers' bodies in progress."`
	MaxConnections int `default:"2048" help:"Largest number of callers' connections."`

	RefuseLate bool `help:"Refuse jobs that can't start while their result is of use. Set it on all entries."`
}

func (c *deskCmd) validate(k *validator) {
	c.nodeFlags.validate(k)
	k.listen("listen", c.Listen)
	k.listen("ready", c.Ready)
	k.listen("link", c.Link)
	if c.Metrics != "" {
		k.listen("metrics", c.Metrics)
	}
	k.distinct("listen", c.Listen, "ready", c.Ready, "link", c.Link)
	k.join("store", []string{c.Store})
	if c.Advice != "" {
		k.join("advice", []string{c.Advice})
	}
	k.duration("hold", c.Hold, 2*time.Second, 10*time.Minute)
	k.duration("early", c.Early, 0, time.Minute)
	k.duration("keep", c.Keep, time.Second, 24*time.Hour)
	k.duration("drain", c.Drain, 0, time.Minute)
	k.count("body-budget", c.BodyBudget, minBodyBudget, maxBodyBudget)
	k.count("max-connections", c.MaxConnections, minConnections, maxDeskConnections)
	if c.Remote < 1 {
		k.failFlag("remote", "", "a number of at least 1")
	}
	if c.Share < 0 || c.Share > maxShare {
		k.failFlag("share", "", "a number of cores from 0 to 1024")
	}
}

// Run runs the entry until SIGTERM or SIGINT.
func (c *deskCmd) Run(s streams) error {
	return serveBounded(s, c.Level, c.ID,
		fx.Supply(c),
		fx.Provide(newDeskStore, newWatcher, newDeskEvacuations, newOwner, newNotifier, newJobGate, newJobService, newDeskMeter),
		fx.Invoke(startDesk),
	)
}

// newDeskStore returns a store client that can reach the store through other entries, and the mirror that lists them.
func newDeskStore(c *deskCmd, log *slog.Logger) (*proxy.Store, *mirror.Mirror) {
	return newProxiedStore(c.Store, c.Token, &mirror.Mirror{Wait: storeWatchTimeout, Log: log}, c.Link, log)
}

// newProxiedStore returns a client of the store at address that falls back to the entries in mirror m as proxies, and
// makes the mirror read through it. The entry with the address self is not used as a proxy.
func newProxiedStore(address, token string, m *mirror.Mirror, self string, log *slog.Logger) (*proxy.Store, *mirror.Mirror) {
	s := &proxy.Store{
		Direct: &platform.Store{Address: address, HTTP: platform.NewHTTP()},
		Token:  token, HTTP: platform.NewHTTP(), Log: log,
		Peers: func() []string { return m.Entries(self) },
	}
	m.Store = s
	return s, m
}

func newWatcher(s *proxy.Store, log *slog.Logger) *platform.Watcher {
	return &platform.Watcher{Store: s, Wait: storeWatchTimeout, Log: log}
}

func newDeskEvacuations(s *proxy.Store, metrics *meter.Meter, log *slog.Logger) *evac.Watcher {
	w := newEvacuations(s, evacuationWatchTimeout, log)
	w.Changed = metrics.EvacuatedCentres
	return w
}

// newEvacuations returns a watcher of the operator's requests to evacuate data centres.
func newEvacuations(s mirror.Store, wait time.Duration, log *slog.Logger) *evac.Watcher {
	return &evac.Watcher{Store: s, Prefix: platform.EvacuationPrefix, Centre: platform.EvacuatedCentre, Wait: wait, Log: log}
}

func newOwner(
	c *deskCmd, s *proxy.Store, m *mirror.Mirror, w *platform.Watcher, e *evac.Watcher, metrics *meter.Meter, log *slog.Logger,
) *owner.Owner {
	var advisor owner.Advisor
	if c.Advice != "" {
		advisor = &platform.Advisor{Address: c.Advice, HTTP: platform.NewHTTP()}
	}
	return &owner.Owner{
		Advisor: advisor, Evacuations: e, Store: s, Mirror: m, Self: mirror.EntryInfo{ID: c.ID, Address: c.Link, Share: c.Share}, Log: log, Meter: metrics,
		Forecasts: c.RefuseLate,
		Settings: alloc.Settings{
			Lease: c.Hold - leaseMargin, EarlyStart: c.Early / 2, RemoteSlowdown: c.Remote, Retention: c.Keep + c.Keep/2,
		},
		Policy: func() (batch.Policy, uint64) {
			if d := w.Desired(); d != nil {
				return d.Policy, d.Revision
			}
			return batch.Policy{}, 0
		},
	}
}

func newNotifier(c *deskCmd, m *mirror.Mirror, o *owner.Owner, g *jobs.Gate, log *slog.Logger) *jobs.Notifier {
	n := &jobs.Notifier{Mirror: m, Self: c.Link, Token: c.Token, HTTP: platform.NewHTTP(), Log: log}
	if g != nil {
		n.Forecast, n.TakeForecast = o.Forecast, g.TakeForecast
	}
	return n
}

// newJobGate returns nil, which accepts all jobs, unless jobs are refused for lack of capacity.
func newJobGate(c *deskCmd, s *proxy.Store, m *mirror.Mirror, o *owner.Owner, metrics *meter.Meter, log *slog.Logger) *jobs.Gate {
	if !c.RefuseLate {
		return nil
	}
	return &jobs.Gate{Store: s, Leases: s, Mirror: m, Policy: o.Policy, Own: o.Forecast, Log: log, Meter: metrics}
}

func newJobService(s *proxy.Store, m *mirror.Mirror, n *jobs.Notifier, g *jobs.Gate) *jobs.Service {
	return &jobs.Service{Store: s, Mirror: m, Notify: n.Notify, Gate: g}
}

// newDeskMeter returns nil, a meter that records nothing, if there is no metrics listener.
func newDeskMeter(c *deskCmd) *meter.Meter {
	if c.Metrics == "" {
		return nil
	}
	return meter.New()
}

// serveMetrics serves the metrics until the process ends. If it can't listen it logs the error, because callers can
// be served without metrics.
func serveMetrics(address string, m *meter.Meter, log *slog.Logger) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("metrics are not served: listening failed", "address", address, "error", err)
		return
	}
	r := mux.NewRouter()
	r.Handle("/metrics", m.Handler())
	serveHTTP(probeServer(r), &intake.Listener{Listener: l, MaxConns: maxProbeConns}, log)
}

// probeServer returns a server for short requests without a body.
func probeServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxCallerHeaderBytes, ConnState: intake.TrackRequests,
	}
}

// deskParts are the components that startDesk runs.
type deskParts struct {
	fx.In

	Watcher     *platform.Watcher
	Evacuations *evac.Watcher
	Mirror      *mirror.Mirror
	Store       *proxy.Store
	Owner       *owner.Owner
	Notifier    *jobs.Notifier
	Jobs        *jobs.Service
	Gate        *jobs.Gate
	Meter       *meter.Meter
}

// startDesk runs the components and listeners of an entry. At the stop it first gives up scheduling and reports not
// ready, so that another entry can become the owner, keeps serving for the drain time until the balancer has noticed,
// and then finishes the requests in progress.
func startDesk(life fx.Lifecycle, c *deskCmd, p deskParts, log *slog.Logger) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(deskMemoryLimit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ownerCtx, stopOwner := context.WithCancel(ctx)
	var stopping atomic.Bool
	report := &intake.Reporter{Log: log, Meter: p.Meter}
	front := &platform.JobHandler{Jobs: p.Jobs, Desired: p.Watcher.Desired, Refresh: p.Watcher.Refresh, Log: log, Meter: p.Meter, Report: report}
	front.Bodies.Limit, front.Bodies.Report = int64(c.BodyBudget), report
	callers := callerServer(front)
	ready := probeServer(readinessHandler(func() bool {
		_, _, synced := p.Mirror.Status()
		return synced && p.Watcher.Desired() != nil && !stopping.Load()
	}))
	links := newDeskLinkServer(c, p)
	var loops sync.WaitGroup
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			open, err := listenAll(c.Listen, c.Ready, c.Link)
			if err != nil {
				return err
			}
			log.Info("listening", "listen", c.Listen, "ready", c.Ready, "link", c.Link, "store", c.Store, "hold", c.Hold)
			go serveHTTP(callers, &intake.Listener{
				Listener: open[0], MaxConns: c.MaxConnections, MaxHeaderBytes: maxHeadersInProgress,
				MakeRoom: front.Bodies.Evict, Report: report,
			}, log)
			go serveHTTP(ready, &intake.Listener{Listener: open[1], MaxConns: maxProbeConns, Report: report}, log)
			go serveHTTP(links, &intake.Listener{Listener: open[2], MaxConns: maxLinkConns, Report: report}, log)
			go runPeriodically(ctx, gaugeInterval, func(time.Time) {
				p.Meter.Gauge("body_bytes", float64(front.Bodies.Held()))
				p.Gate.ReportAge()
			})
			loops.Go(func() { p.Watcher.Run(ctx) })
			loops.Go(func() { p.Evacuations.Run(ctx) })
			loops.Go(func() { p.Mirror.Run(ctx) })
			loops.Go(func() { p.Owner.Run(ownerCtx) })
			loops.Go(func() { p.Owner.Register(ctx) })
			go serveMetrics(c.Metrics, p.Meter, log)
			go ignoreSIGHUP(ctx, log)
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			stopping.Store(true)
			front.Closing.Store(true)
			stopOwner()
			time.Sleep(c.Drain)
			stop, cancelShutdown := context.WithTimeout(stop, shutdownTimeout)
			defer cancelShutdown()
			err := callers.Shutdown(stop)
			cancel()
			loops.Wait()
			_, _, _ = links.Close(), ready.Close(), p.Meter.Close()
			log.Info("stopped")
			return err
		},
	})
}

// callerServer returns a server for callers nobody controls. Its handler sets shorter limits for a body and its answer.
func callerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: callerHeaderTimeout, ReadTimeout: intake.MaxArrival, WriteTimeout: answerTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxCallerHeaderBytes, ConnState: intake.TrackRequests,
	}
}

// newDeskLinkServer returns the server of the link listener, which accepts links of agents, store calls that this
// entry proxies for other processes, and job notifications from other entries.
func newDeskLinkServer(c *deskCmd, p deskParts) *http.Server {
	self := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: entryIncarnation(time.Now()), Role: link.RoleEntry,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: c.Link,
	}
	s := link.Settings{Self: self, Token: c.Token, SilenceTimeout: linkSilenceTimeout}
	server := linkServer(s, p.Owner.ServeAgent, func() bool { return true })
	server.ConnState = intake.TrackRequests
	router := mux.NewRouter()
	router.Handle(proxy.Path, p.Store)
	router.Handle(jobs.NotifyPath, p.Notifier)
	router.PathPrefix("/").Handler(server.Handler)
	server.Handler = router
	return server
}

// readinessHandler answers the balancer's probes with the result of ready.
func readinessHandler(ready func() bool) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return r
}

// ignoreSIGHUP keeps SIGHUP from ending the process and logs each one: settings come from flags and environment
// variables, which are read once at the start.
func ignoreSIGHUP(ctx context.Context, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("reload: the settings of this process are fixed at its start")
		}
	}
}
