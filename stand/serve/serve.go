package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// stopWait bounds the wait for calls in progress; calls that a fault left without an answer never end.
const stopWait = 2 * time.Second

// Open listens on a TCP address; port 0 takes a free one.
func Open(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return l, nil
}

// Announce prints the first log line, which names the addresses: pairs of name and address.
func Announce(addrs ...any) {
	slog.New(slog.NewJSONHandler(os.Stderr, nil)).Info("listening", addrs...)
}

// Signal returns a context that ends at SIGTERM or SIGINT.
func Signal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// HTTP serves h on l until ctx ends, then lets calls in progress finish.
func HTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	if srv.Shutdown(stop) != nil {
		_ = srv.Close()
	}
	return nil
}

// JSON answers with a status and v as JSON.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
