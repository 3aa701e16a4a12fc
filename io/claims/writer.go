package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wagtailhoist/core/claim"
	"wagtailhoist/core/model"
	"wagtailhoist/io/store"
)

const (
	// DefaultShards is the number of logs that the keys are spread over. All entries need the same
	// number. More shards mean fewer bytes for each claim, but a longer wait for a share of the
	// writes: at 1,000 claims a second by three entries a claim takes 297 ms with 64 shards and
	// 78 ms with 16 (docs/CLAIMS.md).
	DefaultShards = 16
	// DefaultWrites is the number of writes a second of one writer; the store takes several hundred of all.
	DefaultWrites = 100
	// DefaultPace is the least time between two writes of a shard; claims that come meanwhile share a write.
	DefaultPace = 20 * time.Millisecond
	// callLimit bounds a call to the store, which answers in milliseconds when it is healthy.
	callLimit = 500 * time.Millisecond
	// giveUp is the number of calls in a row without an answer after which operations are refused.
	giveUp = 3
	// firstPause and lastPause bound the time between calls to a store that does not answer.
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
	// maxBatch is the number of operations decided together; it bounds how far a segment outgrows its limit.
	maxBatch = 128
)

// Store is the part of the key-value service that holds the logs.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, error)
	Put(ctx context.Context, key string, value []byte, version, lease uint64) (uint64, error)
	Delete(ctx context.Context, key string, version uint64) error
	List(ctx context.Context, prefix string) ([]store.Item, uint64, error)
}

// Counters counts the calls to the store.
type Counters struct {
	Reads, Writes, Conflicts, Unanswered atomic.Uint64
	// Claims counts granted keys, Bytes the size of all written values.
	Claims, Bytes atomic.Uint64
}

// Writer claims and releases keys; it is safe for concurrent use. The fields are set before the first call.
type Writer struct {
	Store Store
	// Shards replaces DefaultShards if it is not 0.
	Shards int
	// Retention and Limit are those of claim.Log.
	Retention time.Duration
	Limit     int
	// Pace replaces DefaultPace if it is not 0; a negative value means no pause.
	Pace time.Duration
	// Now replaces time.Now if it is not nil.
	Now func() time.Time

	Counters Counters

	budget budget
	limit  atomic.Int64
	once   sync.Once
	shards []*shard
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// Claim returns nil when the attempt holds the key until it is released or its retention
// ends. The claim belongs to the request: later attempts of the same request that follow an
// attempt that did not run go under the same claim. A DuplicateError means that another
// request holds the key, an UnavailableError that the key was not claimed.
func (w *Writer) Claim(ctx context.Context, team model.Team, key string, attempt model.Attempt) error {
	op := &claim.Op{Hash: claim.Sum(team, key), Attempt: attempt}
	if err := w.decide(ctx, op); err != nil {
		return &claim.UnavailableError{Key: key, Cause: err}
	}
	if op.Verdict == claim.Duplicate {
		return &claim.DuplicateError{Team: team, Key: key, Holder: op.Holder.Attempt(), Since: op.Holder.Time()}
	}
	return nil
}

// Release gives the key back. It may be called only if no attempt of the request ran and none
// can. If the store does not answer, the writer goes on trying while it runs.
func (w *Writer) Release(ctx context.Context, team model.Team, key string, attempt model.Attempt) error {
	op := &claim.Op{Hash: claim.Sum(team, key), Attempt: attempt, Release: true}
	if err := w.decide(ctx, op); err != nil {
		return &claim.UnavailableError{Key: key, Cause: err}
	}
	return nil
}

// SetWrites sets the number of writes a second, which entries that share the store divide; 0 means DefaultWrites.
func (w *Writer) SetWrites(perSecond int) { w.limit.Store(int64(perSecond)) }

func (w *Writer) writes() float64 {
	if n := w.limit.Load(); n > 0 {
		return float64(n)
	}
	return DefaultWrites
}

// Close refuses new operations and waits until the others are decided, or until ctx ends.
func (w *Writer) Close(ctx context.Context) {
	w.once.Do(w.start)
	for _, s := range w.shards {
		s.close()
	}
	done := make(chan struct{})
	go func() {
		w.work.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	w.cancel()
	<-done
}

func (w *Writer) start() {
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if w.Shards == 0 {
		w.Shards = DefaultShards
	}
	if w.Pace == 0 {
		w.Pace = DefaultPace
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	for i := range w.Shards {
		w.shards = append(w.shards, &shard{
			writer: w, index: i, log: claim.Log{Retention: w.Retention, Limit: w.Limit},
		})
	}
}

// decide waits for the verdict on op. An error means that the request must not run.
func (w *Writer) decide(ctx context.Context, op *claim.Op) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w.once.Do(w.start)
	p := &pending{op: op, done: make(chan struct{})}
	if err := w.shards[op.Hash.Shard(w.Shards)].add(p); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		if p.leave() {
			return ctx.Err()
		}
	}
	return p.err
}
