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
	"wagtailhoist/io/link"
	"wagtailhoist/io/meter"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/sched"
)

const (
	// lostTime is how long a process that vanished without draining stays in the status; it may
	// run on behind a partition.
	lostTime = time.Minute
	// censusInterval is how often the processes are counted to notice lost ones.
	censusInterval = time.Second
	// adminTime bounds the reading of a request and the writing of an answer.
	adminTime = 15 * time.Second
	// answerLimit bounds the wait at a stop for answers in progress: the answer to the call that stops
	// the process is among them, and takes milliseconds.
	answerLimit = 2 * time.Second
)

// fleet knows the processes of the system as an entry sees them.
type fleet struct {
	self     link.Hello
	phase    *phase
	exchange *conf.Exchange
	members  *peers.Members
	stop     func()
	workers  func(context.Context) ([]model.Worker, error)

	mu   sync.Mutex
	seen map[model.NodeID]sighting
}

// sighting is a process and when it was last seen.
type sighting struct {
	process admin.Process
	at      time.Time
}

var _ admin.Fleet = (*fleet)(nil)

// Processes returns the live processes, and the ones that were lost lately.
func (f *fleet) Processes() []admin.Process {
	return f.census(time.Now())
}

func (f *fleet) census(now time.Time) []admin.Process {
	self, linked := f.exchange.Manager.Status()
	live := map[model.NodeID]admin.Process{}
	add := func(p admin.Process, s conf.Status, known bool) {
		p.Config = admin.NotKnown
		if known {
			p.Revision, p.Watch, p.Config, p.Fault = s.Force, s.Watch != "", admin.Unconfirmed, s.Fault
			if s.Confirmed {
				p.Config = admin.Confirmed
			}
			if !s.Ready {
				p.State = "starting"
			}
		}
		live[p.ID] = p
	}
	add(processOf(f.self, f.phase.state()), self, true)
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
	return f.withLost(now, live)
}

func processOf(h link.Hello, state model.State) admin.Process {
	return admin.Process{ID: h.Node, Role: string(h.Role), Region: h.Region, Centre: h.Centre, State: state.String()}
}

// withLost notes the live processes and adds those that vanished without a planned stop.
func (f *fleet) withLost(now time.Time, live map[model.NodeID]admin.Process) []admin.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seen == nil {
		f.seen = map[model.NodeID]sighting{}
	}
	out := make([]admin.Process, 0, len(live))
	for id, p := range live {
		f.seen[id] = sighting{p, now}
		out = append(out, p)
	}
	for id, s := range f.seen {
		planned := s.process.State == model.Draining.String() || s.process.State == model.Gone.String() ||
			f.exchange.Left(id)
		switch {
		case s.at.Equal(now):
		case planned || now.Sub(s.at) > lostTime:
			delete(f.seen, id)
		default:
			s.process.State, s.process.Watch = stateLost, false
			out = append(out, s.process)
		}
	}
	return out
}

// Records returns the records of agents.
func (f *fleet) Records() []model.Record { return f.members.Records(time.Now()) }

// Workers returns the workers of the platform, nil without a worker service.
func (f *fleet) Workers(ctx context.Context) ([]model.Worker, error) {
	if f.workers == nil {
		return nil, nil
	}
	return f.workers(ctx)
}

// Drain stops this process, or tells a linked one to stop.
func (f *fleet) Drain(_ context.Context, id model.NodeID) error {
	if id == f.self.Node {
		f.stop()
		return nil
	}
	found, err := f.exchange.Drain(id)
	if !found {
		return &query.MissingError{Kind: "process linked to this entry", Name: string(id)}
	}
	if err != nil {
		return &admin.Failure{Kind: admin.KindUnknown, Text: "the command may not have arrived: " + err.Error()}
	}
	return nil
}

func newMeter(life fx.Lifecycle) *meter.Meter {
	m := meter.New()
	life.Append(fx.Hook{OnStop: func(context.Context) error { return m.Close() }})
	return m
}

func newFleet(
	c *entryCmd, self *entrySelf, p *phase, x *conf.Exchange, m *peers.Members, s *sched.Sched,
	shutdown fx.Shutdowner, log *slog.Logger,
) *fleet {
	f := &fleet{self: self.settings.Self, phase: p, exchange: x, members: m, stop: stopper(shutdown, log)}
	if s != nil {
		f.workers = func(ctx context.Context) ([]model.Worker, error) {
			workers, err := s.Works.Workers(ctx)
			if err != nil {
				return nil, err
			}
			return s.Mark(workers)
		}
	}
	return f
}

// startAdmin serves the operators' API of an entry.
func startAdmin(
	life fx.Lifecycle, c *entryCmd, self *entrySelf, f *fleet, m *conf.Manager, figures *meter.Meter,
	s *sched.Sched, log *slog.Logger,
) {
	api := &admin.Server{ID: f.self.Node, Token: c.Token, Config: m, Fleet: f, Meter: figures, Log: log}
	if s != nil {
		api.Jobs = jobControl{sched: s, conf: m}
	}
	server := &http.Server{
		Handler: api.Handler(), ReadTimeout: adminTime, WriteTimeout: adminTime,
		MaxHeaderBytes: admin.MaxHeader, ConnState: link.Serving, ConnContext: link.WithConn,
	}
	background(life, func(ctx context.Context) { every(ctx, censusInterval, func(now time.Time) { f.census(now) }) })
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go serveHTTP(server, link.Listen(self.admin, admin.Guests, &self.adminGuests), log)
			return nil
		},
		OnStop: func(stop context.Context) error { return closeAnswered(stop, server) },
	})
}

// closeAnswered closes a server once its answers in progress are written, or after answerLimit.
func closeAnswered(ctx context.Context, server *http.Server) error {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}

// listenAll opens the listeners of an entry, or none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var open []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range open {
				_ = l.Close() // the process ends
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}
