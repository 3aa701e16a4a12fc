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
	"wagtailhoist/io/meter"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
	"wagtailhoist/io/store"
)

// maxProbedAgents is the number of unlinked agents that a new entry queries for their revision. It
// queries those with the highest revisions in their membership records, so the others have no higher one.
const maxProbedAgents = 16

// drainState tells how far a process has got with its shutdown: draining, and then refusing all requests.
type drainState struct{ draining, stopping atomic.Bool }

// state returns the state that is announced to other processes.
func (p *drainState) state() model.State {
	if p.draining.Load() {
		return model.Draining
	}
	return model.Ready
}

func newDrainState() *drainState { return new(drainState) }

// newConfManager returns the configuration manager of an entry. An entry without a store has an empty
// configuration, which is in force at once.
func newConfManager(life fx.Lifecycle, self *entrySelf, s *store.Client, p *drainState, log *slog.Logger) *conf.Manager {
	hello := self.settings.Self
	o := conf.Options{ID: hello.Node, Region: hello.Region, Incarnation: hello.Incarnation, DrainState: p.state, Log: log}
	if s != nil {
		o.Store = s
	}
	m := conf.New(o)
	if s == nil {
		m.ActivateEmpty()
	}
	runUntilStop(life, m.Run)
	return m
}

// runUntilStop runs fn in a goroutine from the start of the process; at the stop it cancels fn's context and waits
// for fn to return.
func runUntilStop(life fx.Lifecycle, fn func(context.Context)) {
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

// shutdownFunc returns a function that stops the process in the way SIGTERM does.
func shutdownFunc(shutdown fx.Shutdowner, log *slog.Logger) func() {
	return func() {
		if err := shutdown.Shutdown(); err != nil {
			log.Error("starting the shutdown failed; the process keeps running", "error", err)
		}
	}
}

func newExchange(m *conf.Manager, shutdown fx.Shutdowner, log *slog.Logger) *conf.Exchange {
	return &conf.Exchange{Manager: m, OnDrain: shutdownFunc(shutdown, log), Log: log}
}

// startConf distributes the configuration over the links of an entry. It applies the team weights of each revision that
// comes into force to the admission gate, and the evacuated data centres to the routing.
func startConf(life fx.Lifecycle, self *entrySelf, x *conf.Exchange, p *peers.Peers, m *peers.Members, g *queue.Gate, metrics *meter.Meter) {
	p.OnLinkUp, p.OnLinkDown, p.OnFrame = x.AddLink, x.RemoveLink, x.HandleFrame
	p.Revision = func() model.Revision {
		c, _, _ := x.Manager.InUse()
		return c.Revision
	}
	x.Manager.OnActivate(func(_ model.Revision, d model.Declaration) {
		weights := make(map[model.Team]int, len(d.Teams))
		for _, t := range d.Teams {
			weights[t.Name] = t.Weight
		}
		g.SetWeights(weights)
		m.SetEvacuated(d.Evacuate)
		metrics.EvacuatedCentres(len(slices.Compact(slices.Sorted(slices.Values(d.Evacuate)))))
	})
	runUntilStop(life, func(ctx context.Context) {
		x.Probe(ctx, self.settings, func() map[model.NodeID]conf.Target {
			out := map[model.NodeID]conf.Target{}
			records := m.Records(time.Now())
			slices.SortFunc(records, func(a, b model.Record) int { return cmp.Compare(b.Revision, a.Revision) })
			for _, r := range records[:min(len(records), maxProbedAgents)] {
				out[r.ID] = conf.Target{Address: r.Address, AskOverLink: true}
			}
			for _, e := range x.KnownEntries() {
				// No Ask: a pair of entries has one link, and a second one would replace it.
				out[e.ID] = conf.Target{Address: e.Address}
			}
			return out
		})
	})
}

// newAgentConfManager returns the configuration manager of an agent.
func newAgentConfManager(life fx.Lifecycle, self agentSelf, a *agent.Agent, log *slog.Logger) *conf.Manager {
	m := conf.New(conf.Options{
		ID: self.record.ID, Region: self.record.Region, Incarnation: self.record.Incarnation, DrainState: a.State, Log: log,
	})
	runUntilStop(life, m.Run)
	return m
}

// startAgentConf distributes the configuration over the links of an agent.
func startAgentConf(life fx.Lifecycle, self agentSelf, x *conf.Exchange, a *agent.Agent) {
	a.Config, x.Agent = x, true
	x.Manager.OnActivate(func(r model.Revision, _ model.Declaration) { a.SetRevision(r) })
	runUntilStop(life, func(ctx context.Context) {
		x.Probe(ctx, self.settings, func() map[model.NodeID]conf.Target {
			out := map[model.NodeID]conf.Target{}
			for _, e := range x.KnownEntries() {
				if e.Region == self.record.Region {
					out[e.ID] = conf.Target{Address: e.Address, AskOverLink: true}
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
