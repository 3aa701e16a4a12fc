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
	// freeLinkFrameBytes is the size up to which the frames on the links of a desk or runner aren't counted: with 1,500 links they
	// take 6 MB. An agent's report has under 500 bytes without runs, and about 100 more for each run.
	freeLinkFrameBytes = 4 << 10
	// minConnections is below any useful number. maxDeskConnections leaves 400 of a VM's 3,900 descriptors without files for links,
	// the store and agents.
	minConnections, maxDeskConnections = 8, 3500
	// minLinks leaves room for a call of another entry beside a few links, and maxDeskLinks for all agents of a large system. Links
	// take some 60 KB each; the default keeps them within half of the memory of the smallest VM.
	minLinks, maxDeskLinks = 8, 1 << 16
	// maxProbeConns bounds the connections of the readiness and of the metrics listener each.
	maxProbeConns = 32
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

	TeamOrder string `default:"deadline" enum:"deadline,share" help:"Order of waiting work of one priority: by deadline, or by what its team has used recently while capacity is short."`

	BodyBudget     int `default:"12582912" help:"Bytes of memory for all callers' bodies in progress."`
	FrameBudget    int `default:"16777216" help:"Bytes of memory for all frames that are received over links at the same time."`
	PeerBudget     int `default:"25165824" help:"Bytes of memory for all calls of other entries and agents in progress: forwarded calls of the store, and notifications."`
	AnswerBudget   int `default:"37748736" help:"Bytes of memory for all answers of the store to forwarded calls that aren't passed on yet."`
	MaxConnections int `default:"2048" help:"Largest number of callers' connections."`
	MaxLinks       int `default:"1500" help:"Largest number of connections of the link listener: links of agents, and calls of other entries and agents."`

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
	k.count("frame-budget", c.FrameBudget, link.MinFrameBudget, maxBodyBudget)
	k.count("peer-budget", c.PeerBudget, proxy.MinBudget, maxBodyBudget)
	k.count("answer-budget", c.AnswerBudget, proxy.MinAnswerBudget, maxBodyBudget)
	k.count("max-connections", c.MaxConnections, minConnections, maxDeskConnections)
	k.count("max-links", c.MaxLinks, minLinks, maxDeskLinks)
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
		fx.Provide(newPeerBodies, newDeskStore, newWatcher, newDeskEvacuations, newOwner, newNotifier, newJobGate, newJobService, newDeskMeter, newDeskReporter),
		fx.Invoke(startDesk),
	)
}

// newDeskStore returns a store client that can reach the store through other entries, and the mirror that lists them.
func newDeskStore(c *deskCmd, peers *intake.Bodies, report *intake.Reporter, log *slog.Logger) (*proxy.Store, *mirror.Mirror) {
	s, m := newProxiedStore(c.Store, c.Token, &mirror.Mirror{Wait: storeWatchTimeout, Log: log}, c.Link, log)
	s.Bodies, s.Answers = peers, &proxy.Answers{Limit: int64(c.AnswerBudget), Report: report}
	return s, m
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
			TeamOrder: alloc.TeamOrder(c.TeamOrder),
		},
		Policy: func() (batch.Policy, uint64) {
			if d := w.Desired(); d != nil {
				return d.Policy, d.Revision
			}
			return batch.Policy{}, 0
		},
	}
}

func newNotifier(c *deskCmd, m *mirror.Mirror, o *owner.Owner, g *jobs.Gate, peers *intake.Bodies, log *slog.Logger) *jobs.Notifier {
	n := &jobs.Notifier{Mirror: m, Self: c.Link, Token: c.Token, HTTP: platform.NewHTTP(), Log: log, Bodies: peers}
	if g != nil {
		n.Forecast, n.TakeForecast = o.Forecast, g.TakeForecast
	}
	return n
}

// newPeerBodies returns the reader of the calls of other processes, which share a memory budget.
func newPeerBodies(c *deskCmd, report *intake.Reporter) *intake.Bodies {
	return &intake.Bodies{Limit: int64(c.PeerBudget), Report: report}
}

// newDeskReporter returns the reporter of all limits of the process, which share its log line.
func newDeskReporter(m *meter.Meter, log *slog.Logger) *intake.Reporter {
	return &intake.Reporter{Log: log, Meter: m}
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
	PeerBodies  *intake.Bodies
	Report      *intake.Reporter
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
	report := p.Report
	front := &platform.JobHandler{Jobs: p.Jobs, Desired: p.Watcher.Desired, Refresh: p.Watcher.Refresh, Log: log, Meter: p.Meter, Report: report}
	front.Bodies.Limit, front.Bodies.Report = int64(c.BodyBudget), report
	callers := callerServer(front)
	ready := probeServer(readinessHandler(func() bool {
		_, _, synced := p.Mirror.Status()
		return synced && p.Watcher.Desired() != nil && !stopping.Load()
	}))
	settings := newDeskLinkSettings(c)
	links := newDeskLinkServer(settings, p)
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
			go serveHTTP(links, &intake.Listener{Listener: open[2], MaxConns: c.MaxLinks, Report: report}, log)
			go runPeriodically(ctx, gaugeInterval, func(time.Time) {
				p.Meter.Gauge("body_bytes", float64(front.Bodies.Held()))
				p.Meter.Gauge("peer_bytes", float64(p.PeerBodies.Held()))
				p.Meter.Gauge("answer_bytes", float64(p.Store.Answers.Held()))
				p.Meter.Gauge("frame_bytes", float64(settings.Frames.Held()))
				p.Gate.ReportAge()
			})
			go runPeriodically(ctx, metricsInterval, addCounts(p.Meter, brokenLinkSources(settings.Counters)))
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

// newDeskLinkSettings returns the settings of all links to agents.
func newDeskLinkSettings(c *deskCmd) link.Settings {
	self := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: entryIncarnation(time.Now()), Role: link.RoleEntry,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: c.Link,
	}
	return link.Settings{
		Self: self, Token: c.Token, SilenceTimeout: linkSilenceTimeout, Counters: new(link.Counters),
		Frames: &link.FrameBudget{Limit: int64(c.FrameBudget), Free: freeLinkFrameBytes},
	}
}

// newDeskLinkServer returns the server of the link listener, which accepts links of agents, store calls that this
// entry proxies for other processes, and job notifications from other entries.
func newDeskLinkServer(s link.Settings, p deskParts) *http.Server {
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
