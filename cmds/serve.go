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
	// startTimeout bounds the start of all components.
	startTimeout = 15 * time.Second
	// stopTimeout exceeds the longest deadline of a request, 10 min, because a graceful shutdown waits for requests.
	stopTimeout = 11 * time.Minute
)

// serve runs a process built from options until SIGTERM or SIGINT and shuts it down gracefully. It logs to standard
// error.
func serve(s streams, level string, options ...fx.Option) error {
	var lowest slog.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return err
	}
	return runUntilSignal(logs.New(s.err, lowest), options...)
}

// serveBounded is like serve, but logs to standard output with a bounded rate and without blocking on a slow reader.
func serveBounded(s streams, level, id string, options ...fx.Option) error {
	var lowest slog.Level
	if err := lowest.UnmarshalText([]byte(level)); err != nil {
		return err
	}
	log, closer := logs.NewBounded(s.out, lowest)
	defer closer()
	return runUntilSignal(log.With("node", id), options...)
}

// runUntilSignal runs an application until SIGTERM, SIGINT or a call of its Shutdowner.
func runUntilSignal(log *slog.Logger, options ...fx.Option) error {
	app := fx.New(append(options,
		fx.Supply(log),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
	)...)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel = context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(ctx)
}

// serveHTTP serves HTTP on l until s is shut down, and logs any other end.
func serveHTTP(s *http.Server, l net.Listener, log *slog.Logger) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		log.Error("HTTP server failed", "address", l.Addr().String(), "error", err)
	}
}

// runPeriodically calls fn with the current time at each interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, fn func(time.Time)) {
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
