package owner

import (
	"bytes"
	"context"
	"math"
	"time"

	"wagtailhoist/core/batch"
	"wagtailhoist/core/learn"
	"wagtailhoist/io/mirror"
	"wagtailhoist/io/store"
)

// learnedInterval is the shortest interval at which learned run times are reported and stored. They change slowly, and the
// value has up to 64 KB.
const learnedInterval = 10 * time.Second

// learnedState is what a term knows of the stored run times. It is used only by the goroutine of run.
type learnedState struct {
	// version is the store's version of the value, 0 if there is none.
	version uint64
	// changes is the number of changes of the model that is stored. triedAt is when the model was last reported and stored.
	changes uint64
	triedAt time.Time
	// writing is true while a commit of the value is under way.
	writing bool
	// reported holds what was last reported of each queue.
	reported map[string]learn.QueueSummary
}

// learnedWrite is a commit of learned run times.
type learnedWrite struct {
	value   []byte
	changes uint64
}

func (o *Owner) learnedInterval() time.Duration {
	if o.learnInterval > 0 {
		return o.learnInterval
	}
	return learnedInterval
}

// loadLearned replaces what was learned from the records of jobs by what the last owner has stored, if that can be decoded.
func (t *term) loadLearned(now time.Time) {
	item := t.owner.Mirror.LeadItem(batch.LearnedKey)
	t.learned = learnedState{version: item.Version, triedAt: now, reported: map[string]learn.QueueSummary{}}
	if item.Version == 0 {
		return
	}
	m, err := learn.Decode(item.Value)
	if err != nil {
		t.owner.Log.Error("stored run times can't be decoded; learning from the records of jobs", "key", item.Key, "version", item.Version,
			"bytes", len(item.Value), "error", err)
		return
	}
	t.scheduler.SetLearned(*m)
	t.learned.changes = m.Changes()
	t.owner.Log.Info("run times restored", "queues", len(m.Summary()), "version", item.Version, "fence", t.fence)
}

// followLearned forgets what was learned if the stored value was deleted, which is how operators reset it.
func (t *term) followLearned() {
	// The revision is read first: a copy that is as new as the last write and lacks the value proves that it was deleted.
	revision, _, _ := t.owner.Mirror.Status()
	if t.learned.version != 0 && revision >= t.learned.version && t.owner.Mirror.LeadItem(batch.LearnedKey).Version == 0 {
		t.resetLearned()
	}
}

// resetLearned forgets what was learned.
func (t *term) resetLearned() {
	t.owner.Log.Warn("run times reset: the stored value was deleted", "key", batch.LearnedKey, "fence", t.fence)
	t.scheduler.SetLearned(learn.Model{})
	t.learned.version, t.learned.changes = 0, 0
	t.endLearnedMetrics()
}

// storeLearned reports what was learned and commits it under the fence, if it has changed and the interval has passed.
func (t *term) storeLearned(ctx context.Context, now time.Time) {
	m := t.scheduler.Learned()
	if t.learned.writing || m.Changes() == t.learned.changes || now.Sub(t.learned.triedAt) < t.owner.learnedInterval() || !t.commits.Allowed(now) {
		return
	}
	t.learned.triedAt = now
	t.reportLearned(m.Summary())
	value, err := m.Encode()
	if err != nil {
		t.owner.Log.Error("run times can't be encoded; not stored", "error", err)
		return
	}
	t.learned.writing = true
	t.commits.Begin(now)
	write := &learnedWrite{value, m.Changes()}
	change := store.Change{
		Checks: []store.Check{{Key: mirror.OwnerKey, Version: t.fence}, {Key: batch.LearnedKey, Version: t.learned.version}},
		Sets:   []store.Set{{Key: batch.LearnedKey, Value: value}},
	}
	go func() {
		revision, err := t.owner.Store.Commit(ctx, change)
		t.commitResults <- commitResult{revision: revision, err: err, learned: write}
	}()
}

// learnedStored notes that a value was stored at a revision.
func (t *term) learnedStored(w *learnedWrite, revision uint64) {
	t.learned.version, t.learned.changes = revision, w.changes
}

// learnedRefused handles a commit of learned run times that was refused because the stored value isn't the expected one.
func (t *term) learnedRefused(w *learnedWrite, found store.Item) {
	switch {
	case found.Version == 0:
		if t.learned.version != 0 {
			t.resetLearned()
		}
	case bytes.Equal(found.Value, w.value):
		// An earlier attempt at the same change was applied although its answer was lost.
		t.learnedStored(w, found.Version)
	default:
		t.learned.version = found.Version
	}
}

// reportLearned logs what was learned about the queues that have changed, and sets their metrics.
func (t *term) reportLearned(queues []learn.QueueSummary) {
	for _, q := range queues {
		if last, known := t.learned.reported[q.Queue]; known && last == q {
			continue
		}
		t.learned.reported[q.Queue] = q
		t.owner.Meter.RunTimes(q.Queue, q.Ratio, q.Spread, q.Samples)
		t.owner.Log.Info("run times learned", "queue", q.Queue, "ratio", rounded(q.Ratio), "spread", rounded(q.Spread),
			"samples", rounded(q.Samples), "fence", t.fence)
	}
}

// rounded returns a figure with three decimals, for the log.
func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }

// endLearnedMetrics ends the metrics of the queues, so that they don't contradict those of a later owner.
func (t *term) endLearnedMetrics() {
	for queue := range t.learned.reported {
		t.owner.Meter.RunTimes(queue, math.NaN(), math.NaN(), math.NaN())
	}
	clear(t.learned.reported)
}
