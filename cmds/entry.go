package cmds

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"wagtailhoist/core/model"
	"wagtailhoist/io/claims"
	"wagtailhoist/io/front"
	"wagtailhoist/io/link"
	"wagtailhoist/io/peers"
	"wagtailhoist/io/queue"
)

type entryCmd struct {
	ID     string        `required:"" help:"Identifier of the node."`
	Region string        `required:"" help:"Region of the node."`
	Centre string        `required:"" help:"Data centre of the node."`
	Listen string        `default:"127.0.0.1:0" help:"Address of the callers' listener."`
	Link   string        `default:"127.0.0.1:0" help:"Address of the link listener."`
	Token  string        `help:"Link token."`
	Store  string        `help:"URL of the platform's store. Without it, requests with a key are refused."`
	Join   []string      `help:"Addresses of links of other entries, for a start while the store is down."`
	Drain  time.Duration `default:"2s" help:"Time that the balancer needs to see that the entry is not ready."`
}

// Run serves until the process is told to stop.
func (c *entryCmd) Run(s streams) error {
	return serve(s,
		fx.Supply(c),
		fx.Provide(newEntrySelf, newEntryPool, newEntryDispatcher, newStore, newMembers, newPeers, newClaims, newGate),
		fx.Invoke(startEntry),
	)
}

// entrySelf is the identity and the listeners of an entry.
type entrySelf struct {
	callers, links net.Listener
	settings       link.Settings
}

func newEntrySelf(c *entryCmd) (entrySelf, error) {
	callers, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return entrySelf{}, err
	}
	links, err := net.Listen("tcp", c.Link)
	if err != nil {
		return entrySelf{}, err
	}
	hello := link.Hello{
		Node: model.NodeID(c.ID), Incarnation: model.NewIncarnation(time.Now()), Role: link.RoleEntry,
		Region: model.Region(c.Region), Centre: model.Centre(c.Centre), Address: links.Addr().String(),
	}
	return entrySelf{callers, links, link.Settings{Self: hello, Token: c.Token, Counters: new(link.Counters)}}, nil
}

func newEntryPool(self entrySelf) *front.Pool { return &front.Pool{Settings: self.settings} }

func newEntryDispatcher(self entrySelf, m *peers.Members, p *front.Pool) *front.Dispatcher {
	return &front.Dispatcher{Self: self.settings.Self.Incarnation, Router: m, Pool: p}
}

// sweepEvery is the interval at which an entry closes unused links.
const sweepEvery = 10 * time.Second

// entryParts are the parts of an entry that startEntry runs.
type entryParts struct {
	fx.In

	Self     entrySelf
	Dispatch *front.Dispatcher
	Members  *peers.Members
	Peers    *peers.Peers
	Claims   *claims.Writer
	Gate     *queue.Gate
}

func startEntry(life fx.Lifecycle, c *entryCmd, e entryParts, log *slog.Logger) {
	var draining, stopping atomic.Bool
	ctx, cancel := context.WithCancel(context.Background())
	self, d := e.Self, e.Dispatch
	handle := front.Chain(
		front.Claiming(claimer(e.Claims), d.Do, d.Next), front.Stopping(stopping.Load), front.Admitting(e.Gate),
	)
	callers := &http.Server{
		Handler:           &front.Server{Handle: handle, MaxBody: link.MaxBody, Closing: draining.Load},
		ReadHeaderTimeout: 5 * time.Second,
	}
	links := linkServer(self.settings, e.Peers.Serve, func() bool { return !draining.Load() })
	linked := make(chan struct{})
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info("listening", "listen", self.callers.Addr().String(), "link", self.links.Addr().String())
			go serveHTTP(callers, self.callers, log)
			go serveHTTP(links, link.Listen(self.links, link.Guests), log)
			go every(ctx, sweepEvery, d.Pool.Sweep)
			go every(ctx, resizeEvery, func(now time.Time) {
				e.Gate.Resize(places(now, e.Members, e.Peers))
				shareWrites(e.Claims, e.Peers)
			})
			go func() {
				defer close(linked)
				e.Peers.Run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			log.Info("draining")
			draining.Store(true)
			time.Sleep(c.Drain)
			stopping.Store(true)
			err := callers.Shutdown(stop)
			closeClaims(stop, e.Claims)
			cancel()
			<-linked
			d.Pool.Close()
			_ = links.Close()
			log.Info("stopped")
			return err
		},
	})
}
