package cmds

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/agent"
	"wagtailhoist/io/conf"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
	"wagtailhoist/io/store"
)

// askedAgents is the number of unlinked agents that a new entry asks for their revision, those with
// the highest one in their records first: the records say that the others have no higher one.
const askedAgents = 16

// phase is the drain state of a process.
type phase struct{ draining, stopping atomic.Bool }

// state returns the state to tell others.
func (p *phase) state() model.State {
	if p.draining.Load() {
		return model.Draining
	}
	return model.Ready
}

func newPhase() *phase { return new(phase) }

// newConf returns the manager of the configuration of an entry. An entry without a store has no
// configuration, and is ready at once.
func newConf(life fx.Lifecycle, self *entrySelf, s *store.Client, p *phase, log *slog.Logger) *conf.Manager {
	hello := self.settings.Self
	o := conf.Options{ID: hello.Node, Region: hello.Region, Life: hello.Incarnation, State: p.state, Log: log}
	if s != nil {
		o.Store = s
	}
	m := conf.New(o)
	if s == nil {
		m.Alone()
	}
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

// stopper returns a function that stops the process as SIGTERM does.
func stopper(shutdown fx.Shutdowner, log *slog.Logger) func() {
	return func() {
		if err := shutdown.Shutdown(); err != nil {
			log.Error("can't stop", "error", err)
		}
	}
}

func newExchange(m *conf.Manager, shutdown fx.Shutdowner, log *slog.Logger) *conf.Exchange {
	return &conf.Exchange{Manager: m, OnDrain: stopper(shutdown, log), Log: log}
}

// startConf carries the configuration over the links of an entry.
func startConf(life fx.Lifecycle, self *entrySelf, x *conf.Exchange, p *peers.Peers, m *peers.Members, g *queue.Gate) {
	p.Up, p.Down, p.Other = x.Linked, x.Unlinked, x.Heard
	p.Revision = func() model.Revision {
		c, _, _ := x.Manager.Force()
		return c.Revision
	}
	x.Manager.OnForce(func(_ model.Revision, d model.Declaration) {
		weights := make(map[model.Team]int, len(d.Teams))
		for _, t := range d.Teams {
			weights[t.Name] = t.Weight
		}
		g.SetWeights(weights)
	})
	background(life, func(ctx context.Context) {
		x.Probe(ctx, self.settings, func() map[model.NodeID]conf.Target {
			out := map[model.NodeID]conf.Target{}
			records := m.Records(time.Now())
			slices.SortFunc(records, func(a, b model.Record) int { return cmp.Compare(b.Revision, a.Revision) })
			for _, r := range records[:min(len(records), askedAgents)] {
				out[r.ID] = conf.Target{Address: r.Address, Ask: true}
			}
			for _, e := range x.Known() {
				// Entries keep one link for each pair, so that another one would replace it.
				out[e.ID] = conf.Target{Address: e.Address}
			}
			return out
		})
	})
}

// newAgentConf returns the manager of the configuration of an agent.
func newAgentConf(life fx.Lifecycle, self agentSelf, a *agent.Agent, log *slog.Logger) *conf.Manager {
	m := conf.New(conf.Options{
		ID: self.record.ID, Region: self.record.Region, Life: self.record.Incarnation, State: a.State, Log: log,
	})
	background(life, m.Run)
	return m
}

// startAgentConf carries the configuration over the links of an agent.
func startAgentConf(life fx.Lifecycle, self agentSelf, x *conf.Exchange, a *agent.Agent) {
	a.Config, x.Agent = x, true
	x.Manager.OnForce(func(r model.Revision, _ model.Declaration) { a.SetRevision(r) })
	background(life, func(ctx context.Context) {
		x.Probe(ctx, self.settings, func() map[model.NodeID]conf.Target {
			out := map[model.NodeID]conf.Target{}
			for _, e := range x.Known() {
				if e.Region == self.record.Region {
					out[e.ID] = conf.Target{Address: e.Address, Ask: true}
				}
			}
			return out
		})
	})
}

var _ agent.Config = (*conf.Exchange)(nil)

// agentReady reports whether an agent accepts work and has a configuration in force.
func agentReady(a *agent.Agent, m *conf.Manager) func() bool {
	return func() bool { return a.Ready() && m.Ready() }
}
