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

	"golang.org/x/sys/unix"
)

// shutdownTimeout bounds the wait for calls in progress, as calls that a fault leaves unanswered never end.
const shutdownTimeout = 2 * time.Second

// Open listens on a TCP address; port 0 selects a free port.
func Open(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return l, nil
}

// Announce logs the addresses on which the process listens, given as pairs of name and address. It is the first log line.
func Announce(addrs ...any) {
	slog.New(slog.NewJSONHandler(os.Stderr, nil)).Info("listening", addrs...)
}

// Signal returns a context that ends at SIGTERM or SIGINT.
func Signal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// HTTP serves h on l until ctx ends, then waits up to shutdownTimeout for calls in progress.
func HTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving %s: %w", l.Addr(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(stop) != nil {
		_ = srv.Close()
	}
	return nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ReceivedAt returns when the system received the last part of a request, so that the result of a call doesn't depend on when
// a process on a busy machine gets to handle it. It returns the current time if the system doesn't tell.
func ReceivedAt(r *http.Request) time.Time {
	conn, ok := r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return time.Now()
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return time.Now()
	}
	var ago time.Duration
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	}); err != nil {
		return time.Now()
	}
	return time.Now().Add(-ago)
}

// JSON writes an answer with the given status and v, encoded as JSON, as its body.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
