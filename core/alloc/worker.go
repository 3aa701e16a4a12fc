package alloc

import (
	"slices"
	"time"

	"wagtailhoist/core/batch"
)

const (
	// firstAvoid is how long a worker gets no work after its first failure; it doubles with each further one.
	firstAvoid = 500 * time.Millisecond
	// longestAvoid bounds that time.
	longestAvoid = 8 * time.Second
)

// worker is an incarnation of a worker as the owner sees it.
type worker struct {
	batch.Worker
	// runs are the runs placed there, foreign the others that it lists, with what they take.
	runs    map[batch.TaskID]*task
	foreign map[batch.RunID]foreign
	// foreignStop is when the stop of foreign runs was last sent.
	foreignStop time.Time
	// until is when everything there has ended if it isn't heard of again.
	until time.Time
	// heard is when its lists were last received.
	heard time.Time
	// listed says that its last report had lists from the worker itself.
	listed  bool
	session uint64
	// leaves is when a draining worker may be gone at the earliest.
	leaves time.Time

	// processed is the highest end that was applied, seen the highest that is stored with all before it.
	processed, seen uint64
	ends            []pendingEnd

	// shunned is when it may get work again after failures, streak the number of failures in a row.
	shunned time.Time
	streak  int
}

// foreign is a run that takes room without being placed.
type foreign struct {
	amount batch.Amount
	// until is when the run is forgotten at the earliest: the list that lacks it may be from before it began.
	until time.Time
}

// foreignTime is how long a run that was ordered but not listed yet keeps its room: lists are a second old at most.
const foreignTime = 2 * time.Second

// pendingEnd is an end that is acknowledged once the job's version is stored.
type pendingEnd struct {
	number  uint64
	job     *job
	version uint64
}

func (w *worker) advanceSeen() {
	for len(w.ends) > 0 {
		e := w.ends[0]
		if e.job != nil && e.job.saved < e.version {
			return
		}
		w.seen = max(w.seen, e.number)
		w.ends = w.ends[1:]
	}
}

func (w *worker) avoid(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(w.shunned) {
		w.shunned = until
	}
}

func (w *worker) failed(now time.Time) {
	d := firstAvoid << min(w.streak, 5)
	w.streak++
	w.avoid(now, min(d, longestAvoid))
}

func (w *worker) succeeded() { w.streak = 0 }

// usable reports whether the worker may get work of a service.
func (w *worker) usable(now time.Time, service string) bool {
	return w.listed && w.Readiness == batch.WorkerReady && w.Service == service && w.session != 0 && !now.Before(w.shunned)
}

// free returns what isn't taken by runs, those that are being stopped included.
func (w *worker) free() batch.Amount {
	left := w.Capacity
	for _, t := range w.runs {
		left = left.Sub(t.job.job.Steps[t.Step].Allocation())
	}
	for _, f := range w.foreign {
		left = left.Sub(f.amount)
	}
	return left
}

// rack returns the worker's rack: its last label; the ones before are its kind.
func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) has(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// clashes reports whether a task would fill beside one whose tail latency is limited, or the other way round: those
// that fill disturb the others by amounts that aren't known before.
func (w *worker) clashes(s *batch.Step) bool {
	if !s.CPUExempt && s.MaxTailLatency == 0 {
		return false
	}
	for _, t := range w.runs {
		other := &t.job.job.Steps[t.Step]
		if s.CPUExempt && other.MaxTailLatency > 0 || s.MaxTailLatency > 0 && other.CPUExempt {
			return true
		}
	}
	return false
}

func (w *worker) sortedRuns() []batch.TaskID {
	ids := make([]batch.TaskID, 0, len(w.runs))
	for id := range w.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, batch.TaskID.Compare)
	return ids
}
