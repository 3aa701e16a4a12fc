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
	// lineBudget is the maximum number of lines per second below the level Warn: several times what an entry writes on
	// its busiest day.
	lineBudget = 400
	// maxQueuedLines bounds the lines that wait for a slow output.
	maxQueuedLines = 2048
)

// NewBounded returns a logger like New that never blocks on w and that writes at most lineBudget lines per second below
// the level Warn. The number of omitted lines is logged in the next second. The function closer writes the queued
// lines, waiting for a slow output no longer than twice closeLimit.
func NewBounded(w io.Writer, level slog.Leveler) (log *slog.Logger, closer func()) {
	q := &queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(w)
	inner := New(q, level).Handler()
	return slog.New(&budgetHandler{inner: inner, state: &budgetCounter{queue: q}}), q.close
}

// queue buffers lines for an output that may be slow.
type queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// Write appends a line to the queue, or drops and counts it if the queue is full.
func (q *queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// run writes the lines to w until close queues a nil line.
func (q *queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		// The error is ignored: there is no other output to report it to.
		_, _ = w.Write(line)
	}
}

// closeLimit bounds each of the two waits of close: for room in the queue and for the lines to be written.
const closeLimit = time.Second

// close ends run once the queued lines are written, or gives up after closeLimit.
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

// budgetCounter counts the lines of the current second; all handlers of a logger share it.
type budgetCounter struct {
	queue *queue

	mu      sync.Mutex
	second  int64
	written int
	omitted int64
}

// budgetHandler omits lines below the level Warn that exceed lineBudget.
type budgetHandler struct {
	inner slog.Handler
	state *budgetCounter
}

// Enabled reports whether lines of the level are written.
func (b *budgetHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return b.inner.Enabled(ctx, level)
}

// Handle writes the line unless the line budget of its second is used up. It first logs how many lines were omitted
// in an earlier second.
func (b *budgetHandler) Handle(ctx context.Context, r slog.Record) error {
	write, omitted := b.state.admit(r)
	if omitted > 0 {
		notice := slog.NewRecord(r.Time, slog.LevelWarn, "log lines left out", 0)
		notice.AddAttrs(slog.Int64("lines", omitted))
		if err := b.inner.Handle(ctx, notice); err != nil {
			return err
		}
	}
	if !write {
		return nil
	}
	return b.inner.Handle(ctx, r)
}

// admit counts a line. It reports whether the line is to be written, and how many lines were omitted since the last
// second in which one was counted.
func (s *budgetCounter) admit(r slog.Record) (write bool, omitted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := r.Time.Unix(); second != s.second {
		omitted = s.omitted + s.queue.dropped.Swap(0)
		s.second, s.written, s.omitted = second, 0, 0
	}
	if r.Level < slog.LevelWarn && s.written >= lineBudget {
		s.omitted++
		return false, omitted
	}
	s.written++
	return true, omitted
}

// WithAttrs returns a handler that adds attrs to each line and shares the line budget.
func (b *budgetHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &budgetHandler{b.inner.WithAttrs(attrs), b.state}
}

// WithGroup returns a handler that puts later fields under name and shares the line budget.
func (b *budgetHandler) WithGroup(name string) slog.Handler {
	return &budgetHandler{b.inner.WithGroup(name), b.state}
}
