package runner

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"wagtailhoist/core/batch"
	"wagtailhoist/io/clock"
)

// attemptKey identifies the start of a run at an incarnation of the worker.
type attemptKey struct {
	// instance is the name that the call was addressed to, born the start of the incarnation that it was meant for.
	instance string
	born     int64
	run      batch.RunID
}

// beginStart records the beginning of an attempt at a start.
func (r *Runner) beginStart(t Target, born int64, run batch.RunID) attemptKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := attemptKey{t.Instance, born, run}
	r.attempts.Begin(key)
	return key
}

// endStart records the end of an attempt at a start. If the connection was refused, no one has received the call.
func (r *Runner) endStart(key attemptKey, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts.End(clock.Now(), key, err == nil || errors.Is(err, syscall.ECONNREFUSED))
}

// unansweredStarts returns the starts under the worker's name that may still be carried out.
func (r *Runner) unansweredStarts(now time.Time) []batch.UnansweredStart {
	var starts []batch.UnansweredStart
	for key, age := range r.attempts.Unanswered(now) {
		if key.instance == r.status.Instance {
			starts = append(starts, batch.UnansweredStart{RunID: key.run, Age: age})
		}
	}
	return starts
}

// lateStopLoop stops what another incarnation may start late, whenever one answers, until ctx ends.
func (r *Runner) lateStopLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.lateStopNow:
			r.stopLateStarts(ctx, clock.Now())
		}
	}
}

// stopLateStarts stops the runs at the present incarnation whose starts were meant for an earlier one of the same name and had no
// answer: a worker refuses the start of a run that it was told to stop.
func (r *Runner) stopLateStarts(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var late []batch.RunID
	for key := range r.attempts.Unanswered(now) {
		if key.instance == r.status.Instance && (r.hasSuccessor || key.born < r.status.Worker.Born) {
			late = append(late, key.run)
		}
	}
	slices.SortFunc(late, func(a, b batch.RunID) int { return a.Task.Compare(b.Task) })
	for _, run := range late {
		r.Log.Info("start without an answer may reach the worker's successor; stopping the run there", "task", run.Task.String(), "run", run.Run)
		r.execute(ctx, run, true, batch.StartOrder{})
	}
}
