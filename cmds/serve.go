package cmds

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"wagtailhoist/io/logs"
)

const (
	startLimit = 15 * time.Second
	// stopLimit exceeds the longest deadline of a request (10 min), which a graceful shutdown may have to wait for.
	stopLimit = 11 * time.Minute
)

// serve constructs a process from options, runs it until SIGTERM or SIGINT, and shuts it down gracefully.
func serve(s streams, level string, options ...fx.Option) error {
	var lowest slog.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return err
	}
	return run(logs.New(s.err, lowest), options...)
}

// serveBounded is serve with logs on standard output that never wait for it and whose volume is bounded.
func serveBounded(s streams, level, id string, options ...fx.Option) error {
	var lowest slog.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return err
	}
	log, closer := logs.Bounded(s.out, lowest)
	defer closer()
	return run(log.With("node", id), options...)
}

// run runs an application until SIGTERM or SIGINT.
func run(log *slog.Logger, options ...fx.Option) error {
	app := fx.New(append(options,
		fx.Supply(log),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)...)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel = context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return app.Stop(ctx)
}

func serveHTTP(s *http.Server, l net.Listener, log *slog.Logger) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener failed", "address", l.Addr().String(), "error", err)
	}
}

// every calls fn with the time at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func(time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			fn(now)
		}
	}
}
