package cmds

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/core/query"
	"wagtailhoist/io/admin"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/intake"
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/sched"
)

const (
	// lostRetention is how long the status lists a process that vanished without draining: it may
	// still run behind a network partition.
	lostRetention = time.Minute
	// processScanInterval is how often the live processes are recorded to detect lost ones.
	processScanInterval = time.Second
	// adminIOTimeout bounds reading a request and writing its response on the operators' listener.
	adminIOTimeout = 15 * time.Second
	// adminShutdownTimeout bounds the wait for responses in progress when the process stops. The response to
	// the drain call that stops it is one of them, and takes milliseconds.
	adminShutdownTimeout = 2 * time.Second
)

// fleet implements admin.Fleet from the links and the membership records of an entry.
type fleet struct {
	self       link.Hello
	drainState *drainState
	exchange   *conf.Exchange
	members    *peers.Members
	stop       func()
	workers    func(context.Context) ([]model.Worker, error)

	mu        sync.Mutex
	sightings map[model.NodeID]sighting
}

// sighting is the last known status of a process and when the process was last seen.
type sighting struct {
	process admin.Process
	at      time.Time
}

var _ admin.Fleet = (*fleet)(nil)

// Processes returns the live processes and those lost within lostRetention.
func (f *fleet) Processes() []admin.Process {
	return f.processesAt(time.Now())
}

// processesAt returns this process, the linked entries and the agents with membership records at the time now, and the
// processes lost before.
func (f *fleet) processesAt(now time.Time) []admin.Process {
	self, linked := f.exchange.Manager.Status()
	live := map[model.NodeID]admin.Process{}
	add := func(p admin.Process, s conf.Status, known bool) {
		p.Config = admin.NotKnown
		if known {
			p.Revision, p.Watch, p.Config, p.Fault = s.InUse, s.Watch != "", admin.Unconfirmed, s.Fault
			if s.Confirmed {
				p.Config = admin.Confirmed
			}
			if !s.Ready {
				p.State = "starting"
			}
		}
		live[p.ID] = p
	}
	add(processOf(f.self, f.drainState.state()), self, true)
	for _, hello := range f.exchange.Peers() {
		if hello.Role == link.RoleEntry {
			s, known := linked[hello.Node]
			add(processOf(hello, s.State), s, known)
		}
	}
	for _, r := range f.members.Records(now) {
		s, known := linked[r.ID]
		add(admin.Process{
			ID: r.ID, Role: string(link.RoleAgent), Region: r.Region, Centre: r.Centre, State: r.State.String(), Revision: r.Revision,
		}, s, known)
	}
	return f.trackLost(now, live)
}

func processOf(h link.Hello, state model.State) admin.Process {
	return admin.Process{ID: h.Node, Role: string(h.Role), Region: h.Region, Centre: h.Centre, State: state.String()}
}

// trackLost records the live processes as seen now, and returns them together with the lost ones: those that
// vanished within lostRetention and were not draining when last seen.
func (f *fleet) trackLost(now time.Time, live map[model.NodeID]admin.Process) []admin.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sightings == nil {
		f.sightings = map[model.NodeID]sighting{}
	}
	out := make([]admin.Process, 0, len(live))
	for id, p := range live {
		f.sightings[id] = sighting{p, now}
		out = append(out, p)
	}
	for id, s := range f.sightings {
		planned := s.process.State == model.Draining.String() || s.process.State == model.Stopped.String() ||
			f.exchange.StoppedAsPlanned(id)
		switch {
		case s.at.Equal(now):
		case planned || now.Sub(s.at) > lostRetention:
			delete(f.sightings, id)
		default:
			s.process.State, s.process.Watch = stateLost, false
			out = append(out, s.process)
		}
	}
	return out
}

// Records returns the membership records of the agents.
func (f *fleet) Records() []model.Record { return f.members.Records(time.Now()) }

// Workers returns the workers of the platform, or nil if the entry has no worker service.
func (f *fleet) Workers(ctx context.Context) ([]model.Worker, error) {
	if f.workers == nil {
		return nil, nil
	}
	return f.workers(ctx)
}

// Drain stops this process if id is its own, and otherwise sends the drain command over the link to process id.
func (f *fleet) Drain(_ context.Context, id model.NodeID) error {
	if id == f.self.Node {
		f.stop()
		return nil
	}
	found, err := f.exchange.SendDrain(id)
	if !found {
		return &query.MissingError{Kind: "process linked to this entry", Name: string(id)}
	}
	if err != nil {
		return &admin.Failure{Kind: admin.KindUnknown, Text: "the drain command may not have reached the process: " + err.Error()}
	}
	return nil
}

func newMeter(life fx.Lifecycle) *meter.Meter {
	m := meter.New()
	life.Append(fx.Hook{OnStop: func(context.Context) error { return m.Close() }})
	return m
}

func newFleet(
	c *entryCmd, self *entrySelf, p *drainState, x *conf.Exchange, m *peers.Members, s *sched.Sched,
	shutdown fx.Shutdowner, log *slog.Logger,
) *fleet {
	f := &fleet{self: self.settings.Self, drainState: p, exchange: x, members: m, stop: shutdownFunc(shutdown, log)}
	if s != nil {
		f.workers = func(ctx context.Context) ([]model.Worker, error) {
			workers, err := s.Works.Workers(ctx)
			if err != nil {
				return nil, err
			}
			return s.SetCells(workers)
		}
	}
	return f
}

// startAdmin serves the operators' API of an entry until the process stops.
func startAdmin(
	life fx.Lifecycle, c *entryCmd, self *entrySelf, f *fleet, m *conf.Manager, metrics *meter.Meter,
	s *sched.Sched, log *slog.Logger,
) {
	api := &admin.Server{
		ID: f.self.Node, Token: c.Token, Config: m, Fleet: f, Meter: metrics, Log: log,
		Bodies: &intake.Bodies{Limit: c.AdminBudget, Report: &intake.Reporter{Log: log, Meter: metrics}},
	}
	if s != nil {
		api.Jobs = jobControl{sched: s, conf: m}
	}
	server := &http.Server{
		Handler: api.Handler(), ReadTimeout: adminIOTimeout, WriteTimeout: adminIOTimeout,
		MaxHeaderBytes: admin.MaxHeaderBytes, ConnState: intake.TrackConnState, ConnContext: intake.WithConn,
	}
	runUntilStop(life, func(ctx context.Context) {
		runPeriodically(ctx, processScanInterval, func(now time.Time) { f.processesAt(now) })
	})
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go serveHTTP(server, link.Listen(self.admin, admin.MaxIdleConns, &self.adminConns), log)
			return nil
		},
		OnStop: func(stop context.Context) error { return shutdownOrClose(stop, server) },
	})
}

// shutdownOrClose shuts a server down gracefully, and closes its connections if that exceeds adminShutdownTimeout.
func shutdownOrClose(ctx context.Context, server *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, adminShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}

// listenAll listens on all addresses. If one fails, it closes the listeners opened so far.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range open {
				_ = l.Close() // the process exits with err
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}
