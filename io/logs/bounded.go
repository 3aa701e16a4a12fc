package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineBudget is the number of lines a second below the level of warnings: several times what an entry writes
	// on its busiest day.
	lineBudget = 400
	// queued is the number of lines that wait for a slow output.
	queued = 2048
)

// Bounded returns a logger like New that never waits for w, and that writes at most a fixed number of lines below
// the level of warnings a second. What is left out is counted in a line of its own. Close writes what is queued.
func Bounded(w io.Writer, level slog.Leveler) (log *slog.Logger, closer func()) {
	q := &queue{lines: make(chan []byte, queued), done: make(chan struct{})}
	go q.run(w)
	inner := New(q, level).Handler()
	return slog.New(&budget{inner: inner, state: &budgetState{queue: q}}), q.close
}

// queue passes lines on to a slow output.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// Write queues a line, or drops it if the queue is full.
func (q *queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		// An output that fails has nowhere to report it.
		_, _ = w.Write(line)
	}
}

// closeLimit bounds the wait for a slow output at the end.
const closeLimit = time.Second

func (q *queue) close() {
	q.once.Do(func() {
		select {
		case q.lines <- nil:
		case <-time.After(closeLimit):
			return
		}
		select {
		case <-q.done:
		case <-time.After(closeLimit):
		}
	})
}

// budgetState is shared by the handlers of a logger.
type budgetState struct {
	queue *queue

	mu      sync.Mutex
	second  int64
	written int
	left    int64
}

// budget leaves out lines beyond the budget.
type budget struct {
	inner slog.Handler
	state *budgetState
}

// Enabled reports whether lines of the level are written.
func (b *budget) Enabled(ctx context.Context, level slog.Level) bool {
	return b.inner.Enabled(ctx, level)
}

// Handle writes the line unless the budget of its second is used up.
func (b *budget) Handle(ctx context.Context, r slog.Record) error {
	write, left := b.state.take(r)
	if left > 0 {
		note := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		note.AddAttrs(slog.Int64("lines", left))
		if err := b.inner.Handle(ctx, note); err != nil {
			return err
		}
	}
	if !write {
		return nil
	}
	return b.inner.Handle(ctx, r)
}

// take returns whether a line is written, and the number of lines that were left out in earlier seconds.
func (s *budgetState) take(r slog.Record) (write bool, left int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := r.Time.Unix(); second != s.second {
		left = s.left + s.queue.dropped.Swap(0)
		s.second, s.written, s.left = second, 0, 0
	}
	if r.Level < slog.LevelWarn && s.written >= lineBudget {
		s.left++
		return false, left
	}
	s.written++
	return true, left
}

// WithAttrs returns a handler that adds attrs to each line.
func (b *budget) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &budget{b.inner.WithAttrs(attrs), b.state}
}

// WithGroup returns a handler that puts later fields under name.
func (b *budget) WithGroup(name string) slog.Handler {
	return &budget{b.inner.WithGroup(name), b.state}
}
